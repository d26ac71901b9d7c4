"""Record which services a router reaches none of whose targets, and log when that changes."""

from loguru import logger

from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock

__all__ = ["ServiceReach"]


class ServiceReach:
    """The services of one router whose serving targets are all unreachable from here."""

    def __init__(self, view: FleetView, connections: TargetConnections) -> None:
        self._view = view
        self._connections = connections
        self._unreachable_since_s: dict[str, float] = {}
        connections.on_reach_changed.append(self._update)

    def count_unreachable(self) -> int:
        """Return the number of services of which no target is reachable from here."""
        return len(self._unreachable_since_s)

    def unreachable_targets(self, service: str) -> int:
        """Return how many serving targets of a service are unreachable from here."""
        is_unreachable = self._connections.is_unreachable
        return sum(is_unreachable(record.target_id) for record in self._view.serving(service))

    def _update(self, target_id: str) -> None:
        """Log if a target was the last one of its service to be reached, or the first one again."""
        record = self._view.targets.record_of(target_id)
        if record is None:
            return
        service, now_s = record.service, read_clock()
        serving = self._view.serving(service)
        is_unreachable = bool(serving) and self.unreachable_targets(service) == len(serving)
        if is_unreachable and service not in self._unreachable_since_s:
            self._unreachable_since_s[service] = now_s
            last_seen = self._view.targets.last_seen_s
            ages_s = [now_s - last_seen(item.target_id) for item in serving]
            logger.warning(
                "service unreachable",
                service=service,
                targets=len(serving),
                # Heartbeats that others received show that the targets are running.
                heard_s=[round(min(ages_s), 2), round(max(ages_s), 2)],
                replicas_heard=self._view.count_reachable_replicas(),
                routers=self._view.routers,
            )
        elif not is_unreachable and service in self._unreachable_since_s:
            after_s = round(now_s - self._unreachable_since_s.pop(service), 2)
            logger.info("service reached again", service=service, after_s=after_s)
