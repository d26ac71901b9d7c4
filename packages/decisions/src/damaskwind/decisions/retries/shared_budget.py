"""A retry budget that all routers share without communication.

The bound holds for the sum over all routers: the retries in any window stay below
a ratio of the requests plus a fixed slack. Each router is limited to the ratio of
its own requests plus an equal share of the slack, so that the sum is within the bound.

A restarted router does not know how much its previous incarnation spent. In its first
window it therefore spends only what that one certainly left: the part of the bound that
`SAFETY_FACTOR` leaves unused, with a slack that grows with the router's age.
"""

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

__all__ = ["BudgetTerms", "SharedRetryBudget"]

# The used part of the bound: windows slide, and a retry counts when it arrives.
SAFETY_FACTOR = 0.8
# The part used in a router's first window, which includes its previous incarnation.
FIRST_WINDOW_FACTOR = 1.0 - SAFETY_FACTOR


class BudgetTerms(NamedTuple):
    """The bound: `ratio` of the requests of `window_s` seconds, plus `slack` retries."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 56.0


class SharedRetryBudget:
    """One router's part of a service's budget; the router started at `started_s`.

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

    @property
    def window_s(self) -> float:
        """Return the length of the window in which retries are counted."""
        return self._terms.window_s

    def count_request(self, now_s: float) -> None:
        """Count a request of a caller, without its retries."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def take(self, now_s: float) -> bool:
        """Take one retry from the budget if any is left; return whether it was taken."""
        if not self.has_left(now_s):
            return False
        self._retries.append(now_s)
        return True

    def has_left(self, now_s: float) -> bool:
        """Return whether a retry could be taken now."""
        self._drop_expired(now_s)
        return len(self._retries) + 1 <= self.allowance(now_s)

    def give_back(self, taken_s: float) -> None:
        """Return a retry that was taken at `taken_s` and not made.

        >>> budget = SharedRetryBudget(BudgetTerms(0.0, 10.0, 2.5), lambda: 2)
        >>> budget.take(1.0), budget.take(2.0); budget.give_back(1.0); budget.take(2.0)
        (True, False)
        True
        """
        with suppress(ValueError):
            self._retries.remove(taken_s)

    def allowance(self, now_s: float) -> float:
        """Return how many retries the current window allows in total."""
        self._drop_expired(now_s)
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
