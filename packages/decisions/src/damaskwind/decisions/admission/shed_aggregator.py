"""Sum the counts of all routers at one replica, and derive the cut-off of each service.

A replica decides only while it has heard nearly all routers that subscribe to it, and after a
warm-up: the counts of a part of the fleet would show a part of the demand.
"""

from collections.abc import Mapping
from typing import NamedTuple

from damaskwind.decisions.admission.fleet_shedding import FleetShedder, PoolOccupancy
from damaskwind.decisions.admission.shed_counts import RETURN_BINS, ShedReport, is_plausible
from damaskwind.decisions.admission.shed_cutoff import Cutoff

__all__ = ["ShedAggregator", "ShedNews"]

# A router calls about once a second. The counts of one that is silent for longer are dropped.
REPORT_TTL_S = 2.2
# A replica that has just started has not heard all routers within this time.
WARM_UP_S = 3.0
# Smallest fraction of the subscribed routers whose counts represent the fleet.
COVERED_FRACTION = 0.9
# Services of which one router may report counts.
MAX_SERVICES = 64


class ShedNews(NamedTuple):
    """The cut-offs of a replica that started at `since_s` and has the counts of `routers`.

    Without `cutoffs` the replica does not decide now.
    """

    since_s: int = 0
    routers: int = 0
    cutoffs: tuple[Cutoff, ...] = ()


class _Received(NamedTuple):
    reports: dict[int, ShedReport]
    at_s: float


class ShedAggregator:
    """The counts and cut-offs of one replica that started at `since_s` of its wall clock.

    >>> from damaskwind.decisions.admission.shed_counts import GroupCounts
    >>> sums = ShedAggregator(since_s=1000)
    >>> sums.decide({7: 10}, 1, 0.0) is None
    True
    >>> for second in range(5):
    ...     report = ShedReport(7, 9, 10, (GroupCounts(1, 2, 90, 90, 40, 20, 30),))
    ...     ignored = sums.report("r", (report,), float(second))
    ...     news = sums.decide({7: 10}, 1, second + 0.1)
    >>> news.cutoffs[0].levels
    (Share(of=2, permille=574),)
    >>> sums.report("r", (ShedReport(7, -9),), 6.0)
    (7,)
    """

    def __init__(self, since_s: int) -> None:
        self.since_s = since_s
        self.shedders: dict[int, FleetShedder] = {}
        self._received: dict[str, _Received] = {}
        self._first_s: float | None = None

    def report(
        self, router_id: str, reports: tuple[ShedReport, ...], now_s: float
    ) -> tuple[int, ...]:
        """Replace the counts of a router; return the services whose counts are nonsense."""
        self._received.pop(router_id, None)
        if not reports:
            return ()
        self._first_s = now_s if self._first_s is None else self._first_s
        accepted = {item.service: item for item in reports[:MAX_SERVICES] if is_plausible(item)}
        self._received[router_id] = _Received(accepted, now_s)
        return tuple(item.service for item in reports if item.service not in accepted)

    def decide(self, slots: Mapping[int, int], routers: int, now_s: float) -> ShedNews | None:
        """Return the cut-offs of the known services; `None` while no router reports counts.

        `slots` gives the number of slots of each known service; counts of other services are
        ignored. `routers` is the number of subscribed routers.
        """
        self._drop_silent(now_s)
        if not self._received or self._first_s is None:
            self._first_s = None
            self.shedders.clear()
            return None
        covered = len(self._received)
        self.shedders = {
            service: self.shedders.get(service) or FleetShedder(service) for service in slots
        }
        if covered < COVERED_FRACTION * routers:
            return ShedNews(self.since_s, covered)
        loads = {
            service: self._update(shedder, slots[service], now_s)
            for service, shedder in self.shedders.items()
        }
        if now_s - self._first_s < WARM_UP_S:
            return ShedNews(self.since_s, covered)
        reported = {service for item in self._received.values() for service in item.reports}
        cutoffs = tuple(
            shedder.cutoff._replace(load_permille=loads[service])
            for service, shedder in self.shedders.items()
            if service in reported
        )
        return ShedNews(self.since_s, covered, cutoffs)

    def unknown_services(self, slots: Mapping[int, int]) -> set[int]:
        """Return the reported services that are not known here."""
        return (
            {service for item in self._received.values() for service in item.reports}
            - slots.keys()
            - {0}
        )

    def _update(self, shedder: FleetShedder, slots: int, now_s: float) -> int:
        """Update one service; return its present load as a share of its slots."""
        reports = [
            item.reports[shedder.service]
            for item in self._received.values()
            if shedder.service in item.reports
        ]
        returning = [0] * RETURN_BINS
        for report in reports:
            for index, callers in enumerate(report.returning):
                returning[index] += callers
        held = sum(report.held for report in reports)
        pool = PoolOccupancy(slots, held, sum(report.waiting for report in reports))
        counts = (group for report in reports for group in report.groups)
        shedder.update(counts, pool, now_s, tuple(returning))
        return pool.load_permille

    def _drop_silent(self, now_s: float) -> None:
        """Drop routers whose report has expired; reports are in order of arrival."""
        while self._received:
            router_id, item = next(iter(self._received.items()))
            if now_s - item.at_s <= REPORT_TTL_S:
                return
            del self._received[router_id]
