"""Random histories of routers that share one retry budget and restart.

Requests arrive at varying rates, each may ask for several retries, and processes are
killed and restart without state. The oracle counts the retries of all routers in every
window of the history.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable
from random import Random
from time import monotonic
from typing import NamedTuple

from damaskwind.decisions.retries.shared_budget import BudgetTerms, SharedRetryBudget

__all__ = ["FuzzResult", "find_violation", "fuzz_retries"]

TERMS = BudgetTerms(0.2, 10.0, 56.0)
HISTORY_S = 45.0

MakeBudget = Callable[[BudgetTerms, Callable[[], int], float], SharedRetryBudget]


class FuzzResult(NamedTuple):
    """The result of a run; `first_failed` is the number of a history within it."""

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


class _Fleet:
    """All routers, and the requests and retries that reach the service."""

    def __init__(self, random: Random, make_budget: MakeBudget) -> None:
        self.random = random
        self.make_budget = make_budget
        self.count = random.choice([1, 3, 8, 20])
        self.budgets = [self._start(0.0) for _ in range(self.count)]
        self.requests: list[float] = []
        self.retries: list[float] = []

    def _start(self, now_s: float) -> SharedRetryBudget:
        return self.make_budget(TERMS, lambda: self.count, now_s)

    def request(self, now_s: float, wanted: int) -> None:
        """Submit a request to a random router and ask for `wanted` retries."""
        budget = self.random.choice(self.budgets)
        budget.count_request(now_s)
        self.requests.append(now_s)
        self.retries += [now_s for _ in range(wanted) if budget.take(now_s)]

    def restart(self, now_s: float) -> None:
        """Restart some routers, or all, without their state."""
        share = self.random.choice([0.2, 1.0])
        for number in range(self.count):
            if self.random.random() < share:
                self.budgets[number] = self._start(now_s)

    def exceeded_at(self) -> float | None:
        """Return the end of a window with too many retries, or `None`.

        The bound uses the requests of the window itself, of the one before it or of the
        one half a window earlier, whichever has most.
        """
        length_s = TERMS.window_s
        for end_s in (*self.retries, *(at_s + length_s for at_s in self.retries)):
            retried = _between(self.retries, end_s - length_s, end_s)
            asked = max(
                _between(self.requests, end_s - length_s - offset_s, end_s - offset_s)
                for offset_s in (0.0, length_s / 2, length_s)
            )
            if retried > TERMS.ratio * asked + TERMS.slack:
                return end_s
        return None


def _between(times_s: list[float], begin_s: float, end_s: float) -> int:
    """Return how many times lie after `begin_s`, up to `end_s`."""
    return bisect_left(times_s, end_s + 1e-9) - bisect_left(times_s, begin_s + 1e-9)


def find_violation(seeds: Iterable[int], make_budget: MakeBudget = SharedRetryBudget) -> str | None:
    """Run the history of each seed; describe the first window that was exceeded."""
    for seed in seeds:
        random = Random(seed)
        fleet = _Fleet(random, make_budget)
        now_s = 0.0
        rate = random.choice([3.0, 30.0, 150.0])
        while now_s < HISTORY_S:
            if random.random() < 0.02:
                rate = random.choice([3.0, 30.0, 150.0])
            if random.random() < 0.005:
                fleet.restart(now_s)
            now_s += random.expovariate(rate)
            fleet.request(now_s, random.choice([0, 1, 3]))
        at_s = fleet.exceeded_at()
        if at_s is not None:
            return f"the history of seed {seed} exceeds the bound in the window up to {at_s:.2f} s"
    return None


def fuzz_retries(seed: int, seconds: float, histories: int, bug: str | None = None) -> FuzzResult:
    """Run histories of consecutive seeds until the time or count limit is reached."""
    from damaskwind.decisions.retries.tests.seeded_faults import SEEDED_FAULTS

    make_budget = SEEDED_FAULTS[bug] if bug else SharedRetryBudget
    started_s = monotonic()
    histories_run = 0
    while monotonic() - started_s < seconds and histories_run < histories:
        failure = find_violation([seed + histories_run], make_budget)
        histories_run += 1
        if failure is not None:
            return FuzzResult(histories_run, monotonic() - started_s, histories_run - 1, failure)
    return FuzzResult(histories_run, monotonic() - started_s, None, None)
