"""Retry budgets with deliberate faults, by name."""

from damaskwind.decisions.retries.shared_budget import SharedRetryBudget

__all__ = ["SEEDED_FAULTS"]


class TakesAllSlack(SharedRetryBudget):
    """Assumes that it is the only router."""

    def __init__(self, terms, routers, started_s):
        super().__init__(terms, lambda: 1, started_s)


class StartsWithSlack(SharedRetryBudget):
    """Spends its whole share of the slack after each restart."""

    def __init__(self, terms, routers, started_s):
        super().__init__(terms, routers, float("-inf"))


class ForgetsSoon(SharedRetryBudget):
    """Forgets retries after half a window."""

    def _drop_expired(self, now_s):
        super()._drop_expired(now_s)
        while self._retries and self._retries[0] <= now_s - self._terms.window_s / 2:
            self._retries.popleft()


SEEDED_FAULTS = {
    budget.__name__: budget for budget in (TakesAllSlack, StartsWithSlack, ForgetsSoon)
}
