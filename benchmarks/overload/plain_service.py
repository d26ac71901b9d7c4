"""A plain service of few places before many routers: drive their decisions in simulated time.

A target runs some requests at once and queues a few more; beyond that it turns requests away,
not run. It tells no load. What one router of 57 sees of it is its own sliver.
"""

import heapq
from collections import deque
from collections.abc import Callable
from itertools import count
from math import log
from random import Random
from typing import NamedTuple

from benchmarks.overload.plain_ways import WAYS, PlainRouter

__all__ = ["PlainFigures", "PlainLoad", "PlainTotals", "play_plain"]

WAY_S = 0.002
CALLS_LEFT = 1
RETURN_LEFT_PART = 1.0 / 3.0


class PlainFigures(NamedTuple):
    """A target: places, queue, mean seconds of work with its spread, and what users expect."""

    places: int = 6
    queue: int = 24
    work_s: float = 0.045
    spread: float = 0.5
    tail_part: float = 0.01
    tail_factor: float = 5.0
    objective_s: float = 0.218
    deadline_s: float = 1.64


class PlainLoad(NamedTuple):
    """What comes: a multiple of the capacity of all targets, and which of them go when."""

    times: float
    routers: int = 57
    targets: int = 3
    seconds: float = 16.0
    lost_targets: int = 0
    lost_at_s: float = 6.0
    domains: int = 3


class PlainTotals(NamedTuple):
    """Parts of what was asked, and of what one schedule could serve in time."""

    asked: int
    in_time: float
    late: float
    refused: float
    shed: int
    slow_refusals: float
    of_reachable: float


class _Job(NamedTuple):
    number: int
    work_s: float


class _Target:
    """One target: its places, and a queue that is served in order."""

    def __init__(self, name: str, figures: PlainFigures) -> None:
        self.name = name
        self.figures = figures
        self.running = 0
        self.queue: deque[_Job] = deque()
        self.is_up = True


class _Caller:
    """One request of a caller, over its attempts."""

    def __init__(self, number: int, asked_s: float, domain: int) -> None:
        self.number = number
        self.asked_s = asked_s
        self.domain = domain
        self.attempt_s = asked_s
        self.sends = 0
        self.tried: set[str] = set()
        self.came_back = False
        self.end = ""
        self.took_s = 0.0
        self.refused_after_s: list[float] = []


