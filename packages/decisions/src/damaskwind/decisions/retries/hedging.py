"""Decide when an overdue request is sent to a second target, and when it is not.

A request is overdue if its answer has not begun after a high percentile of the recent start
times of its route; the first of the two answers that begins is delivered: "The Tail at
Scale", Dean and Barroso, CACM 2013. A second send is extra load. So it is made only while
the pool has headroom, and its part of the retry budget is bounded, which keeps the rest
for retries after failures.
"""

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from math import ceil
from typing import NamedTuple

from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.decisions.retries.shared_budget import SharedRetryBudget

__all__ = [
    "MAX_STREAM_OVERLAP_S",
    "OVERDUE_AVOID_S",
    "HedgeBudget",
    "HedgeRefusal",
    "HedgeSituation",
    "OverdueDelay",
    "StartTimes",
    "find_target_refusal",
    "refuse_hedge",
]

# Two targets at work on one stream for 0.4 s count as a duplicate execution; the rest is for
# the reset of the connection to reach its target.
MAX_STREAM_OVERLAP_S = 0.3
# The percentile of start times beyond which a request is overdue (CACM 2013, page 77).
OVERDUE_PERCENTILE = 0.95
# Start times remembered per route, and their maximum age: one of 138 routers starts some 15
# requests of a route per minute.
MAX_START_TIMES = 64
START_TIME_TTL_S = 120.0
# With fewer start times, a high percentile has no information and the default delay is used.
MIN_START_TIMES = 20
# Delays as shares of the objective. Before the least one, the objective is not in danger;
# after the greatest one, a second answer would hardly be in time.
DEFAULT_DELAY_SHARE = 0.5
MIN_DELAY_SHARE = 0.3
MAX_DELAY_SHARE = 0.5
# The share of the retry budget that second sends may use.
BUDGET_SHARE = 0.5
# Beyond this median start time of a pool, as a share of the objective, requests are overdue
# because the pool is overloaded, and second sends would add to the load.
MAX_START_FRACTION = 0.6
# While less than this share of a service's requests is admitted, its targets are overloaded. A
# slow target alone lowers the share too, and is what second sends are for.
MIN_ADMITTED_SHARE = 0.7
# A target that reports no load is avoided for this time after an overdue request was canceled
# there: without the request it looks idle, while it usually stays slow for some 0.5 s.
OVERDUE_AVOID_S = 0.5
# With less time before the deadline, a second answer would come too late.
MIN_LEFT_S = 0.03


class OverdueDelay(NamedTuple):
    """After how long a request is overdue, and from how many start times that was learned."""

    delay_s: float
    learned_from: int


class StartTimes:
    """Recent times from the send to the start of the answer, for each route.

    >>> times = StartTimes()
    >>> times.overdue_delay("r", 1.0, 0.0)
    OverdueDelay(delay_s=0.5, learned_from=0)
    >>> for number in range(40): times.record("r", 0.01 * number, 0.0)
    >>> times.overdue_delay("r", 1.0, 0.0)
    OverdueDelay(delay_s=0.37, learned_from=40)
    """

    def __init__(self) -> None:
        self._times: dict[str, deque[tuple[float, float]]] = {}

    def record(self, route: str, start_s: float, now_s: float) -> None:
        """Record the start time of a first send.

        If the send was canceled because a second one won, `start_s` is the time that it had
        waited. Without these lower bounds the percentile would sink with each second send.
        """
        times = self._times.setdefault(route, deque(maxlen=MAX_START_TIMES))
        times.append((now_s, start_s))

    def overdue_delay(self, route: str, objective_s: float, now_s: float) -> OverdueDelay:
        """Return after how long a request of a route is overdue."""
        times = self._times.get(route, ())
        recent = sorted(start_s for at_s, start_s in times if at_s > now_s - START_TIME_TTL_S)
        if len(recent) < MIN_START_TIMES:
            return OverdueDelay(DEFAULT_DELAY_SHARE * objective_s, len(recent))
        percentile_s = recent[ceil(OVERDUE_PERCENTILE * len(recent)) - 1]
        bounded_s = max(percentile_s, MIN_DELAY_SHARE * objective_s)
        return OverdueDelay(min(bounded_s, MAX_DELAY_SHARE * objective_s), len(recent))


