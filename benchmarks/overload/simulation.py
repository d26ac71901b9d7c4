"""Run the decisions of several routers against modelled engines, in simulated time."""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random
from typing import NamedTuple

from benchmarks.overload.engines import Engine, EngineParameters, Job
from benchmarks.overload.patterns import AFTER_S, BEFORE_S, KINDS, SURGE_S, Arrival, Pattern
from damaskwind.decisions.admission.fair_queue import PoolRequest
from damaskwind.decisions.admission.pool_admission import (
    AdmissionStep,
    PoolAdmission,
    TargetSlots,
)
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.load.held_requests import LoadEstimator, TargetLoad
from damaskwind.decisions.load.held_sums import HeldAggregator
from damaskwind.decisions.placement.affinity import (
    AffinityPolicy,
    Candidate,
    choose_target,
    policy_for,
)

__all__ = ["Outcome", "Simulation", "Totals"]

# A caller whose answer has not begun leaves after so many objectives, or seconds if longer.
PATIENCE_OBJECTIVES = 4.0
MIN_PATIENCE_S = 2.0
IMMEDIATE_RETRY_S = 0.05
POLL_INTERVAL_S = 0.05
INITIAL_LIMIT_PER_TARGET = 32
# Each router has a call open at each replica, which answers after a second.
REPLICAS = 3
SUM_EXCHANGE_S = 1.0
# Time after the last arrival in which the longest deadline passes.
DRAIN_S = 16.0


class Outcome(NamedTuple):
    """The outcome of one attempt of a caller."""

    arrival: Arrival
    end: str
    took_s: float
    refused_after_s: float | None


class Totals(NamedTuple):
    """Totals of the surge: value served in time, shares by kind, refusals, abandonment."""

    on_time_value: float
    on_time_by_kind: dict[str, float]
    refused: int
    left_unanswered: int
    asked: int
    slow_refusals: float
    on_time_per_s: float
    recomputed_tokens: int


class _Attempt:
    """One attempt of a caller."""

    def __init__(self, number: int, arrival: Arrival, at_s: float, came_back: bool) -> None:
        self.number = number
        self.arrival = arrival
        self.at_s = at_s
        self.came_back = came_back
        self.job: Job | None = None
        self.is_done = False
        self.request: PoolRequest | None = None
        self.target = ""


class _Router:
    """The decision state of one router."""

    def __init__(self, name: str, random: Random, routers: int, engines: int) -> None:
        self.name = name
        self.random = random
        target_limit = max(2.0, INITIAL_LIMIT_PER_TARGET / routers)
        self.is_poll_scheduled = False
        self.loads = LoadEstimator()
        self.admission = PoolAdmission(
            random,
            WindowPolicy(
                initial_limit=target_limit,
                initial_pool_limit=max(2.0, INITIAL_LIMIT_PER_TARGET * engines / routers),
            ),
        )