class _Play:
    """One play of a load in one way."""

    def __init__(self, way: str, load: PlainLoad, figures: PlainFigures, seed: int) -> None:
        self.random = Random(seed)
        self.load = load
        self.figures = figures
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count(1)
        self.targets = {f"t{n}": _Target(f"t{n}", figures) for n in range(load.targets)}
        domains = {name: place % load.domains for place, name in enumerate(self.targets)}
        make = WAYS[way]
        self.routers: list[PlainRouter] = [
            make(n, n % load.domains, domains, figures, load.routers, Random(seed * 1000 + n))
            for n in range(load.routers)
        ]
        self.callers: list[_Caller] = []
        self.shed = 0

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self) -> list[_Caller]:
        load = self.load
        per_s = load.times * load.targets * self.figures.places / self.figures.work_s
        at_s = 0.0
        while (at_s := at_s + self.random.expovariate(per_s)) < load.seconds:
            self.at(at_s, lambda at_s=at_s: self._ask(at_s))
        for name in list(self.targets)[: load.lost_targets]:
            self.at(load.lost_at_s, lambda name=name: self._lose(name))
        for router in self.routers:
            self.at(self.random.random(), lambda router=router: self._exchange(router))
        while self._events and self.now_s < load.seconds + 4.0:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.callers

    def _lose(self, name: str) -> None:
        """Take a target out of service, told to all; what it has ends well."""
        self.targets[name].is_up = False
        for router in self.routers:
            router.lose(name)

    def _exchange(self, router: PlainRouter) -> None:
        """A router tells what it saw in the last second and hears what all did."""
        router.exchange([other.told for other in self.routers], self.now_s)
        self.at(self.now_s + 1.0, lambda: self._exchange(router))

    def _ask(self, at_s: float) -> None:
        caller = _Caller(next(self._numbers), at_s, self.random.randrange(self.load.domains))
        self.callers.append(caller)
        self._attempt(caller)

    def _attempt(self, caller: _Caller) -> None:
        caller.attempt_s = self.now_s
        caller.tried, caller.sends = set(), 0
        near = [item for item in self.routers if item.domain == caller.domain]
        router = self.random.choice(near or self.routers)
        objective_s = self.figures.objective_s
        left_s = caller.asked_s + self.figures.deadline_s - self.now_s

        def go_on(return_s: float | None) -> None:
            if caller.end:
                return
            if return_s is None:
                self._send(router, caller)
            else:
                self._refuse(caller, return_s)

        router.offer(caller.number, objective_s, left_s, caller.came_back, self.now_s, go_on, self)

    def _send(self, router: PlainRouter, caller: _Caller) -> None:
        name = router.choose(caller.tried, self.now_s)
        if name is None:
            self._refuse(caller, router.return_s(self.figures.objective_s, 1.0, self.now_s))
            return
        caller.sends += 1
        caller.tried.add(name)
        sent_s = self.now_s
        router.sent(caller.number, name, self.figures.objective_s, self.now_s)
        self.at(self.now_s + WAY_S, lambda: self._reach(router, caller, name, sent_s))

    def _reach(self, router: PlainRouter, caller: _Caller, name: str, sent_s: float) -> None:
        target = self.targets[name]
        if target.running < self.figures.places:
            target.running += 1
            self._run(router, caller, target, sent_s)
        elif len(target.queue) < self.figures.queue:
            target.queue.append((router, caller, sent_s))
        else:
            self.shed += 1
            self.at(self.now_s + WAY_S, lambda: self._shed(router, caller, name))

    def _shed(self, router: PlainRouter, caller: _Caller, name: str) -> None:
        router.shed(caller.number, name, self.now_s)
        if caller.sends < 2:
            self._send(router, caller)
        else:
            objective_s = self.figures.objective_s
            left_s = caller.asked_s + self.figures.deadline_s - self.now_s
            self._refuse(caller, router.return_s(objective_s, left_s, self.now_s))

    def _run(self, router: PlainRouter, caller: _Caller, target: _Target, sent_s: float) -> None:
        figures = self.figures
        mean = figures.work_s / (1 + figures.tail_part * (figures.tail_factor - 1))
        spread = figures.spread
        work_s = self.random.lognormvariate(log(mean) - spread**2 / 2, spread)
        if self.random.random() < figures.tail_part:
            work_s *= figures.tail_factor

        def end() -> None:
            target.running -= 1
            if target.queue:
                target.running += 1
                self._run(*target.queue[0][:2], target, target.queue.popleft()[2])
            self.at(self.now_s + WAY_S, answer)

        def answer() -> None:
            router.answered(caller.number, target.name, sent_s, self.now_s)
            if not caller.end:
                caller.took_s = self.now_s - caller.asked_s
                caller.end = "in time" if caller.took_s <= figures.objective_s else "late"

        self.at(self.now_s + work_s, end)

    def _refuse(self, caller: _Caller, return_s: float) -> None:
        caller.refused_after_s.append(self.now_s - caller.attempt_s)
        left_s = caller.asked_s + self.figures.deadline_s - self.now_s
        if caller.came_back:
            caller.end = "refused"
            return
        caller.came_back = True
        return_s = min(return_s, left_s * RETURN_LEFT_PART)
        self.at(self.now_s + return_s, lambda: self._attempt(caller))


def play_plain(way: str, load: PlainLoad, seed: int) -> PlainTotals:
    """Play a load in one way, and sum up what was asked once it had settled."""
    figures = PlainFigures()
    play = _Play(way, load, figures, seed)
    callers = [
        caller
        for caller in play.run()
        if (load.lost_at_s if load.lost_targets else 2.0) <= caller.asked_s
    ]
    asked = len(callers)
    ends = [caller.end for caller in callers]
    refusals = [after for caller in callers for after in caller.refused_after_s]
    slow = sum(after > figures.objective_s / 8 for after in refusals)
    in_time = ends.count("in time") / asked
    left = load.targets - load.lost_targets
    reachable = min(1.0, left / (load.times * load.targets))
    return PlainTotals(
        asked,
        in_time,
        ends.count("late") / asked,
        ends.count("refused") / asked,
        play.shed,
        slow / max(len(refusals), 1),
        in_time / reachable,
    )
