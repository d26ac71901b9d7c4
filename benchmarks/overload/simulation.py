"""Drive the decisions of several routers against modelled engines, in simulated time."""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random
from typing import NamedTuple

from benchmarks.overload.engines import Engine, EngineFigures, Job
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

# Callers of a stream that has not begun leave after so many objectives, or seconds.
PATIENCE_OBJECTIVES = 4.0
PATIENCE_LEAST_S = 2.0
RETURN_AT_ONCE_S = 0.05
LOOK_S = 0.05
FIRST_PER_TARGET = 32
# Routers have a call open at each replica, which answers it after a second.
REPLICAS = 3
CALL_S = 1.0
# The longest deadline of a caller who comes last.
AFTERWARDS_S = 16.0


class Outcome(NamedTuple):
    """What became of a caller's request."""

    arrival: Arrival
    end: str
    took_s: float
    refused_after_s: float | None


class Totals(NamedTuple):
    """What a play served: value in time in the surge, shares by kind, refusals, leavers."""

    on_time_value: float
    on_time_by_kind: dict[str, float]
    refused: int
    left_unanswered: int
    asked: int
    slow_refusals: float
    on_time_per_s: float
    read_again_tokens: int


class _Call:
    """One attempt of a caller."""

    def __init__(self, number: int, arrival: Arrival, at_s: float, came_back: bool) -> None:
        self.number = number
        self.arrival = arrival
        self.at_s = at_s
        self.came_back = came_back
        self.job: Job | None = None
        self.is_over = False
        self.ticket: PoolRequest | None = None
        self.target = ""


class _Router:
    """What one router believes and holds."""

    def __init__(self, name: str, random: Random, routers: int, engines: int) -> None:
        self.name = name
        self.random = random
        first = max(2.0, FIRST_PER_TARGET / routers)
        self.is_looking = False
        self.loads = LoadEstimator()
        self.entry = PoolAdmission(
            random,
            WindowPolicy(
                initial_limit=first,
                initial_pool_limit=max(2.0, FIRST_PER_TARGET * engines / routers),
            ),
        )


