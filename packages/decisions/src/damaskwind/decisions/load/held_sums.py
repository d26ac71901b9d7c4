"""Sum what all routers hold at each target, from what each of them told last.

Routers call every replica about once a second anyway and tell on each call what
they hold. The sum is some half a second old on the mean, at 8 routers as at 300,
and each router hears one from every replica in turn; by its own answers alone it
would hear each of 39 targets once in 21 s among 195 routers.

>>> sums = HeldSums()
>>> sums.tell("router-1", (HeldCount(7, 2),), now_s=0.0)
>>> sums.tell("router-2", (HeldCount(7, 1), HeldCount(9, 4)), now_s=0.5)
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

__all__ = ["HeldCount", "HeldSum", "HeldSums"]

# A router calls about once a second; one that is silent for longer has died with its
# requests, or can't be reached and is counted by a replica that it still reaches.
TOLD_S = 2.2


class HeldCount(NamedTuple):
    """How many requests are held at a target, which its digest stands for."""

    target: int
    held: int


class HeldSum(NamedTuple):
    """What `routers` routers hold together at targets; `age_s` is the mean age of their words.

    `services` is what they saw together of services that tell no load, each in its last second.
    """

    counts: tuple[HeldCount, ...] = ()
    routers: int = 0
    age_s: float = 0.0
    services: tuple[ServiceReport, ...] = ()


class _Told(NamedTuple):
    """What one router told, and when."""

    counts: tuple[HeldCount, ...]
    at_s: float
    services: tuple[ServiceReport, ...]


class HeldSums:
    """The sums of one replica. A router's word counts until its next one, or `TOLD_S`."""

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._held: Counter[int] = Counter()
        self._at_sum_s = 0.0

    def tell(
        self,
        router_id: str,
        counts: tuple[HeldCount, ...],
        now_s: float,
        services: tuple[ServiceReport, ...] = (),
    ) -> None:
        """Take what a router holds now, in place of what it told before."""
        self._drop(router_id)
        self._told[router_id] = _Told(counts, now_s, services)
        self._at_sum_s += now_s
        for item in counts:
            self._held[item.target] += item.held

    @property
    def targets(self) -> int:
        """Return at how many targets anything is held."""
        return len(self._held)

    def total(self, now_s: float) -> HeldSum:
        """Return the sum of what was told lately."""
        self._forget_silent(now_s)
        routers = len(self._told)
        if not routers:
            return HeldSum()
        counts = tuple(HeldCount(target, held) for target, held in self._held.items())
        age_s = now_s - self._at_sum_s / routers
        return HeldSum(counts, routers, round(age_s, 2), self._services())

    def _services(self) -> tuple[ServiceReport, ...]:
        totals: dict[int, ServiceStats] = {}
        for told in self._told.values():
            for service, seen in told.services:
                totals[service] = totals.get(service, ServiceStats()).plus(seen)
        return tuple(ServiceReport(service, seen) for service, seen in totals.items())

    def _forget_silent(self, now_s: float) -> None:
        """Drop routers that have told nothing for long; the one that told first stands first."""
        while self._told:
            router_id, told = next(iter(self._told.items()))
            if now_s - told.at_s <= TOLD_S:
                return
            self._drop(router_id)

    def _drop(self, router_id: str) -> None:
        told = self._told.pop(router_id, None)
        if told is None:
            return
        self._at_sum_s -= told.at_s
        for item in told.counts:
            self._held[item.target] -= item.held
            if self._held[item.target] <= 0:
                del self._held[item.target]
