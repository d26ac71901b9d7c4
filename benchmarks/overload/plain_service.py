"""Simulate a plain service with few slots behind many routers that make the real decisions.

A target runs a few requests concurrently and queues some more; it rejects the rest without
running them. It reports no load, so that each of 57 routers has a partial observation of it:
the outcomes of its own requests.
"""

import heapq
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from itertools import count
from math import log
from random import Random
from typing import NamedTuple

from benchmarks.overload.plain_ways import STRATEGIES, PlainRouter

__all__ = ["PlainParameters", "PlainLoad", "PlainTotals", "simulate_plain"]

NETWORK_DELAY_S = 0.002
CALLS_LEFT = 1
MAX_RETRY_DELAY_SHARE = 1.0 / 3.0


class PlainParameters(NamedTuple):
    """A target's slots, queue and lognormal service times, and the latency that users expect."""

    slots: int = 6
    queue: int = 24
    service_time_s: float = 0.045
    sigma: float = 0.5
    tail_share: float = 0.01
    tail_factor: float = 5.0
    objective_s: float = 0.218
    deadline_s: float = 1.64


class PlainLoad(NamedTuple):
    """The load as a multiple of all targets' capacity, and how many targets are lost and when.

    A random `slow_share` of the targets takes `slow_factor` times as long, redrawn every
    `slow_period_s`. `repeatable_share` of the requests may be sent to two targets. With
    `drops_canceled` a target drops a request, waiting or running, when its connection is reset.
    """

    load_multiple: float
    routers: int = 57
    targets: int = 3
    seconds: float = 16.0
    lost_targets: int = 0
    lost_at_s: float = 6.0
    domains: int = 3
    slow_share: float = 0.0
    slow_factor: float = 2.5
    slow_period_s: float = 0.6
    repeatable_share: float = 0.0
    drops_canceled: bool = False


class PlainTotals(NamedTuple):
    """Outcomes as shares of the requests, and relative to what one schedule could serve in time."""

    asked: int
    in_time: float
    late: float
    refused: float
    shed: int
    slow_refusals: float
    share_of_reachable: float
    late_repeatable: float = 0.0
    second_sends: float = 0.0
    most_in_10_s: float = 0.0


class _Send(NamedTuple):
    """One send of a caller's request; `number` is its own, also at its router."""

    router: PlainRouter
    caller: "_CallerRequest"
    name: str
    number: int
    sent_s: float


class _Target:
    """One target with its slots and a FIFO queue."""

    def __init__(self, name: str, parameters: PlainParameters) -> None:
        self.name = name
        self.parameters = parameters
        self.running: list[_Send] = []
        self.queue: deque[_Send] = deque()
        self.is_up = True
        self.work_factor = 1.0


class _CallerRequest:
    """One request of a caller over all its attempts."""

    def __init__(self, number: int, arrived_s: float, domain: int) -> None:
        self.number = number
        self.arrived_s = arrived_s
        self.domain = domain
        self.attempt_started_s = arrived_s
        self.sends = 0
        self.tried: set[str] = set()
        self.came_back = False
        self.is_repeatable = False
        self.active: list[_Send] = []
        self.end = ""
        self.latency_s = 0.0
        self.refusal_delays_s: list[float] = []


