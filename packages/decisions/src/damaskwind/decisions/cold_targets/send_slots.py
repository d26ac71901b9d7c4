"""Decide when one router of many may send to a cold target.

A target that has just started, or has lost its caches, can handle only some requests per second
from the whole fleet, and every router sees it as idle. The other routers learn of a send only half
a second later, so that a limit on the total sent would react too late. Instead each router has its
own send slots: it may send one request in each. An unused slot expires; otherwise all routers
would save one up and send at the same moment, when a hot part arrives. The routers' slots are
spread at random, so that about as many fall into any second as the target can handle. See "ALOHA
with slots", Roberts, ACM SIGCOMM Computer Communication Review 5, 1975, for the throughput that
random slots achieve.
"""

from math import ceil

__all__ = ["RATE_SHARE", "SLOT_S", "SendSlots"]

# How long a slot is open.
SLOT_S = 0.5
# The share of the configured rate that is assigned to slots. The rest is a margin for random
# clustering, and for requests that are sent in one second and arrive in the next.
RATE_SHARE = 0.7


class SendSlots:
    """The send slots of one router for one cold target, from `start_s` on.

    The first slot opens after the fraction `phase`, between 0 and 1, of the slot interval.
    `routers` routers share the rate `per_s`, in requests per second.

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
        """Return whether a request may be sent now."""
        interval_s = _interval_s(routers, per_s)
        opens_s = self._opens_s
        if opens_s is None:
            opens_s = self._start_s + self._phase * interval_s
        if now_s > opens_s + SLOT_S:
            opens_s += ceil((now_s - SLOT_S - opens_s) / interval_s) * interval_s
        self._opens_s = opens_s
        return now_s >= opens_s

    def record_sent(self, routers: int, per_s: float) -> None:
        """Record that a request was sent; the slot is used."""
        if self._opens_s is not None:
            self._opens_s += _interval_s(routers, per_s)


def _interval_s(routers: int, per_s: float) -> float:
    """Return the interval between the slots of one router."""
    return max(routers, 1) / (per_s * RATE_SHARE)
