"""Decide for the whole fleet which requests to a service are shed, from all routers' counts.

A router has a partial observation, from which it sheds other levels and accounts than its
neighbours. Here the counts of all routers give the drain rate of the service: the work that
it started in a second in which it was short of capacity. This budget is divided by
`shed_cutoff`. It is derived from what was started, not from the previous budget, so that a
delay of the counts causes little oscillation. Without shortage the budget grows until
nothing is shed.
"""

from collections import deque
from collections.abc import Iterable
from statistics import fmean
from typing import NamedTuple

from damaskwind.decisions.admission.shed_counts import (
    RETURN_BINS,
    GroupCounts,
    GroupKey,
    sum_groups,
)
from damaskwind.decisions.admission.shed_cutoff import Cutoff, allocate
from damaskwind.decisions.admission.shed_history import LevelWork, UsualRates

__all__ = ["SHEDDING_WAIT_FRACTION", "FleetShedder", "PoolOccupancy"]

# A service is short of capacity if more than this fraction of the sends was late or refused.
SHORT_FRACTION = 0.04
# The budget while short, as a fraction of what was started: less the more was late or refused,
# so that a standing queue becomes shorter.
SHORT_FACTOR = 0.95
BACKLOG_WEIGHT = 0.15
# At this fraction of taken slots the budget does not grow, as answers are late near 1.
BUSY_FRACTION = 0.88
# The first budget of a surge, as a fraction of the slots that are taken.
FIRST_FACTOR = 0.95
# The fraction of the estimated capacity that is kept at each further cut.
CAPACITY_KEPT = 0.93
# Above this short fraction a service is cut even if slots seem free: they may not be what binds.
SEVERE_FRACTION = 0.6
# Work is counted in milliseconds at a target.
MS_PER_S = 1000.0
# Counts of fewer sends than this in a second are not significant.
MIN_SENDS = 10
# A decision stands for this time: the counts are a second old in the mean, so that its effect
# is not visible sooner.
MIN_STAND_S = 1.0
# While nothing is shed, counts are looked at this often, so that a surge is noticed soon.
OPEN_CHECK_S = 0.3
# Without shortage the budget grows in a second by this fraction of the free share of the slots.
GROWTH = 0.5
# Growth in a second in which the pool is idle although requests are shed.
IDLE_GROWTH = 0.4
# The drain rate is the mean of this many seconds, as one second of a small fleet is noisy.
DRAIN_SECONDS = 2
# The asked rates keep this fraction of their former value after a second.
ASKED_KEPT = 0.4
# Shedding ends when the budget exceeds the demand by this factor.
REOPEN_MARGIN = 1.1
# Fraction of the slots below which nothing is refused while nothing waits.
IDLE_FRACTION = 0.5
# A request may wait for this fraction of its objective while its service sheds requests, so that
# refusals are sent within an eighth of the objective.
SHEDDING_WAIT_FRACTION = 0.12
# The hash of requests changes after this time, longer than a caller's immediate retries take.
SALT_PERIOD_S = 2.0


class PoolOccupancy(NamedTuple):
    """The slots of a service's targets, the requests held there, and those queued at routers."""

    slots: int
    held: int
    waiting: int

    @property
    def is_idle(self) -> bool:
        """Return whether nothing waits and under half of the slots are taken."""
        return not self.waiting and self.held < IDLE_FRACTION * self.slots

    @property
    def load_permille(self) -> int:
        """Return what is held or waits as a share of the slots, in thousandths."""
        return 1000 * (self.held + self.waiting) // max(self.slots, 1)

    @property
    def free_share(self) -> float:
        """Return the share of the slots that may still be taken; 0 if the pool is busy."""
        return max(0.0, BUSY_FRACTION - self.held / max(self.slots, 1))