class _Simulation:
    """One simulation of a load under one strategy."""

    def __init__(
        self, strategy: str, load: PlainLoad, parameters: PlainParameters, seed: int
    ) -> None:
        self.random = Random(seed)
        # Separate, so that the same targets are slow at the same times under all strategies.
        self.speed_random = Random(f"speeds {seed}")
        self.load = load
        self.parameters = parameters
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count(1)
        self.targets = {f"t{n}": _Target(f"t{n}", parameters) for n in range(load.targets)}
        domains = {name: index % load.domains for index, name in enumerate(self.targets)}
        router_class = STRATEGIES[strategy]
        self.routers: list[PlainRouter] = [
            router_class(
                n, n % load.domains, domains, parameters, load.routers, Random(seed * 1000 + n)
            )
            for n in range(load.routers)
        ]
        self.callers: list[_CallerRequest] = []
        self.shed = 0
        self.second_sends_s: list[float] = []

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self) -> list[_CallerRequest]:
        load = self.load
        per_s = (
            load.load_multiple
            * load.targets
            * self.parameters.slots
            / self.parameters.service_time_s
        )
        at_s = 0.0
        while (at_s := at_s + self.random.expovariate(per_s)) < load.seconds:
            self.at(at_s, lambda at_s=at_s: self._arrive(at_s))
        for name in list(self.targets)[: load.lost_targets]:
            self.at(load.lost_at_s, lambda name=name: self._remove_target(name))
        if load.slow_share:
            self.at(0.0, self._redraw_slow_targets)
        for router in self.routers:
            self.at(self.random.random(), lambda router=router: self._exchange_stats(router))
        while self._events and self.now_s < load.seconds + 4.0:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.callers

    def _remove_target(self, name: str) -> None:
        """Remove a target at all routers; its accepted requests still complete."""
        self.targets[name].is_up = False
        for router in self.routers:
            router.remove_target(name)

    def _redraw_slow_targets(self) -> None:
        load = self.load
        for target in self.targets.values():
            is_slow = self.speed_random.random() < load.slow_share
            target.work_factor = load.slow_factor if is_slow else 1.0
        self.at(self.now_s + load.slow_period_s, self._redraw_slow_targets)

    def _exchange_stats(self, router: PlainRouter) -> None:
        """Publish a router's statistics of the last second and give it those of all routers."""
        router.exchange_stats([other.shared_stats for other in self.routers], self.now_s)
        self.at(self.now_s + 1.0, lambda: self._exchange_stats(router))

    def _arrive(self, at_s: float) -> None:
        caller = _CallerRequest(next(self._numbers), at_s, self.random.randrange(self.load.domains))
        share = self.load.repeatable_share
        caller.is_repeatable = share > 0.0 and self.random.random() < share
        self.callers.append(caller)
        self._attempt(caller)

    def _attempt(self, caller: _CallerRequest) -> None:
        caller.attempt_started_s = self.now_s
        caller.tried, caller.sends = set(), 0
        near = [item for item in self.routers if item.domain == caller.domain]
        router = self.random.choice(near or self.routers)
        objective_s = self.parameters.objective_s
        remaining_s = caller.arrived_s + self.parameters.deadline_s - self.now_s

        def on_decision(retry_after_s: float | None) -> None:
            if caller.end:
                return
            if retry_after_s is None:
                self._send(router, caller)
            else:
                self._refuse(caller, retry_after_s)

        router.offer(
            caller.number, objective_s, remaining_s, caller.came_back, self.now_s, on_decision, self
        )

    def _send(self, router: PlainRouter, caller: _CallerRequest) -> None:
        name = router.choose(caller.tried, self.now_s)
        if name is None:
            self._refuse(caller, router.retry_after_s(self.parameters.objective_s, 1.0, self.now_s))
            return
        number = caller.number
        self._send_to(router, caller, name, number)
        delay_s = router.hedge_delay_s(self.now_s) if caller.is_repeatable else None
        if delay_s is not None:
            attempt_s = caller.attempt_started_s
            self.at(self.now_s + delay_s, lambda: self._hedge(router, caller, attempt_s))

    def _send_to(self, router: PlainRouter, caller: _CallerRequest, name: str, number: int) -> None:
        caller.sends += 1
        caller.tried.add(name)
        send = _Send(router, caller, name, number, self.now_s)
        caller.active.append(send)
        router.sent(number, name, self.parameters.objective_s, self.now_s)
        self.at(self.now_s + NETWORK_DELAY_S, lambda: self._arrive_at_target(send))

    def _hedge(self, router: PlainRouter, caller: _CallerRequest, attempt_s: float) -> None:
        """Send an overdue request to a second target, if its router decides so."""
        is_waiting = len(caller.active) == 1 and caller.attempt_started_s == attempt_s
        if not is_waiting or caller.sends >= 2:
            return
        remaining_s = caller.arrived_s + self.parameters.deadline_s - self.now_s
        name = router.choose_hedge(caller.tried, remaining_s, self.now_s)
        if name is not None:
            self.second_sends_s.append(self.now_s)
            self._send_to(router, caller, name, next(self._numbers))

    def _arrive_at_target(self, send: _Send) -> None:
        target = self.targets[send.name]
        if len(target.running) < self.parameters.slots:
            self._serve(send, target)
        elif len(target.queue) < self.parameters.queue:
            target.queue.append(send)
        else:
            self.shed += 1
            self.at(self.now_s + NETWORK_DELAY_S, lambda: self._shed(send))

    def _shed(self, send: _Send) -> None:
        router, caller = send.router, send.caller
        if send not in caller.active:
            return
        caller.active.remove(send)
        router.shed(send.number, send.name, self.now_s)
        if caller.active:
            return
        if caller.sends < 2:
            self._send(router, caller)
        else:
            objective_s = self.parameters.objective_s
            remaining_s = caller.arrived_s + self.parameters.deadline_s - self.now_s
            self._refuse(caller, router.retry_after_s(objective_s, remaining_s, self.now_s))

    def _serve(self, send: _Send, target: _Target) -> None:
        parameters = self.parameters
        mean = parameters.service_time_s / (
            1 + parameters.tail_share * (parameters.tail_factor - 1)
        )
        sigma = parameters.sigma
        service_time_s = self.random.lognormvariate(log(mean) - sigma**2 / 2, sigma)
        if self.random.random() < parameters.tail_share:
            service_time_s *= parameters.tail_factor
        service_time_s *= target.work_factor
        target.running.append(send)

        def end() -> None:
            if send in target.running:
                self._free_slot(send, target)
                self.at(self.now_s + NETWORK_DELAY_S, lambda: self._answer(send))

        self.at(self.now_s + service_time_s, end)

    def _free_slot(self, send: _Send, target: _Target) -> None:
        target.running.remove(send)
        if target.queue:
            self._serve(target.queue.popleft(), target)

    def _answer(self, send: _Send) -> None:
        """Deliver the first answer to a request, and cancel its other send."""
        caller = send.caller
        if send not in caller.active:
            return
        caller.active.remove(send)
        send.router.answered(send.number, send.name, send.sent_s, self.now_s)
        for loser in caller.active:
            self._cancel(loser)
        caller.active.clear()
        if not caller.end:
            caller.latency_s = self.now_s - caller.arrived_s
            is_in_time = caller.latency_s <= self.parameters.objective_s
            caller.end = "in time" if is_in_time else "late"

    def _cancel(self, send: _Send) -> None:
        """Cancel a send; unless `drops_canceled` is set, its target still runs it."""
        send.router.canceled(send.number, send.name, send.sent_s, self.now_s)
        if self.load.drops_canceled:
            self.at(self.now_s + NETWORK_DELAY_S, lambda: self._drop(send))

    def _drop(self, send: _Send) -> None:
        target = self.targets[send.name]
        if send in target.queue:
            target.queue.remove(send)
        elif send in target.running:
            self._free_slot(send, target)

    def _refuse(self, caller: _CallerRequest, retry_after_s: float) -> None:
        caller.refusal_delays_s.append(self.now_s - caller.attempt_started_s)
        remaining_s = caller.arrived_s + self.parameters.deadline_s - self.now_s
        if caller.came_back:
            caller.end = "refused"
            return
        caller.came_back = True
        retry_after_s = min(retry_after_s, remaining_s * MAX_RETRY_DELAY_SHARE)
        self.at(self.now_s + retry_after_s, lambda: self._attempt(caller))


