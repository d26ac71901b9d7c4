"""Replay the traffic of many routers over few engines, each router observing a part of it.

Durations, keys and the unevenness of engines and routers are as in the logs of 65
routers and 30 engines: answers begin after some 0.25 s and last 1.6 s on average
with a long tail, 650 keys of which none is hot, two engines in thirty that
are slow, and three seconds with a surge. Each router has a call open at every
replica, which answers it after a second.
"""

import heapq
from collections import Counter
from itertools import count
from random import Random
from typing import NamedTuple

from damaskwind.decisions.load.held_requests import LoadEstimator, TargetLoad
from damaskwind.decisions.load.held_sums import HeldAggregator
from damaskwind.decisions.placement.affinity import Candidate, choose_target, policy_for

__all__ = ["Engine", "Fleet", "PartialViewReplay"]

KEYS = 650
SECONDS = 16
SURGE_S = range(8, 11)
SURGE = 1.6
# Mean duration of a stream by its kind, and the weight of the kind.
LASTS_S = (0.35, 0.8, 3.6)
KIND_WEIGHTS = (0.35, 0.35, 0.3)
SLOWNESS = 3.0
# An engine slows down with each request that it holds beyond this number.
QUICK_UP_TO = 12.5
SLOTS = 128
REPLICAS = 5
CALL_S = 1.0
# The users' rule: at most three in a hundred sends above the bound within five seconds.
WINDOW_S = 5


class Fleet(NamedTuple):
    """The numbers of routers and engines, and the requests per second."""

    routers: int
    engines: int
    per_s: float


class Engine:
    """One engine; `slowdown` multiplies the duration of its answers."""

    def __init__(self, name, slowdown):
        self.name = name
        self.slowdown = slowdown
        self.held = 0

    def slowness(self):
        return self.slowdown * max(1.0, 0.5 + self.held / (2 * QUICK_UP_TO))


class PartialViewReplay:
    """One run.

    Afterwards `sent`, `above` and `away` count per second the sends, those above the users'
    bound, and those that skipped their first rank; `errors` lists the errors of the estimated
    loads.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = Random(seed)
        self.engines = {f"t{number}": self._engine(number) for number in range(fleet.engines)}
        self.routers = [LoadEstimator() for _ in range(fleet.routers)]
        self.shares = [self.random.uniform(0.3, 2.0) for _ in self.routers]
        kinds = self.random.choices(LASTS_S, KIND_WEIGHTS, k=KEYS)
        self.keys = [(b"key%d" % number, lasts_s) for number, lasts_s in enumerate(kinds)]
        self.weights = [self.random.uniform(0.2, 2.0) for _ in self.keys]
        self.sent, self.above, self.away = Counter(), Counter(), Counter()
        self.errors, self.ages_s = [], []
        self.replicas = {f"replica{number}": HeldAggregator() for number in range(REPLICAS)}
        self._events, self._numbers = [], count()

    def _engine(self, number):
        slowdown = SLOWNESS if number % 15 == 7 else self.random.uniform(0.8, 1.2)
        return Engine(f"t{number}", slowdown)

    def play(self):
        """Run to the end; return the replay."""
        self.after(0.0, 0.0, self.arrive)
        for number, loads in enumerate(self.routers):
            for replica in self.replicas:
                self.after(0.0, self.random.random() * CALL_S, self.call, number, loads, replica)
        while self._events and self._events[0][0] < SECONDS:
            at_s, _, event, arguments = heapq.heappop(self._events)
            event(at_s, *arguments)
        return self

    def after(self, now_s, delay_s, event, *arguments):
        heapq.heappush(self._events, (now_s + delay_s, next(self._numbers), event, arguments))

    def arrive(self, now_s):
        per_s = self.fleet.per_s * (SURGE if int(now_s) in SURGE_S else 1.0)
        self.after(now_s, self.random.expovariate(per_s), self.arrive)
        loads = self.random.choices(self.routers, self.shares)[0]
        key, lasts_s = self.random.choices(self.keys, self.weights)[0]
        engine = self.place(loads, key, now_s)
        loads.record_sent(engine.name)
        engine.held += 1
        slowness = engine.slowness()
        begins_s = 0.08 + self.random.expovariate(1 / 0.15) * slowness
        self.after(now_s, begins_s, self.begin, loads, engine)
        ends_s = begins_s + self.random.expovariate(1 / lasts_s) * slowness
        self.after(now_s, ends_s, self.end, loads, engine)

    def place(self, loads, key, now_s):
        """Choose an engine as a router does, and record the choice."""
        known = loads.estimates(self.engines, len(self.routers), now_s)
        candidates = [Candidate(name, "d", known[name], SLOTS, False) for name in self.engines]
        policy = policy_for(len(self.routers), loads.has_sums(now_s))
        choice = choose_target(candidates, key, "d", policy, self.random)
        engine = self.engines[choice.candidate.target_id]
        held = [other.held for other in self.engines.values()]
        second = int(now_s)
        self.sent[second] += 1
        self.away[second] += choice.rank > 0
        self.above[second] += engine.held > 2 * sum(held) / len(held) + 3
        self.errors.append(choice.candidate.load - engine.held)
        self.ages_s.append(loads.basis(engine.name, now_s).age_s)
        return engine

    def call(self, now_s, number, loads, replica):
        self.replicas[replica].report(f"router{number}", loads.report_to(replica), now_s)
        self.after(now_s, CALL_S, self.answer, number, loads, replica)

    def answer(self, now_s, number, loads, replica):
        loads.observe_sum(replica, self.replicas[replica].total(now_s), now_s)
        self.call(now_s, number, loads, replica)

    def begin(self, now_s, loads, engine):
        loads.observe_report(engine.name, TargetLoad(engine.held, 0, SLOTS), now_s)

    def end(self, now_s, loads, engine):
        loads.record_ended(engine.name)
        engine.held -= 1

    def worst_share_above(self):
        """Return the largest share of sends above the users' bound in five seconds."""
        return max(
            sum(self.above[second] for second in window)
            / sum(self.sent[second] for second in window)
            for window in (
                range(first, first + WINDOW_S) for first in range(SECONDS - WINDOW_S + 1)
            )
        )

    def share_away(self):
        """Return the share of sends that skipped their first rank."""
        return self.away.total() / self.sent.total()

    def error_sd(self):
        """Return the standard deviation of the estimated load's error, in requests."""
        mean = sum(self.errors) / len(self.errors)
        return (sum((error - mean) ** 2 for error in self.errors) / len(self.errors)) ** 0.5