class Simulation:
    """One play of a pattern under a policy: `admits` false sends everything at once."""

    def __init__(
        self, pattern: Pattern, admits: bool, seed: int, engines: int = 6, routers: int = 8
    ) -> None:
        self._pattern = pattern
        self._admits = admits
        self._random = Random(seed)
        self._figures = EngineFigures()
        self._engines = {f"e{n}": Engine(f"e{n}", self._figures) for n in range(engines)}
        self._routers = [
            _Router(f"r{n}", Random(seed * 100 + n), routers, engines) for n in range(routers)
        ]
        self._replicas = {f"replica{n}": HeldAggregator() for n in range(REPLICAS)}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count(1)
        self._calls: dict[int, tuple[_Router, _Call]] = {}
        self._stepping: set[str] = set()
        self.now_s = 0.0
        self.outcomes: list[Outcome] = []

    def run(self) -> Totals:
        """Play to the end."""
        self._warm()
        for arrival in self._pattern.arrivals:
            self._at(arrival.at_s, lambda arrival=arrival: self._arrive(arrival, False))
        for name in list(self._engines)[: self._pattern.lost_engines]:
            self._at(BEFORE_S + 1.0, lambda name=name: self._crash(name))
        for router in self._routers:
            for replica in self._replicas:
                self._at(self._random.random() * CALL_S, partial(self._call, router, replica))
        end_s = BEFORE_S + SURGE_S + AFTER_S + AFTERWARDS_S
        while self._events and self.now_s < end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self._totals()

    def _call(self, router: _Router, replica: str) -> None:
        """A router tells a replica what it holds; the answer comes a second later."""
        sums = self._replicas[replica]
        sums.report(router.name, router.loads.report_to(replica), self.now_s)

        def answer() -> None:
            router.loads.observe_sum(replica, sums.total(self.now_s), self.now_s)
            self._call(router, replica)

        self._at(self.now_s + CALL_S, answer)

    def _warm(self) -> None:
        """Have every part kept at its home, as after some minutes of calm."""
        idle = [Candidate(name, "d", 0.0, self._figures.slots, False) for name in self._engines]
        for kind in KINDS:
            for subject in range(kind.subjects):
                name = f"{kind.name}-{subject}"
                home = choose_target(idle, name.encode(), "d", AffinityPolicy(), self._random)
                engine = self._engines[home.candidate.target_id]
                engine.keep(((name, kind.shared_tokens),))

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _arrive(self, arrival: Arrival, came_back: bool) -> None:
        """A caller asks some router."""
        router = self._random.choice(self._routers)
        call = _Call(next(self._numbers), arrival, self.now_s, came_back)
        self._calls[call.number] = (router, call)
        kind = arrival.kind
        patience_s = max(PATIENCE_OBJECTIVES * kind.objective_s, PATIENCE_LEAST_S)
        left_s = min(arrival.at_s + kind.deadline_s - self.now_s, patience_s)
        self._at(self.now_s + left_s, lambda: self._leave(router, call))
        home = self._choose(router, call)
        if not self._admits:
            self._send(router, call, home)
            return
        deadline_s = arrival.at_s + kind.deadline_s
        call.ticket = PoolRequest(
            call.number,
            kind.rank,
            arrival.account,
            self.now_s,
            deadline_s,
            kind.objective_s,
            came_back,
            home,
        )
        admitted = router.entry.offer(call.ticket, self._places(router), self.now_s)
        if admitted.step is AdmissionStep.START:
            self._send(router, call, home)
        for refusal in admitted.turned_away:
            self._refuse(self._calls[refusal.number][1], refusal.retry_after_s)
        if admitted.step is AdmissionStep.WAIT:
            self._at(admitted.wait_until_s, lambda: self._give_up(router, call))
            self._look_later(router)

    def _give_up(self, router: _Router, call: _Call) -> None:
        refusal = router.entry.expire(call.number, self.now_s)
        if refusal is not None:
            self._refuse(call, refusal.retry_after_s)

    def _refuse(self, call: _Call, return_s: float) -> None:
        """Turn a caller away; each comes back once."""
        call.is_over = True
        arrival = call.arrival
        if self._pattern.returns_at_once:
            return_s = RETURN_AT_ONCE_S
        held_s = self.now_s - call.at_s
        left_s = arrival.at_s + arrival.kind.deadline_s - self.now_s
        if call.came_back or return_s > left_s / 3:
            self.outcomes.append(Outcome(arrival, "refused", self.now_s - arrival.at_s, held_s))
            return
        self.outcomes.append(Outcome(arrival, "came back", held_s, held_s))
        self._at(self.now_s + return_s, lambda: self._arrive(arrival, True))

    def _places(self, router: _Router) -> list[TargetSlots]:
        loads = self._loads(router)
        known = router.loads.known_targets(self._engines, self.now_s)
        return [
            TargetSlots(name, self._figures.slots - loads[name] * (name in known))
            for name, engine in self._engines.items()
            if engine.is_up
        ]

    def _loads(self, router: _Router) -> dict[str, float]:
        return router.loads.estimates(self._engines, len(self._routers), self.now_s)

    def _choose(self, router: _Router, call: _Call) -> str:
        loads = self._loads(router)
        candidates = [
            Candidate(
                name,
                "d",
                loads[name] + router.entry.waiting_for(name),
                self._figures.slots,
                not engine.is_up,
            )
            for name, engine in self._engines.items()
        ]
        arrival = call.arrival
        key = f"{arrival.kind.name}-{arrival.subject}".encode()
        policy = policy_for(len(self._routers), router.loads.has_sums(self.now_s))
        choice = choose_target(candidates, key, "d", policy, router.random)
        return choice.candidate.target_id

    def _send(self, router: _Router, call: _Call, name: str) -> None:
        arrival = call.arrival
        kind = arrival.kind
        parts = ((f"{kind.name}-{arrival.subject}", kind.shared_tokens),)
        call.job = Job(call.number, parts, kind.own_tokens, kind.out_tokens)
        router.loads.sent(name)
        router.entry.sent(call.number, name, kind.objective_s, self.now_s)
        engine = self._engines[name]
        if not engine.is_up:
            self._ended(router, call, name)
            self.outcomes.append(Outcome(arrival, "failed", self.now_s - arrival.at_s, None))
            return
        call.target = name
        engine.take(call.job)
        if name not in self._stepping:
            self._stepping.add(name)
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        """Run one step and plan the next."""
        if not engine.is_up or not engine.is_busy:
            self._stepping.discard(engine.name)
            return
        length_s, begun, ended = engine.step()
        self._at(self.now_s + length_s, lambda: self._stepped(engine, begun, ended))

    def _stepped(self, engine: Engine, begun: list[Job], ended: list[Job]) -> None:
        word = TargetLoad(len(engine.running), len(engine.reading), self._figures.slots)
        for job in begun:
            router, call = self._calls[job.number]
            if call.is_over:
                continue
            call.is_over = True
            router.loads.observe_report(engine.name, word, self.now_s)
            router.entry.answer_started(job.number, self.now_s)
            took_s = self.now_s - call.arrival.at_s
            end = "in time" if took_s <= call.arrival.kind.objective_s else "late"
            self.outcomes.append(Outcome(call.arrival, end, took_s, None))
            self._look(router)
        for job in ended:
            router, call = self._calls[job.number]
            self._ended(router, call, engine.name)
        self._step(engine)

    def _ended(self, router: _Router, call: _Call, name: str) -> None:
        router.loads.ended(name)
        router.entry.ended(call.number)
        self._look(router)

    def _look(self, router: _Router) -> None:
        """Send those for whom there is room now."""
        if not len(router.entry.queue):
            return
        for number in router.entry.admit_waiting(self._places(router), self.now_s):
            call = self._calls[number][1]
            self._send(router, call, self._choose(router, call))
        self._look_later(router)

    def _look_later(self, router: _Router) -> None:
        """Look again soon: places come free without an event of this router's."""
        if router.is_looking or not len(router.entry.queue):
            return
        router.is_looking = True

        def look() -> None:
            router.is_looking = False
            self._look(router)

        self._at(self.now_s + LOOK_S, look)

    def _leave(self, router: _Router, call: _Call) -> None:
        """A caller leaves whose answer has not begun."""
        if call.is_over:
            return
        call.is_over = True
        router.entry.withdraw(call.number)
        if call.job is not None:
            call.job.is_gone = True
            self._ended(router, call, call.target)
        arrival = call.arrival
        self.outcomes.append(Outcome(arrival, "left", self.now_s - arrival.at_s, None))

    def _crash(self, name: str) -> None:
        for job in self._engines[name].crash():
            router, call = self._calls[job.number]
            self._ended(router, call, name)
            if not call.is_over:
                call.is_over = True
                arrival = call.arrival
                self.outcomes.append(Outcome(arrival, "failed", self.now_s - arrival.at_s, None))

    def _totals(self) -> Totals:
        """Sum up what was asked in the surge."""
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
            sum(engine.read_again_tokens for engine in self._engines.values()),
        )
