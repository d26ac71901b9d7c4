"""Throttle the requests to a service without load reports, by what all routers observe.

A target with few slots that reports no load is used by many routers. Each router has only a
partial observation of its answers and may always have one request there, so that together they
keep its queue full; requests are then served late, and callers retry. The observations of all
routers in one second show the capacity of the targets: the number of answers given while they
were overloaded. Each router admits the same fraction of its requests, at random, and rejects the
rest at once. There is no limit while answers are in time. This is adaptive throttling at the
client (Beyer and others, "Site Reliability Engineering", 2016, chapter 21), with statistics summed
over all clients.
"""

from typing import NamedTuple

__all__ = ["ServiceStats", "ServiceThrottle"]

# A service is overloaded if more than this fraction of sends was late or rejected.
OVERLOADED_FRACTION = 0.1
# Above this fraction it has a standing queue, which has to become shorter.
STANDING_QUEUE_FRACTION = 0.4
# Requests to admit, as a fraction of those that the targets answered while overloaded.
OVERLOADED_FACTOR = 0.95
STANDING_QUEUE_FACTOR = 0.8
# Without overload the admitted share grows by this fraction in the first second, by twice as
# much in the next, and so on: slowly near the last overload, quickly after an outage.
INITIAL_GROWTH = 0.15
MAX_DOUBLINGS = 5.0
# Statistics of fewer sends than this in a second are not significant.
MIN_SENDS = 10
MIN_ADMITTED_SHARE = 0.05
# The statistics are a second old on average, so the effect of a change is not visible sooner.
MIN_UPDATE_GAP_S = 0.8
# Statistics are valid for this time. After that the share grows as without overload, since a
# router that is partitioned from the others does not learn that there is headroom again.
STATS_VALID_S = 2.5


class ServiceStats(NamedTuple):
    """Observations of a service over about one second, by one router or by all.

    `asked` counts received requests, whether sent or not, `answered` the answers, of which
    `late` were late, `turned_away` the requests rejected by a target without a free slot, and
    `busy_ms` the total time that the answers took.
    """

    asked: int = 0
    answered: int = 0
    late: int = 0
    turned_away: int = 0
    busy_ms: int = 0

    def plus(self, other: "ServiceStats") -> "ServiceStats":
        """Return the sum of two observations."""
        return ServiceStats(*(left + right for left, right in zip(self, other, strict=True)))


class ServiceThrottle:
    """The share of a service's requests that one router admits, from 0 to 1.

    >>> throttle = ServiceThrottle()
    >>> stats = ServiceStats(asked=165, answered=130, late=100, turned_away=60, busy_ms=30_000)
    >>> throttle.update(stats, slots=6, now_s=1.0)
    >>> round(throttle.admitted_share, 2)
    0.63
    >>> throttle.update(ServiceStats(165, 104, 2, 0, 5_000), 6, 2.0)
    >>> round(throttle.admitted_share, 2)
    0.72
    >>> round(throttle.admitted_share_at(4.0), 2), throttle.admitted_share_at(30.0)
    (0.72, 1.0)
    """

    def __init__(self) -> None:
        self.admitted_share = 1.0
        self._updated_s: float | None = None
        self._overloaded_s = float("-inf")

    def admitted_share_at(self, now_s: float) -> float:
        """Return the share that is admitted now."""
        if self._updated_s is None:
            return 1.0
        stale_s = max(0.0, now_s - self._updated_s - STATS_VALID_S)
        return self._share_after_growth(stale_s, now_s)

    def update(self, stats: ServiceStats, slots: int, now_s: float) -> None:
        """Update the share by the statistics of all routers; the targets have `slots` in total.

        An update too soon after the last one is ignored, as it has no new information.
        """
        previous_s = now_s if self._updated_s is None else self._updated_s
        if self._updated_s is not None and now_s - previous_s < MIN_UPDATE_GAP_S:
            return
        self._updated_s = now_s
        overload_fraction = _overload_fraction(stats, slots)
        if overload_fraction <= OVERLOADED_FRACTION:
            self.admitted_share = self._share_after_growth(now_s - previous_s, now_s)
            return
        self._overloaded_s = now_s
        factor = (
            STANDING_QUEUE_FACTOR
            if overload_fraction > STANDING_QUEUE_FRACTION
            else OVERLOADED_FACTOR
        )
        sustained_share = factor * stats.answered / max(stats.asked, 1)
        self.admitted_share = min(1.0, max(sustained_share, MIN_ADMITTED_SHARE))

    def _share_after_growth(self, duration_s: float, now_s: float) -> float:
        """Return the share after `duration_s` without overload."""
        doublings = min(MAX_DOUBLINGS, max(0.0, now_s - self._overloaded_s - 1.0))
        growth_per_s = 1.0 + INITIAL_GROWTH * 2.0**doublings
        return min(1.0, self.admitted_share * growth_per_s**duration_s)


def _overload_fraction(stats: ServiceStats, slots: int) -> float:
    """Return the fraction of sends that were rejected, or late because of a queue.

    Answers that are late while slots are free have another cause, such as a slow link or a
    target that hangs, and fewer requests would not make them faster.
    """
    sends = stats.answered + stats.turned_away
    if sends < MIN_SENDS:
        return 0.0
    has_queue = stats.busy_ms > 1000 * slots
    return (stats.turned_away + (stats.late if has_queue else 0)) / sends
