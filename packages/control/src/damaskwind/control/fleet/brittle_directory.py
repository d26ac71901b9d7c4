"""Know which services are brittle, and name the routers that grant the slots of their targets."""

from typing import NamedTuple

from damaskwind.decisions.admission.slot_owners import MAX_GRANTERS, Granter
from damaskwind.decisions.limits.slices import rendezvous_order
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint
from damaskwind.wire.news import BrittleReport, BrittleService

__all__ = ["BrittleDirectory"]

# A service that no router reports any more counts as brittle for this time.
SERVICE_TTL_S = 10.0
# A replica that has just started doesn't name routers yet: all subscribe within this time.
MIN_AGE_S = 1.0


class _Known(NamedTuple):
    """A router's endpoint, and since when it is known."""

    endpoint: PeerEndpoint
    since_s: float


class BrittleDirectory:
    """The brittle services and the routers that grant slots, as one replica knows them.

    >>> directory = BrittleDirectory(started_s=0.0)
    >>> directory.report("r", PeerEndpoint("h", "k", "d"), BrittleReport((7,)), 1.0)
    True
    >>> directory.services(3.0), directory.services(12.0)
    ((BrittleService(service=7, age_s=2.0),), ())
    >>> directory.granters(0.9), [item.age_s for item in directory.granters(3.0)]
    (None, [2.0])
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._routers: dict[str, _Known] = {}
        self._granters: tuple[_Known, ...] | None = None
        # Since when each service is known as brittle, and when it was last reported.
        self._services: dict[int, tuple[float, float]] = {}

    def report(
        self, router: str, endpoint: PeerEndpoint, report: BrittleReport, now_s: float
    ) -> bool:
        """Record a router's endpoint, and the services that it reports.

        Return whether others have to be told, while any service is brittle.
        """
        is_changed = self._routers.get(router, (NO_PEER, 0.0))[0] != endpoint
        if is_changed:
            self.remove(router)
            if endpoint.host:
                self._routers[router] = _Known(endpoint, now_s)
        self._drop_expired(now_s)
        known = len(self._services)
        for service in report.services:
            since_s, _ = self._services.get(service, (now_s, now_s))
            self._services[service] = (since_s, now_s)
        return len(self._services) > known or (is_changed and known > 0)

    def remove(self, router: str) -> None:
        """Remove a router that no longer subscribes."""
        self._granters = None
        self._routers.pop(router, None)

    def services(self, now_s: float) -> tuple[BrittleService, ...]:
        """Return the brittle services."""
        self._drop_expired(now_s)
        return tuple(
            BrittleService(service, round(now_s - since_s, 2))
            for service, (since_s, _) in self._services.items()
        )

    def granters(self, now_s: float) -> tuple[Granter, ...] | None:
        """Return the routers that grant slots, `None` while not all may be known."""
        if now_s - self._started_s < MIN_AGE_S:
            return None
        if self._granters is None:
            by_host = {item.endpoint.host: item for item in self._routers.values()}
            hosts = rendezvous_order("granters", by_host)[:MAX_GRANTERS]
            self._granters = tuple(by_host[host] for host in hosts)
        return tuple(
            Granter(item.endpoint, round(now_s - item.since_s, 2)) for item in self._granters
        )

    def _drop_expired(self, now_s: float) -> None:
        """Drop the services that were not reported for a while."""
        expired = [
            service
            for service, (_, last_s) in self._services.items()
            if now_s - last_s >= SERVICE_TTL_S
        ]
        for service in expired:
            del self._services[service]
