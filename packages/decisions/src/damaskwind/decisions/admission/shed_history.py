"""What is learned of a service over time: usual rates of accounts, and work of priorities."""

from collections.abc import Iterable
from statistics import median

from damaskwind.decisions.admission.shed_counts import GroupCounts

__all__ = ["LevelWork", "UsualRates"]

# The time over which the usual rate of an account is learned, and the least time needed.
USUAL_MEMORY_S = 30.0
MIN_LEARNED_S = 5.0
# An account is far above its usual rate beyond this multiple and this many requests per second,
# several standard deviations of a small account's count.
FAR_ABOVE = 2.5
FAR_ABOVE_PER_S = 8.0
# Accounts that are cut for their rate, the largest first: others are cut by priority only.
MAX_CUT_ACCOUNTS = 12
# Such an account keeps this multiple of its usual rate.
USUAL_ALLOWANCE = 1.25
# The mean work of a priority is remembered for about ten seconds.
WORK_KEPT = 0.9


class LevelWork:
    """The mean work of a request by priority, from those that have ended.

    >>> levels = LevelWork()
    >>> counts = [GroupCounts(1, 2, ended=4, work=4000), GroupCounts(1, 0, ended=4, work=800)]
    >>> levels.learn(counts, 1.0)
    >>> levels.of(2), levels.of(0), levels.of(5)
    (1000.0, 200.0, 600.0)
    """

    def __init__(self) -> None:
        self._ended: dict[int, float] = {}
        self._work: dict[int, float] = {}

    def learn(self, counts: Iterable[GroupCounts], duration_s: float) -> None:
        """Add the work that ended in the last second, `duration_s` after the last update."""
        for sums in (self._ended, self._work):
            for priority in sums:
                sums[priority] *= WORK_KEPT**duration_s
        for item in counts:
            level = item.priority
            self._ended[level] = self._ended.get(level, 0.0) + item.ended
            self._work[level] = self._work.get(level, 0.0) + item.work

    @property
    def is_known(self) -> bool:
        """Return whether any request has ended recently."""
        return sum(self._ended.values()) >= 1.0

    def of(self, priority: int) -> float:
        """Return the mean work of a request, which is that of all if its priority is unknown."""
        if self._ended.get(priority, 0.0) >= 1.0:
            return max(1.0, self._work[priority] / self._ended[priority])
        ended = sum(self._ended.values())
        return max(1.0, sum(self._work.values()) / ended) if ended >= 1.0 else 1.0


class UsualRates:
    """The usual requests per second of each client account, learned in calm periods.

    >>> rates = UsualRates()
    >>> for second in range(10):
    ...     rates.learn({1: 20.0, 2: 3.0, 3: 1.0}, 1.0)
    >>> rates.kept_shares({1: 100.0, 2: 3.0, 3: 1.0})
    {1: 0.25}
    """

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self.learned_s = 0.0

    def learn(self, asked: dict[int, float], duration_s: float) -> None:
        """Update the means by the rates of a calm period."""
        self.learned_s += duration_s
        weight = duration_s / min(max(self.learned_s, duration_s), USUAL_MEMORY_S)
        for account in self._rates.keys() | asked.keys():
            mean = self._rates.get(account, 0.0)
            self._rates[account] = mean + min(1.0, weight) * (asked.get(account, 0.0) - mean)
        self._rates = {account: rate for account, rate in self._rates.items() if rate > 0.01}

    def kept_shares(self, asked: dict[int, float]) -> dict[int, float]:
        """Return the shares that the accounts far above their usual rate keep at least.

        There are none before enough was learned, nor if only one account asks: then nobody
        else waits. If all accounts rise together, none of them is far above the others.
        """
        if self.learned_s < MIN_LEARNED_S or len(asked) < 2:
            return {}
        known = asked.keys() & self._rates.keys()
        rises = [asked[account] / self._rates[account] for account in known]
        common = max(1.0, median(rises) if rises else 1.0)
        usual = {account: common * self._rates.get(account, 0.0) for account in asked if account}
        far_above = [
            account
            for account, rate in usual.items()
            if asked[account] > FAR_ABOVE * rate + FAR_ABOVE_PER_S
        ]
        far_above.sort(key=lambda account: -asked[account])
        return {
            account: USUAL_ALLOWANCE * usual[account] / asked[account]
            for account in far_above[:MAX_CUT_ACCOUNTS]
        }