class Simulation:
    """One simulation of a pattern; without `admits` every request is sent immediately."""

    def __init__(
        self, pattern: Pattern, admits: bool, seed: int, engines: int = 6, routers: int = 8
    ) -> None:
        self._pattern = pattern
        self._admits = admits
        self._random = Random(seed)
        self._parameters = EngineParameters()
        self._engines = {f"e{n}": Engine(f"e{n}", self._parameters) for n in range(engines)}
        self._routers = [
            _Router(f"r{n}", Random(seed * 100 + n), routers, engines) for n in range(routers)
        ]
        self._replicas = {f"replica{n}": HeldAggregator() for n in range(REPLICAS)}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count(1)
        self._attempts: dict[int, tuple[_Router, _Attempt]] = {}
        self._stepping: set[str] = set()
        self.now_s = 0.0
        self.outcomes: list[Outcome] = []

    def run(self) -> Totals:
        """Run to the end and return the totals."""
        self._warm_caches()
        for arrival in self._pattern.arrivals:
            self._at(arrival.at_s, lambda arrival=arrival: self._arrive(arrival, False))
        for name in list(self._engines)[: self._pattern.lost_engines]:
            self._at(BEFORE_S + 1.0, lambda name=name: self._crash(name))
        for router in self._routers:
            for replica in self._replicas:
                self._at(
                    self._random.random() * SUM_EXCHANGE_S,
                    partial(self._exchange_sums, router, replica),
                )
        end_s = BEFORE_S + SURGE_S + AFTER_S + DRAIN_S
        while self._events and self.now_s < end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self._totals()

    def _exchange_sums(self, router: _Router, replica: str) -> None:
        """Report a router's requests in flight to a replica and receive the sums a second later."""
        sums = self._replicas[replica]
        sums.report(router.name, router.loads.report_to(replica), self.now_s)

        def deliver_sums() -> None:
            router.loads.observe_sum(replica, sums.total(self.now_s), self.now_s)
            self._exchange_sums(router, replica)

        self._at(self.now_s + SUM_EXCHANGE_S, deliver_sums)

    def _warm_caches(self) -> None:
        """Cache every shared prefix at its preferred engine, as after some minutes of calm."""
        idle = [Candidate(name, "d", 0.0, self._parameters.slots, False) for name in self._engines]
        for kind in KINDS:
            for subject in range(kind.subjects):
                name = f"{kind.name}-{subject}"
                chosen = choose_target(idle, name.encode(), "d", AffinityPolicy(), self._random)
                engine = self._engines[chosen.candidate.target_id]
                engine.cache_prefixes(((name, kind.shared_tokens),))

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _arrive(self, arrival: Arrival, came_back: bool) -> None:
        """Send a caller's request to a random router."""
        router = self._random.choice(self._routers)
        attempt = _Attempt(next(self._numbers), arrival, self.now_s, came_back)
        self._attempts[attempt.number] = (router, attempt)
        kind = arrival.kind
        patience_s = max(PATIENCE_OBJECTIVES * kind.objective_s, MIN_PATIENCE_S)
        remaining_s = min(arrival.at_s + kind.deadline_s - self.now_s, patience_s)
        self._at(self.now_s + remaining_s, lambda: self._abandon(router, attempt))
        chosen = self._choose(router, attempt)
        if not self._admits:
            self._send(router, attempt, chosen)
            return
        deadline_s = arrival.at_s + kind.deadline_s
        attempt.request = PoolRequest(
            attempt.number,
            kind.rank,
            arrival.account,
            self.now_s,
            deadline_s,
            kind.objective_s,
            came_back,
            chosen,
        )
        admitted = router.admission.offer(attempt.request, self._free_slots(router), self.now_s)
        if admitted.step is AdmissionStep.START:
            self._send(router, attempt, chosen)
        for refusal in admitted.turned_away:
            self._refuse(self._attempts[refusal.number][1], refusal.retry_after_s)
        if admitted.step is AdmissionStep.WAIT:
            self._at(admitted.wait_until_s, lambda: self._expire(router, attempt))
            self._schedule_poll(router)

    def _expire(self, router: _Router, attempt: _Attempt) -> None:
        refusal = router.admission.expire(attempt.number, self.now_s)
        if refusal is not None:
            self._refuse(attempt, refusal.retry_after_s)

    def _refuse(self, attempt: _Attempt, retry_after_s: float) -> None:
        """Refuse an attempt; each caller retries at most once."""
        attempt.is_done = True
        arrival = attempt.arrival
        if self._pattern.returns_at_once:
            retry_after_s = IMMEDIATE_RETRY_S
        waited_s = self.now_s - attempt.at_s
        remaining_s = arrival.at_s + arrival.kind.deadline_s - self.now_s
        if attempt.came_back or retry_after_s > remaining_s / 3:
            self.outcomes.append(Outcome(arrival, "refused", self.now_s - arrival.at_s, waited_s))
            return
        self.outcomes.append(Outcome(arrival, "came back", waited_s, waited_s))
        self._at(self.now_s + retry_after_s, lambda: self._arrive(arrival, True))

    def _free_slots(self, router: _Router) -> list[TargetSlots]:
        loads = self._loads(router)
        known = router.loads.known_targets(self._engines, self.now_s)
        return [
            TargetSlots(name, self._parameters.slots - loads[name] * (name in known))
            for name, engine in self._engines.items()
            if engine.is_up
        ]

    def _loads(self, router: _Router) -> dict[str, float]:
        return router.loads.estimates(self._engines, len(self._routers), self.now_s)

    def _choose(self, router: _Router, attempt: _Attempt) -> str:
        loads = self._loads(router)
        candidates = [
            Candidate(
                name,
                "d",
                loads[name] + router.admission.waiting_for(name),
                self._parameters.slots,
                not engine.is_up,
            )
            for name, engine in self._engines.items()
        ]
        arrival = attempt.arrival
        key = f"{arrival.kind.name}-{arrival.subject}".encode()
        policy = policy_for(len(self._routers), router.loads.has_sums(self.now_s))
        choice = choose_target(candidates, key, "d", policy, router.random)
        return choice.candidate.target_id

    def _send(self, router: _Router, attempt: _Attempt, name: str) -> None:
        arrival = attempt.arrival
        kind = arrival.kind
        shared_prefixes = ((f"{kind.name}-{arrival.subject}", kind.shared_tokens),)
        attempt.job = Job(attempt.number, shared_prefixes, kind.own_tokens, kind.out_tokens)
        router.loads.record_sent(name)
        router.admission.record_sent(attempt.number, name, kind.objective_s, self.now_s)
        engine = self._engines[name]
        if not engine.is_up:
            self._release(router, attempt, name)
            self.outcomes.append(Outcome(arrival, "failed", self.now_s - arrival.at_s, None))
            return
        attempt.target = name
        engine.enqueue(attempt.job)
        if name not in self._stepping:
            self._stepping.add(name)
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        """Run one engine step and schedule its end."""
        if not engine.is_up or not engine.is_busy:
            self._stepping.discard(engine.name)
            return
        length_s, started, ended = engine.step()
        self._at(self.now_s + length_s, lambda: self._finish_step(engine, started, ended))

    def _finish_step(self, engine: Engine, started: list[Job], ended: list[Job]) -> None:
        report = TargetLoad(len(engine.running), len(engine.prefill_queue), self._parameters.slots)
        for job in started:
            router, attempt = self._attempts[job.number]
            if attempt.is_done:
                continue
            attempt.is_done = True
            router.loads.observe_report(engine.name, report, self.now_s)
            router.admission.record_answer_started(job.number, self.now_s)
            took_s = self.now_s - attempt.arrival.at_s
            end = "in time" if took_s <= attempt.arrival.kind.objective_s else "late"
            self.outcomes.append(Outcome(attempt.arrival, end, took_s, None))
            self._admit_waiting(router)
        for job in ended:
            router, attempt = self._attempts[job.number]
            self._release(router, attempt, engine.name)
        self._step(engine)

    def _release(self, router: _Router, attempt: _Attempt, name: str) -> None:
        router.loads.record_ended(name)
        router.admission.record_ended(attempt.number)
        self._admit_waiting(router)

    def _admit_waiting(self, router: _Router) -> None:
        """Send the queued requests that are admitted now."""
        if not len(router.admission.queue):
            return
        for number in router.admission.admit_waiting(self._free_slots(router), self.now_s):
            attempt = self._attempts[number][1]
            self._send(router, attempt, self._choose(router, attempt))
        self._schedule_poll(router)

    def _schedule_poll(self, router: _Router) -> None:
        """Poll the queue: slots become free without an event at this router."""
        if router.is_poll_scheduled or not len(router.admission.queue):
            return
        router.is_poll_scheduled = True

        def poll() -> None:
            router.is_poll_scheduled = False
            self._admit_waiting(router)

        self._at(self.now_s + POLL_INTERVAL_S, poll)

    def _abandon(self, router: _Router, attempt: _Attempt) -> None:
        """Abandon a request whose answer has not begun."""
        if attempt.is_done:
            return
        attempt.is_done = True
        router.admission.withdraw(attempt.number)
        if attempt.job is not None:
            attempt.job.is_cancelled = True
            self._release(router, attempt, attempt.target)
        arrival = attempt.arrival
        self.outcomes.append(Outcome(arrival, "left", self.now_s - arrival.at_s, None))

    def _crash(self, name: str) -> None:
        for job in self._engines[name].crash():
            router, attempt = self._attempts[job.number]
            self._release(router, attempt, name)
            if not attempt.is_done:
                attempt.is_done = True
                arrival = attempt.arrival
                self.outcomes.append(Outcome(arrival, "failed", self.now_s - arrival.at_s, None))

    def _totals(self) -> Totals:
        """Summarize the requests that arrived in the surge."""
        end_s = BEFORE_S + SURGE_S
        surge = [item for item in self.outcomes if BEFORE_S <= item.arrival.at_s < end_s]
        asked = [item for item in surge if item.end != "came back"]
        in_time = [item for item in asked if item.end == "in time"]
        shares: dict[str, float] = {}
        by_kind: dict[str, list[bool]] = defaultdict(list)
        for item in asked:
            by_kind[item.arrival.kind.name].append(item.end == "in time")
        shares = {name: sum(ends) / len(ends) for name, ends in by_kind.items()}
        ends = Counter(item.end for item in asked)
        refusals = [item for item in surge if item.refused_after_s is not None]
        slow = [
            item for item in refusals if item.refused_after_s > item.arrival.kind.objective_s / 8
        ]
        return Totals(
            sum(item.arrival.kind.value for item in in_time),
            shares,
            ends["refused"],
            ends["left"],
            len(asked),
            len(slow) / max(len(refusals), 1),
            len(in_time) / SURGE_S,
            sum(engine.recomputed_tokens for engine in self._engines.values()),
        )