def _windows(times_s: list[float]) -> list[tuple[int, float]]:
    """Return the number of each time and the end of the 10 s that begin with it."""
    return [(number, at_s + 10.0) for number, at_s in enumerate(times_s)]


def simulate_plain(
    strategy: str, load: PlainLoad, seed: int, parameters: PlainParameters | None = None
) -> PlainTotals:
    """Simulate a load under one strategy; summarize the requests after the warm-up or the loss."""
    parameters = parameters or PlainParameters()
    simulation = _Simulation(strategy, load, parameters, seed)
    callers = [
        caller
        for caller in simulation.run()
        if (load.lost_at_s if load.lost_targets else 2.0) <= caller.arrived_s
    ]
    asked = len(callers)
    ends = [caller.end for caller in callers]
    refusals = [delay_s for caller in callers for delay_s in caller.refusal_delays_s]
    slow = sum(delay_s > parameters.objective_s / 8 for delay_s in refusals)
    in_time = ends.count("in time") / asked
    remaining_targets = load.targets - load.lost_targets
    reachable = min(1.0, remaining_targets / (load.load_multiple * load.targets))
    late_repeatable = sum(caller.end == "late" and caller.is_repeatable for caller in callers)
    times_s = simulation.second_sends_s
    return PlainTotals(
        asked,
        in_time,
        ends.count("late") / asked,
        ends.count("refused") / asked,
        simulation.shed,
        slow / max(len(refusals), 1),
        in_time / reachable,
        late_repeatable / max(sum(caller.is_repeatable for caller in callers), 1),
        len(times_s) / len(simulation.callers),
        max((bisect_right(times_s, at_s) - n for n, at_s in _windows(times_s)), default=0),
    )
