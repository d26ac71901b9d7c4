"""Refuse what a router that is told to stop could not answer before it ends.

A request is passed on if its own time ends before the router does, or if the requests of its route
that ended lately would have had the time. A refusal costs its caller one retry; a request that
is cut leaves it without knowing whether it ran.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf
from typing import NamedTuple

from damaskwind.router.forwarding.admission_gate import GateRefusal
from damaskwind.router.forwarding.call import Call
from damaskwind.runtime.clock import read_clock

__all__ = ["RouteDurations", "StopWindow", "TooLateError"]

# How many answers of a route are remembered, and for how long.
REMEMBERED_ANSWERS = 64
REMEMBERED_S = 60.0
# Routes beyond this number are forgotten, the one without answers for longest first.
REMEMBERED_ROUTES = 1024
# A request may take this much longer than the slowest one that is remembered.
SPARE_S = 0.3
# A refused caller comes back after this share of the time in which new connections are still
# taken: the load balancer may send it here again, and callers retry a few times only.
RETRY_SHARE = 0.5
MIN_RETRY_S = 0.1
TOO_LATE = "the router stops too soon for it"


class TooLateError(Exception):
    """A request waited until it could not be answered any more before the router ends."""


class _Answered(NamedTuple):
    """When a request was answered, and how long its target took."""

    ended_s: float
    took_s: float


class RouteDurations:
    """How long the latest answers of each route took, from the send to the end."""

    def __init__(self) -> None:
        self._answered: OrderedDict[str, deque[_Answered]] = OrderedDict()

    def record(self, route: str, took_s: float, now_s: float) -> None:
        """Remember one answer."""
        answered = self._answered.setdefault(route, deque(maxlen=REMEMBERED_ANSWERS))
        answered.append(_Answered(now_s, took_s))
        self._answered.move_to_end(route)
        if len(self._answered) > REMEMBERED_ROUTES:
            self._answered.popitem(last=False)

    def longest_s(self, route: str, now_s: float) -> float:
        """Return the longest time of a route's latest answers; infinite if there are none."""
        answered = self._answered.get(route, ())
        lately = [item.took_s for item in answered if now_s - item.ended_s <= REMEMBERED_S]
        return max(lately, default=inf)


class StopWindow:
    """The time that a router has left once it is told to stop; unbounded until then."""

    def __init__(self) -> None:
        self.durations = RouteDurations()
        self._ends_s = inf
        self._listens_until_s = inf
        self._waiting: dict[Call, asyncio.Timeout] = {}

    def begin(self, ends_s: float, listens_until_s: float) -> None:
        """Refuse from now on what would not be answered before `ends_s`."""
        self._ends_s, self._listens_until_s = ends_s, listens_until_s
        for call, limit in self._waiting.items():
            self._set_limit(call, limit)

    def record_delivered(self, call: Call, took_s: float) -> None:
        """Remember how long a target took for an answer."""
        self.durations.record(call.route.name, took_s, read_clock())

    def check(self, call: Call) -> GateRefusal | None:
        """Refuse a request that could not be answered if it were sent now."""
        if read_clock() <= self.latest_start_s(call):
            return None
        return GateRefusal(TOO_LATE, self.retry_after_s())

    def latest_start_s(self, call: Call) -> float:
        """Return until when a request may be sent to a target."""
        if call.deadline_s <= self._ends_s:
            return inf
        longest_s = self.durations.longest_s(call.route.name, read_clock())
        return self._ends_s - longest_s - SPARE_S

    def retry_after_s(self) -> float:
        """Return when a caller should retry, which then should meet another router."""
        left_s = self._listens_until_s - read_clock()
        return max(RETRY_SHARE * left_s, MIN_RETRY_S)

    @asynccontextmanager
    async def waiting(self, call: Call) -> AsyncIterator[None]:
        """Raise `TooLateError` once a request that waits in this block can't be answered."""
        try:
            async with asyncio.timeout(None) as limit:
                self._waiting[call] = limit
                self._set_limit(call, limit)
                yield
        except TimeoutError as error:
            raise TooLateError(TOO_LATE) from error
        finally:
            del self._waiting[call]

    def _set_limit(self, call: Call, limit: asyncio.Timeout) -> None:
        latest_s = self.latest_start_s(call)
        if latest_s == inf or limit.expired():
            return
        limit.reschedule(asyncio.get_running_loop().time() + max(latest_s - read_clock(), 0.0))