class FleetShedder:
    """The cut-off of one service, updated about once a second.

    >>> shedder = FleetShedder(7)
    >>> pool = PoolOccupancy(slots=10, held=12, waiting=30)
    >>> urgent = GroupCounts(1, 0, 50, 50, in_time=40, late=10, ended=50, work=5000)
    >>> other = GroupCounts(1, 2, 80, 80, in_time=20, late=20, refused=40, ended=40, work=4000)
    >>> shedder.update([urgent, other], pool, 1.0)
    >>> shedder.cutoff.levels
    (Share(of=2, permille=338),)
    >>> shedder.update([GroupCounts(1, 0, 20, 20, 20)], PoolOccupancy(10, 3, 0), 2.5)
    >>> shedder.cutoff.is_open
    True
    """

    def __init__(self, service: int) -> None:
        self.service = service
        self.cutoff = Cutoff(service)
        self.usual = UsualRates()
        self.budget: float | None = None
        self.short_fraction = 0.0
        self._asked: dict[GroupKey, float] = {}
        self._level_work = LevelWork()
        self._capacity = 0.0
        self._updated_s = float("-inf")
        self._starts: deque[int] = deque(maxlen=DRAIN_SECONDS)
        self._drains: deque[float] = deque(maxlen=DRAIN_SECONDS)

    @property
    def asked_per_s(self) -> float:
        """Return the smoothed number of requests asked per second."""
        return sum(self._asked.values())

    @property
    def drain_per_s(self) -> float:
        """Return the mean number of requests started per second."""
        return fmean(self._starts) if self._starts else 0.0

    def update(
        self,
        counts: Iterable[GroupCounts],
        pool: PoolOccupancy,
        now_s: float,
        returning: tuple[int, ...] = (),
    ) -> None:
        """Update the cut-off by the last second's counts, if the present one stood long enough."""
        least_s = OPEN_CHECK_S if self.cutoff.is_open else MIN_STAND_S
        if now_s - self._updated_s < least_s:
            return
        duration_s = min(now_s - self._updated_s, 2 * MIN_STAND_S)
        self._updated_s = now_s
        groups = sum_groups(counts)
        was_known = self._level_work.is_known
        self._level_work.learn(groups.values(), duration_s)
        if self._level_work.is_known != was_known:
            self._forget_budget()
        self._smooth_asked(groups, duration_s)
        self._record_starts(groups)
        self._set_budget(_short_fraction(groups, pool.waiting), pool, duration_s)
        self._set_cutoff(returning, duration_s, now_s)

    def _forget_budget(self) -> None:
        """Drop what was derived in requests when work is first known, or the reverse.

        A budget of some requests, taken as milliseconds, would refuse nearly all for many seconds.
        """
        self.budget = None
        self._capacity = 0.0
        self._drains.clear()

    def _smooth_asked(self, groups: dict[GroupKey, GroupCounts], duration_s: float) -> None:
        weight = 1.0 - ASKED_KEPT**duration_s
        for key in self._asked.keys() | groups.keys():
            newest = groups[key].asked if key in groups else 0
            before = self._asked.get(key, float(newest))
            self._asked[key] = before + weight * (newest - before)
        self._asked = {key: rate for key, rate in self._asked.items() if rate > 0.05}

    def _record_starts(self, groups: dict[GroupKey, GroupCounts]) -> None:
        """Record how many requests were started in the last second, and their work."""
        started = {key: item.in_time + item.late for key, item in groups.items()}
        self._starts.append(sum(started.values()))
        self._drains.append(sum(number * self._work(key) for key, number in started.items()))

    def _work(self, key: GroupKey) -> float:
        return self._level_work.of(key.priority)

    def _set_budget(self, short_fraction: float, pool: PoolOccupancy, duration_s: float) -> None:
        """Set the work to admit per second; `None` if the service is not short."""
        self.short_fraction = short_fraction
        if short_fraction > SHORT_FRACTION and self._is_pressed(pool):
            self._cut_budget(pool)
        elif self.budget is not None:
            growth_per_s = IDLE_GROWTH if pool.is_idle else GROWTH * pool.free_share
            self.budget *= (1.0 + growth_per_s) ** duration_s
        asked_work = sum(rate * self._work(key) for key, rate in self._asked.items())
        if self.budget is not None and self.budget > REOPEN_MARGIN * asked_work:
            self.budget = None

    def _is_pressed(self, pool: PoolOccupancy) -> bool:
        """Return whether the shortage that the last second's counts show still lasts.

        The state of the pool is fresher than the counts: without this, a service was cut once
        more after the first cut had its effect.
        """
        if pool.is_idle:
            return False
        is_queue_long = pool.waiting > SHORT_FRACTION * self.drain_per_s
        return not pool.free_share or is_queue_long or self.short_fraction > SEVERE_FRACTION

    def _cut_budget(self, pool: PoolOccupancy) -> None:
        """Cut the budget to what the service can start.

        The counts at the onset of a surge are partly of the calm before. The first estimate is
        therefore what the taken slots can do (Little's law). Once requests are shed, less is
        started than could be, so that the estimate is forgotten slowly.
        """
        if self.budget is None:
            busy_slots = min(pool.held, pool.slots) if self._level_work.is_known else 0
            self._capacity = FIRST_FACTOR * MS_PER_S * busy_slots
        self._capacity = max(fmean(self._drains), CAPACITY_KEPT * self._capacity)
        budget = self._capacity * (SHORT_FACTOR - BACKLOG_WEIGHT * self.short_fraction)
        # A budget of 0 would never grow. Nothing was started or held: no capacity is known.
        self.budget = budget or None

    def _set_cutoff(self, returning: tuple[int, ...], duration_s: float, now_s: float) -> None:
        by_account: dict[int, float] = {}
        for key, rate in self._asked.items():
            by_account[key.account] = by_account.get(key.account, 0.0) + rate
        if self.budget is None:
            if self.short_fraction <= SHORT_FRACTION:
                self.usual.learn(by_account, duration_s)
            self.cutoff = Cutoff(self.service)
            return
        asked_work = {key: rate * self._work(key) for key, rate in self._asked.items()}
        shares = self.usual.kept_shares(by_account)
        cutoff = allocate(self.service, asked_work, self.budget, shares)
        self.cutoff = cutoff._replace(
            salt=int(now_s / SALT_PERIOD_S) & 0x7F, spare_per_s=self._spare(returning)
        )

    def _spare(self, returning: tuple[int, ...]) -> tuple[int, ...]:
        """Return the capacity left in each coming second for further returns.

        A twentieth of the drain rate is always promised, so that some second is chosen.
        """
        drain_per_s = self.drain_per_s
        told = (*returning, *([0] * RETURN_BINS))[:RETURN_BINS]
        return tuple(round(max(drain_per_s - item, 0.05 * drain_per_s, 1.0)) for item in told)


def _short_fraction(groups: dict[GroupKey, GroupCounts], waiting: int) -> float:
    """Return the fraction of the admitted requests that was late, found no place or waits.

    Those that wait show a shortage before any answer is late.
    """
    late = sum(item.late + item.refused for item in groups.values()) + waiting
    ended = late + sum(item.in_time for item in groups.values())
    return late / ended if ended >= MIN_SENDS else 0.0
