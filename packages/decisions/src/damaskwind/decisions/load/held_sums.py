"""Sum the requests that all routers hold at each target, from the last report of each.

Routers call every replica about once a second anyway, and each call reports the requests
that the router holds. The sum is about half a second old on average, with 8 routers as with
300, and each router receives one from every replica in turn. From its own answers alone, a
router would receive a report of each of 39 targets once in 21 s among 195 routers.

>>> sums = HeldAggregator()
>>> sums.report("router-1", (HeldCount(7, 2),), now_s=0.0)
>>> sums.report("router-2", (HeldCount(7, 1), HeldCount(9, 4)), now_s=0.5)
>>> total = sums.total(now_s=1.0)
>>> total.counts
(HeldCount(target=7, held=3), HeldCount(target=9, held=4))
>>> total.routers, total.age_s
(2, 0.75)
"""

from collections import Counter
from typing import NamedTuple

from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.admission.service_throttle import ServiceStats

__all__ = ["HeldAggregator", "HeldCount", "HeldSum"]

# A router calls about once a second. One that is silent for longer has died and its requests
# with it, or is unreachable and is counted by a replica that it still reaches.
REPORT_TTL_S = 2.2


class HeldCount(NamedTuple):
    """How many requests are held at a target, which is identified by its digest."""

    target: int
    held: int


class HeldSum(NamedTuple):
    """What `routers` routers hold together at each target; `age_s` is their reports' mean age.

    `services` sums what they observed of services that report no load, each in its last second.
    """

    counts: tuple[HeldCount, ...] = ()
    routers: int = 0
    age_s: float = 0.0
    services: tuple[ServiceReport, ...] = ()


class _Report(NamedTuple):
    """The report of one router, and when it arrived."""

    counts: tuple[HeldCount, ...]
    at_s: float
    services: tuple[ServiceReport, ...]


class HeldAggregator:
    """The sums of one replica.

    A router's report counts until its next report, or for `REPORT_TTL_S`.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._held: Counter[int] = Counter()
        self._received_sum_s = 0.0

    def report(
        self,
        router_id: str,
        counts: tuple[HeldCount, ...],
        now_s: float,
        services: tuple[ServiceReport, ...] = (),
    ) -> None:
        """Replace the report of a router by what it holds now."""
        self._drop(router_id)
        self._reports[router_id] = _Report(counts, now_s, services)
        self._received_sum_s += now_s
        for item in counts:
            self._held[item.target] += item.held

    @property
    def target_count(self) -> int:
        """Return the number of targets at which any request is held."""
        return len(self._held)

    def total(self, now_s: float) -> HeldSum:
        """Return the sum of the recent reports."""
        self._drop_silent(now_s)
        routers = len(self._reports)
        if not routers:
            return HeldSum()
        counts = tuple(HeldCount(target, held) for target, held in self._held.items())
        age_s = now_s - self._received_sum_s / routers
        return HeldSum(counts, routers, round(age_s, 2), self._services())

    def _services(self) -> tuple[ServiceReport, ...]:
        totals: dict[int, ServiceStats] = {}
        for report in self._reports.values():
            for service, seen in report.services:
                totals[service] = totals.get(service, ServiceStats()).plus(seen)
        return tuple(ServiceReport(service, seen) for service, seen in totals.items())

    def _drop_silent(self, now_s: float) -> None:
        """Drop routers whose report has expired; reports are in order of arrival."""
        while self._reports:
            router_id, report = next(iter(self._reports.items()))
            if now_s - report.at_s <= REPORT_TTL_S:
                return
            self._drop(router_id)

    def _drop(self, router_id: str) -> None:
        report = self._reports.pop(router_id, None)
        if report is None:
            return
        self._received_sum_s -= report.at_s
        for item in report.counts:
            self._held[item.target] -= item.held
            if self._held[item.target] <= 0:
                del self._held[item.target]
