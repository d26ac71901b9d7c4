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

__all__ = ["ServicePace", "ServiceSeen"]

# A service is pressed when more than this part of what was sent was late or turned away.
PRESSED_PART = 0.1
# Beyond this its queue stands full, and has to become shorter.
STANDING_PART = 0.4
# What is admitted, as a part of what the targets answered while they were pressed.
PRESSED_SHARE = 0.95
STANDING_SHARE = 0.8
# Without pressure it grows by this part in a second, by twice as much in the next, and so on:
# slowly to where the targets were pressed, fast back from an outage.
FIRST_GROWTH = 0.15
MOST_DOUBLINGS = 5.0
# Fewer sends than this in a second say nothing.
LEAST_SENDS = 10
LEAST_PART = 0.05
# What all see is a second old on the mean: what follows from a change shows no sooner.
TAKEN_EVERY_S = 0.8
# What all saw counts for so long; later the part grows as without pressure, since a router
# that is cut off from the others is no longer told that there is room again.
TOLD_S = 2.5


class ServiceSeen(NamedTuple):
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

    def plus(self, other: "ServiceSeen") -> "ServiceSeen":
        """Return both together."""
        return ServiceSeen(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))


class ServicePace:
    """The part of a service's requests that one router admits.

    >>> pace = ServicePace()
    >>> seen = ServiceSeen(asked=165, answered=130, late=100, turned_away=60, busy_ms=30_000)
    >>> pace.take(seen, places=6, now_s=1.0)
    >>> round(pace.part, 2)
    0.63
    >>> pace.take(ServiceSeen(165, 104, 2, 0, 5_000), 6, 2.0); round(pace.part, 2)
    0.72
    >>> round(pace.part_at(4.0), 2), pace.part_at(30.0)
    (0.72, 1.0)
    """

    def __init__(self) -> None:
        self.part = 1.0
        self._taken_s: float | None = None
        self._pressed_s = float("-inf")

    def part_at(self, now_s: float) -> float:
        """Return the part that is admitted now."""
        if self._taken_s is None:
            return 1.0
        untold_s = max(0.0, now_s - self._taken_s - TOLD_S)
        return self._grown(untold_s, now_s)

    def take(self, seen: ServiceSeen, places: int, now_s: float) -> None:
        """Take what all routers saw of targets with so many places together.

        It says nothing new so soon after the last time.
        """
        before_s = now_s if self._taken_s is None else self._taken_s
        if self._taken_s is not None and now_s - before_s < TAKEN_EVERY_S:
            return
        self._taken_s = now_s
        pressed_part = _pressed_part(seen, places)
        if pressed_part <= PRESSED_PART:
            self.part = self._grown(now_s - before_s, now_s)
            return
        self._pressed_s = now_s
        share = STANDING_SHARE if pressed_part > STANDING_PART else PRESSED_SHARE
        borne = share * seen.answered / max(seen.asked, 1)
        self.part = min(1.0, max(borne, LEAST_PART))

    def _grown(self, for_s: float, now_s: float) -> float:
        """Return the part after some seconds without pressure."""
        doublings = min(MOST_DOUBLINGS, max(0.0, now_s - self._pressed_s - 1.0))
        growth_per_s = 1.0 + FIRST_GROWTH * 2.0**doublings
        return min(1.0, self.part * growth_per_s**for_s)


def _pressed_part(seen: ServiceSeen, places: int) -> float:
    """Return the part of what was sent that was turned away, or late in a queue.

    Answers that are late while places are free are late for another reason, behind a slow
    link or at a target that hangs, and fewer requests would not make them faster.
    """
    sends = seen.answered + seen.turned_away
    if sends < LEAST_SENDS:
        return 0.0
    has_queue = seen.busy_ms > 1000 * places
    return (seen.turned_away + (seen.late if has_queue else 0)) / sends
