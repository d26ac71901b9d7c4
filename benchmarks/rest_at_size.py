"""Simulate targets that request a rest, with 8 to 195 routers and three strategies.

The targets take turns by thirds: a third rejects every request for a period and requests a
rest of some seconds from each router that it rejects. Routers forget the request, keep it, or
keep it and share it. Requests have keys, so that each key has a preferred target. The retries
of a router are its share of the fleet's retry budget.

    python -m benchmarks.rest_at_size
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from damaskwind.decisions.placement.affinity import Candidate, choose_target, policy_for
from damaskwind.decisions.retries.shared_budget import BudgetTerms, SharedRetryBudget
from damaskwind.decisions.target_signals.answer_signals import AnswerSignals
from damaskwind.decisions.target_signals.signal_table import SignalTable, TargetSignal

__all__ = ["STRATEGIES", "RestFigures", "RestLoad", "simulate"]

STRATEGIES = ("forgotten", "kept", "shared")
IN_FLIGHT_S = 0.5
BUSY_S = 0.1
# The signals that one router received reach the others with the next sums.
SHARE_DELAY_S = 0.5
WORK_S = 0.4
MAX_SENDS = 3
SLOTS = 64


class RestLoad(NamedTuple):
    """The size of the fleet, the request rate per target and the rest that targets request."""

    routers: int
    targets: int
    requests_per_target_s: float = 10.0
    seconds: float = 30.0
    rest_s: float = 3.0
    rest_period_s: float = 9.0


class RestFigures(NamedTuple):
    """Most arrivals in a rest, outcomes as shares of the requests, and the highest load ratio."""

    worst_arrivals: int
    served: float
    turned_away: float
    refused_over_budget: float
    most_held_of_mean: float


class _RestRequest(NamedTuple):
    at_s: float
    until_s: float


class _Simulation:
    def __init__(self, strategy: str, load: RestLoad, seed: int) -> None:
        self.strategy, self.load, self.random = strategy, load, Random(seed)
        self.names = [f"t{number:03d}" for number in range(load.targets)]
        self.signals = [SignalTable() for _ in range(load.routers)]
        self.busy_until_s: dict[tuple[int, str], float] = {}
        self.in_progress: Counter[str] = Counter()
        self.arrived: dict[tuple[int, str], list[float]] = defaultdict(list)
        self.rest_requests: dict[tuple[int, str], list[_RestRequest]] = defaultdict(list)
        self.shared_signals: list[tuple[float, int, str, float]] = []
        self.completions: list[tuple[float, int, str]] = []
        self.outcomes: Counter[str] = Counter()
        self.max_load_ratio = 0.0
        self._numbers = count()
        terms = BudgetTerms()
        self.budgets = [
            SharedRetryBudget(terms, lambda: load.routers, -60.0) for _ in range(load.routers)
        ]

    def is_resting(self, name: str, now_s: float) -> bool:
        """Return whether a target rejects everything; the thirds take turns."""
        third = int(now_s / self.load.rest_period_s) % 3
        return self.names.index(name) % 3 == third

    def run(self) -> RestFigures:
        per_s = self.load.requests_per_target_s * self.load.targets
        now_s = 0.0
        while (now_s := now_s + self.random.expovariate(per_s)) < self.load.seconds:
            self._apply_due_events(now_s)
            self._serve(now_s)
        requests = self.outcomes.total() - self.outcomes["turned away"]
        worst = max(self._arrivals_in_rest(), default=0)
        parts = [
            self.outcomes[name] / requests for name in ("served", "turned away", "over budget")
        ]
        return RestFigures(worst, *parts, self.max_load_ratio)

    def _apply_due_events(self, now_s: float) -> None:
        """Apply the completions and the shared signals that are due."""
        while self.completions and self.completions[0][0] <= now_s:
            self.in_progress[heappop(self.completions)[2]] -= 1
        while self.shared_signals and self.shared_signals[0][0] <= now_s:
            at_s, _, name, until_s = heappop(self.shared_signals)
            for signals in self.signals:
                signals.observe(name, AnswerSignals(max(until_s - at_s, 0.0)), at_s)

    def _candidates(self, router: int, tried: set[str], now_s: float) -> list[Candidate]:
        signals, uses_signals = self.signals[router], self.strategy != "forgotten"
        return [
            Candidate(
                name,
                "domain",
                self.in_progress[name],
                SLOTS,
                self.busy_until_s.get((router, name), 0.0) > now_s,
                takes_work=(
                    takes_work := not uses_signals
                    or signals.signal(name, now_s) is TargetSignal.NOTHING
                ),
                is_held_back=not takes_work,
            )
            for name in self.names
            if name not in tried
        ]

    def _serve(self, now_s: float) -> None:
        router = self.random.randrange(self.load.routers)
        key = b"%d" % self.random.randrange(8 * self.load.targets)
        budget, policy = self.budgets[router], policy_for(self.load.routers, True)
        budget.count_request(now_s)
        tried: set[str] = set()
        for send in range(MAX_SENDS):
            choice = choose_target(
                self._candidates(router, tried, now_s), key, "domain", policy, self.random
            )
            if choice is None:
                self.outcomes["refused"] += 1
                return
            if send and not budget.take(now_s):
                self.outcomes["over budget"] += 1
                return
            name = choice.candidate.target_id
            tried.add(name)
            self.arrived[router, name].append(now_s)
            if not self.is_resting(name, now_s):
                self.outcomes["served"] += 1
                self._start_request(name, now_s)
                return
            self.outcomes["turned away"] += 1
            self._observe_rest(router, name, now_s)
        self.outcomes["refused"] += 1

    def _start_request(self, name: str, now_s: float) -> None:
        self.in_progress[name] += 1
        heappush(self.completions, (now_s + WORK_S, next(self._numbers), name))
        mean = sum(self.in_progress.values()) / len(self.names)
        self.max_load_ratio = max(self.max_load_ratio, self.in_progress[name] / (2 * mean + 3))

    def _observe_rest(self, router: int, name: str, now_s: float) -> None:
        until_s = now_s + self.load.rest_s
        self.rest_requests[router, name].append(_RestRequest(now_s, until_s))
        self.busy_until_s[router, name] = now_s + BUSY_S
        if self.strategy != "forgotten":
            self.signals[router].observe(name, AnswerSignals(self.load.rest_s), now_s)
        if self.strategy == "shared":
            shared_s = now_s + SHARE_DELAY_S
            heappush(self.shared_signals, (shared_s, next(self._numbers), name, until_s))

    def _arrivals_in_rest(self) -> Iterator[int]:
        for router_and_target, requests in self.rest_requests.items():
            for request in requests:
                yield sum(
                    request.at_s + IN_FLIGHT_S < at_s < request.until_s
                    for at_s in self.arrived[router_and_target]
                )


def simulate(strategy: str, load: RestLoad, seed: int) -> RestFigures:
    """Simulate a load under one strategy for the rests that targets request."""
    return _Simulation(strategy, load, seed).run()


def main() -> int:
    """Print the figures of all strategies at three sizes with two seeds each."""
    for routers, targets in ((8, 12), (57, 56), (195, 39)):
        for seed in (1, 2):
            for strategy in STRATEGIES:
                figures = simulate(strategy, RestLoad(routers, targets), seed)
                shown = " ".join(f"{name} {value:.3f}" for name, value in figures._asdict().items())
                print(
                    f"{routers:3d} routers, {targets} targets, seed {seed}, {strategy:9}: {shown}"
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
