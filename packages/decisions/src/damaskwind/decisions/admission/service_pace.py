"""Admit of a plain service's requests what its targets bear, by what all routers see.

The pattern: a target of few places that tells no load, before many routers. Each of them sees a
sliver of its answers and may always have one request there, so that together they keep its queue
full; who is served then is late, and callers come back. What all routers see together in a second
tells what the targets bear: the answers that came while they were pressed. Each router admits the
same part of what it is asked, at random, and turns the rest away at once. Nothing is bounded while
answers come in time. See Google's adaptive throttling at the client (Beyer and others, "Site
Reliability Engineering", 2016, chapter 21), of which this is the kind that sums over all clients.
"""

from typing import NamedTuple

__all__ = ["ServiceStats", "ServiceThrottle"]

# A service is pressed when more than this part of what was sent was late or turned away.
OVERLOADED_FRACTION = 0.1
# Beyond this its queue stands full, and has to become shorter.
STANDING_QUEUE_FRACTION = 0.4
# What is admitted, as a part of what the targets answered while they were pressed.
OVERLOADED_FACTOR = 0.95
STANDING_QUEUE_FACTOR = 0.8
# Without pressure it grows by this part in a second, by twice as much in the next, and so on:
# slowly to where the targets were pressed, fast back from an outage.
INITIAL_GROWTH = 0.15
MAX_DOUBLINGS = 5.0
# Fewer sends than this in a second say nothing.
MIN_SENDS = 10
MIN_ADMITTED_SHARE = 0.05
# What all see is a second old on the mean: what follows from a change shows no sooner.
MIN_UPDATE_GAP_S = 0.8
# What all saw counts for so long; later the part grows as without pressure, since a router
# that is cut off from the others is no longer told that there is room again.
STATS_VALID_S = 2.5


class ServiceStats(NamedTuple):
    """What was seen of a service in about a second, by one router or by all.

    `asked` counts requests that came for it, whether sent or not, `answered` its answers, of
    which `late` were late, `turned_away` those for which a target had no place, `busy_ms` the
    time that all answers took together.
    """

    asked: int = 0
    answered: int = 0
    late: int = 0
    turned_away: int = 0
    busy_ms: int = 0

    def plus(self, other: "ServiceStats") -> "ServiceStats":
        """Return both together."""
        return ServiceStats(*(mine + others for mine, others in zip(self, other, strict=True)))


class ServiceThrottle:
    """The part of a service's requests that one router admits.

    >>> throttle = ServiceThrottle()
    >>> stats = ServiceStats(asked=165, answered=130, late=100, turned_away=60, busy_ms=30_000)
    >>> throttle.update(stats, slots=6, now_s=1.0)
    >>> round(throttle.admitted_share, 2)
    0.63
    >>> throttle.update(ServiceStats(165, 104, 2, 0, 5_000), slots=6, now_s=2.0)
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
        """Return the part that is admitted now."""
        if self._updated_s is None:
            return 1.0
        stale_s = max(0.0, now_s - self._updated_s - STATS_VALID_S)
        return self._share_after_growth(stale_s, now_s)

    def update(self, stats: ServiceStats, slots: int, now_s: float) -> None:
        """Take what all routers saw of targets with so many places together.

        It says nothing new so soon after the last time.
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
        """Return the part after some seconds without pressure."""
        doublings = min(MAX_DOUBLINGS, max(0.0, now_s - self._overloaded_s - 1.0))
        growth_per_s = 1.0 + INITIAL_GROWTH * 2.0**doublings
        return min(1.0, self.admitted_share * growth_per_s**duration_s)


def _overload_fraction(stats: ServiceStats, slots: int) -> float:
    """Return the part of what was sent that was turned away, or late in a queue.

    Answers that are late while places are free are late for another reason, behind a slow
    link or at a target that hangs, and fewer requests would not make them faster.
    """
    sends = stats.answered + stats.turned_away
    if sends < MIN_SENDS:
        return 0.0
    has_queue = stats.busy_ms > 1000 * slots
    return (stats.turned_away + (stats.late if has_queue else 0)) / sends
