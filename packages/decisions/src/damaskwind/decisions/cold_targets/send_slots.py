"""Decide when one router of many may send to a cold target.

The pattern: a target that has just started, or has lost its caches, bears some requests a
second from the whole fleet, and every router finds it idle. What a router sends is known to the
others only half a second later, so that counting what all have sent would come too late. Instead
each router has slots of its own: it may send one request in each, and a time that has passed
unused is lost, as otherwise all routers would hold one back for the moment at which a hot part
comes. Their slots are spread at random, so that in any second about as many fall as the target
bears; see "ALOHA with slots", Roberts, ACM SIGCOMM Computer Communication Review 5, 1975, for what
chance leaves of a rate.
"""

from math import ceil

__all__ = ["RATE_SHARE", "SLOT_S", "SendSlots"]

# For so long a router may use one of its slots.
SLOT_S = 0.5
# The part of the stated rate that the slots come to: the rest is for chance, and for what
# is sent in one second and arrives in the next.
RATE_SHARE = 0.7


class SendSlots:
    """The slots of one router at one cold target, from `start_s` on.

    The first one comes after `phase`, between 0 and 1, of the interval between two.
    `routers` share the rate `per_s`, in requests a second.

    >>> slots = SendSlots(start_s=0.0, phase=0.25)
    >>> opened = [tick / 10 for tick in range(200) if slots.is_open(tick / 10, 70, 14.0)]
    >>> opened[0], len(opened)
    (1.8, 15)
    """

    def __init__(self, start_s: float, phase: float) -> None:
        self._start_s = start_s
        self._phase = phase
        self._opens_s: float | None = None

    def is_open(self, now_s: float, routers: int, per_s: float) -> bool:
        """Tell whether a request may be sent now."""
        interval_s = _interval_s(routers, per_s)
        opens_s = self._opens_s
        if opens_s is None:
            opens_s = self._start_s + self._phase * interval_s
        if now_s > opens_s + SLOT_S:
            opens_s += ceil((now_s - SLOT_S - opens_s) / interval_s) * interval_s
        self._opens_s = opens_s
        return now_s >= opens_s

    def sent(self, routers: int, per_s: float) -> None:
        """Note that a request was sent."""
        if self._opens_s is not None:
            self._opens_s += _interval_s(routers, per_s)


def _interval_s(routers: int, per_s: float) -> float:
    """Return the seconds between two slots of one router."""
    return max(routers, 1) / (per_s * RATE_SHARE)