class HedgeSituation(NamedTuple):
    """An overdue request and its pool, as far as a second send depends on them.

    `queued` counts the requests of this router that wait for the pool, `headroom` is how many
    more it may send there, `start_fraction` the median start time as a share of the objective,
    and `admitted_share` the share of requests that all routers admit to the service.
    """

    left_s: float
    is_suspected: bool = False
    queued: int = 0
    headroom: int = 1
    start_fraction: float = 0.0
    admitted_share: float = 1.0


class HedgeRefusal(StrEnum):
    """Why an overdue request is not sent to a second target."""

    DEADLINE = "deadline"
    SUSPECTED = "suspected fatal"
    POOL_SHORT = "pool short of slots"
    NO_TARGET = "no other target"
    NO_MEMORY = "no engine memory"
    BUDGET = "budget spent"


_Rule = Callable[[HedgeSituation], bool]

# The first rule that applies gives the reason.
_RULES: tuple[tuple[HedgeRefusal, _Rule], ...] = (
    (HedgeRefusal.DEADLINE, lambda it: it.left_s < MIN_LEFT_S),
    (HedgeRefusal.SUSPECTED, lambda it: it.is_suspected),
    (HedgeRefusal.POOL_SHORT, lambda it: it.queued > 0 or it.headroom <= 0),
    (HedgeRefusal.POOL_SHORT, lambda it: it.admitted_share < MIN_ADMITTED_SHARE),
    (HedgeRefusal.POOL_SHORT, lambda it: it.start_fraction > MAX_START_FRACTION),
)


def refuse_hedge(situation: HedgeSituation) -> HedgeRefusal | None:
    """Return why an overdue request is not sent again, or `None` if it may be.

    >>> refuse_hedge(HedgeSituation(1.0)) is None
    True
    >>> refuse_hedge(HedgeSituation(1.0, queued=1))
    <HedgeRefusal.POOL_SHORT: 'pool short of slots'>
    """
    return next((reason for reason, applies in _RULES if applies(situation)), None)


def find_target_refusal(candidate: Candidate) -> HedgeRefusal | None:
    """Return why the chosen target gets no second send, or `None` if it may get one.

    A target that is cold, slow, doubtful, leaving, paused or evacuated gets none, nor does an
    engine whose memory has no room. One that reports no load is assumed to have a free slot.

    >>> find_target_refusal(Candidate("t", "d", 8.0, 8, False))
    <HedgeRefusal.POOL_SHORT: 'pool short of slots'>
    """
    if candidate.is_doubtful or candidate.is_slow or not candidate.takes_work:
        return HedgeRefusal.NO_TARGET
    if candidate.room is not None and not candidate.room.fits:
        return HedgeRefusal.NO_MEMORY
    if candidate.has_known_load and candidate.load + 1 > candidate.slots:
        return HedgeRefusal.POOL_SHORT
    return None


class HedgeBudget:
    """The second sends of one router to a service, as a bounded part of its retry budget.

    >>> from damaskwind.decisions.retries.shared_budget import BudgetTerms
    >>> retries = SharedRetryBudget(BudgetTerms(0.2, 10.0, 5.0), lambda: 1)
    >>> budget = HedgeBudget(retries)
    >>> [budget.take(0.0) for _ in range(3)], [retries.take(0.0) for _ in range(3)]
    ([True, True, False], [True, True, False])
    """

    def __init__(self, retries: SharedRetryBudget, share: float = BUDGET_SHARE) -> None:
        self._retries = retries
        self._share = share
        self._taken: deque[float] = deque()

    def take(self, now_s: float) -> bool:
        """Take one second send from the retry budget; return `False` if its share is spent."""
        while self._taken and self._taken[0] <= now_s - self._retries.window_s:
            self._taken.popleft()
        if len(self._taken) + 1 > self._share * self._retries.allowance(now_s):
            return False
        if not self._retries.take(now_s):
            return False
        self._taken.append(now_s)
        return True
