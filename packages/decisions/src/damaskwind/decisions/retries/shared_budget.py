"""A retry budget that all routers share without speaking of it.

The bound holds for the sum over all routers: repeats in any window stay below
a ratio of the requests plus a fixed slack. Each router keeps to the ratio of
its own requests plus its part of the slack, so the sum keeps to the whole.

A router that restarts does not know what its former life has spent. In its
first window it therefore spends only what its former life has surely left: the
part of the bound that is otherwise not used, and of the slack as much as its age.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["BudgetTerms", "SharedRetryBudget"]

# Part of the bound that is used: windows slide, and a repeat counts when it arrives.
SAFETY_FACTOR = 0.8
# Part that is used in a router's first window, while its former life's counts.
FIRST_WINDOW_FACTOR = 1.0 - SAFETY_FACTOR


class BudgetTerms(NamedTuple):
    """The bound: `ratio` of the requests of `window_s` seconds, plus `slack` repeats."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 56.0


class SharedRetryBudget:
    """One router's part of the budget for one service, since `started_s` on its clock.

    >>> budget = SharedRetryBudget(BudgetTerms(0.2, 10.0, 5.0), lambda: 2)
    >>> [budget.take(0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(
        self,
        terms: BudgetTerms,
        routers: Callable[[], int],
        started_s: float = float("-inf"),
    ) -> None:
        self._terms = terms
        self._routers = routers
        self._started_s = started_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def take(self, now_s: float) -> bool:
        """Take one repeat if the budget holds it."""
        self._drop_expired(now_s)
        if len(self._retries) + 1 > self.allowance(now_s):
            return False
        self._retries.append(now_s)
        return True

    def allowance(self, now_s: float) -> float:
        """Return how many repeats the present window allows in all."""
        terms = self._terms
        age_windows = (now_s - self._started_s) / terms.window_s
        slack_share = min(1.0, age_windows) * terms.slack / max(self._routers(), 1)
        factor = SAFETY_FACTOR if age_windows >= 1.0 else FIRST_WINDOW_FACTOR
        return factor * (terms.ratio * len(self._requests) + slack_share)

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._terms.window_s
        for times_s in (self._requests, self._retries):
            while times_s and times_s[0] <= oldest_s:
                times_s.popleft()
