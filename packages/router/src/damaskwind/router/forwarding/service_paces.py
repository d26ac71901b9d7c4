"""Admit requests to services that tell no load by what all routers see of them."""

from random import Random

from loguru import logger

from damaskwind.decisions.admission.service_tally import ServiceReport, ServiceTally
from damaskwind.decisions.admission.service_throttle import ServiceStats, ServiceThrottle
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.target_beliefs import TargetBeliefs
from damaskwind.runtime.clock import read_clock

__all__ = ["ServicePaces"]

# An answer is late for a router when it took more than this part of its objective.
LATE_PART = 0.8
# Who is turned away comes back after a part of the objective between these: there is room for
# the same part of requests then, and the answer may still be in time.
RETURN_PARTS = (0.2, 0.5)
# A sum that covers fewer of the routers says nothing of the whole.
COVERED_PART = 0.9
# A part that is admitted is told in a log line when it has changed by so much.
TOLD_CHANGE = 0.1


class ServicePaces:
    """What one router saw of each service, and the part of requests that it admits."""

    def __init__(self, beliefs: TargetBeliefs, random: Random) -> None:
        self._beliefs = beliefs
        self._view = view = beliefs.view
        self._random = random
        self._tallies: dict[str, ServiceTally] = {}
        self._paces: dict[str, ServiceThrottle] = {}
        self._told_parts: dict[str, float] = {}
        view.on_held.append(self._take)
        view.count_services = self.tell

    def admits(self, service: str) -> bool:
        """Count a request that comes for a service, and tell whether it may go on."""
        self._note(service, ServiceStats(asked=1))
        return self._random.random() < self.part(service)

    def part(self, service: str) -> float:
        """Return the part of a service's requests that is admitted now."""
        pace = self._paces.get(service)
        return pace.admitted_share_at(read_clock()) if pace else 1.0

    def return_s(self, call: Call) -> float:
        """Return when a caller that is turned away here should come back."""
        return round(self._random.uniform(*RETURN_PARTS) * call.route.objective_s, 3)

    def answered(self, call: Call, took_s: float) -> None:
        """Note that a target answered after some time."""
        is_late = took_s > LATE_PART * call.route.objective_s
        seen = ServiceStats(answered=1, late=int(is_late), busy_ms=round(took_s * 1000))
        self._note(call.service, seen)

    def turned_away(self, call: Call) -> None:
        """Note that a target had no place."""
        self._note(call.service, ServiceStats(turned_away=1))

    def tell(self) -> tuple[ServiceReport, ...]:
        """Return what was seen here in the last second."""
        now_s = read_clock()
        seen = {service: tally.recent(now_s) for service, tally in self._tallies.items()}
        return tuple(
            ServiceReport(target_digest(service), item)
            for service, item in seen.items()
            if any(item)
        )

    def _note(self, service: str, seen: ServiceStats) -> None:
        self._tallies.setdefault(service, ServiceTally()).add(seen, read_clock())

    def _take(self, host: str, held: HeldSum) -> None:
        """Take what all routers saw."""
        if held.routers < COVERED_PART * self._view.routers:
            return
        now_s = read_clock()
        totals = dict(held.services)
        for service in self._tallies:
            pace = self._paces.setdefault(service, ServiceThrottle())
            seen = totals.get(target_digest(service), ServiceStats())
            places = sum(record.slots for record in self._beliefs.serving(service))
            pace.update(seen, places, now_s)
            self._log(service, pace.admitted_share, seen, host)

    def _log(self, service: str, part: float, seen: ServiceStats, host: str) -> None:
        if abs(part - self._told_parts.get(service, 1.0)) < TOLD_CHANGE:
            return
        self._told_parts[service] = part
        logger.info(
            "service pace changed",
            service=service,
            part=round(part, 2),
            asked=seen.asked,
            answered=seen.answered,
            late=seen.late,
            turned_away=seen.turned_away,
            busy_ms=seen.busy_ms,
            told_by=host,
        )
