"""Strategies of a router for requests to a plain service, by name."""

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from damaskwind.decisions.admission.fair_queue import PoolRequest
from damaskwind.decisions.admission.pool_admission import AdmissionStep, PoolAdmission, TargetSlots
from damaskwind.decisions.admission.service_throttle import ServiceStats, ServiceThrottle
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.load.held_requests import LoadEstimator
from damaskwind.decisions.placement.affinity import AffinityPolicy, Candidate, choose_target
from damaskwind.decisions.retries.hedging import (
    OVERDUE_AVOID_S,
    HedgeBudget,
    HedgeSituation,
    StartTimes,
    refuse_hedge,
)
from damaskwind.decisions.retries.shared_budget import BudgetTerms, SharedRetryBudget

__all__ = ["STRATEGIES", "PlainRouter"]

INITIAL_LIMIT_PER_TARGET = 32
BUSY_COOLDOWN_S = 0.1
POLL_INTERVAL_S = 0.05


class PlainRouter(Protocol):
    """The attributes of a router that the simulation reads."""

    domain: int
    shared_stats: Any


STRATEGIES: dict[str, Callable[..., PlainRouter]] = {}


def strategy(name: str) -> Callable[[type], type]:
    """Register a strategy under a name."""

    def register(cls: type) -> type:
        STRATEGIES[name] = cls
        return cls

    return register


@strategy("window")
class WindowRouter:
    """Limit by local windows per target and pool; queue or reject what exceeds them."""

    def __init__(self, number, domain, domains, parameters, routers, random: Random) -> None:
        self.domain = domain
        self.shared_stats = None
        self.random = random
        self.parameters = parameters
        self.domains = dict(domains)
        self.loads = LoadEstimator()
        share = INITIAL_LIMIT_PER_TARGET / routers
        self.admission = PoolAdmission(
            random,
            WindowPolicy(
                initial_limit=max(2.0, share), initial_pool_limit=max(2.0, share * len(domains))
            ),
        )
        self.is_poll_scheduled = False
        self.busy_until_s: dict[str, float] = {}
        self.callbacks: dict[int, Callable[[float | None], None]] = {}

    def remove_target(self, name: str) -> None:
        self.domains.pop(name, None)
        self.admission.forget(name)

    def exchange_stats(self, shared_stats, now_s: float) -> None:
        """Do nothing: this strategy shares no statistics."""

    def free_slots(self) -> list[TargetSlots]:
        return [TargetSlots(name, float(self.parameters.slots)) for name in self.domains]

    def offer(
        self, number, objective_s, remaining_s, came_back, now_s, on_decision, simulation
    ) -> None:
        request = PoolRequest(
            number, 2, "a", now_s, now_s + remaining_s, objective_s, came_back, ""
        )
        self.callbacks[number] = on_decision
        admitted = self.admission.offer(request, self.free_slots(), now_s)
        if admitted.step is AdmissionStep.START:
            self.callbacks.pop(number)(None)
            return
        for refusal in admitted.turned_away:
            self.callbacks.pop(refusal.number)(refusal.retry_after_s)
        if admitted.step is AdmissionStep.WAIT:
            simulation.at(admitted.wait_until_s, lambda: self.expire(number, simulation))
            self.schedule_poll(simulation)

    def expire(self, number: int, simulation) -> None:
        refusal = self.admission.expire(number, simulation.now_s)
        if refusal is not None:
            self.callbacks.pop(number)(refusal.retry_after_s)

    def admit_waiting(self, now_s: float) -> None:
        if not len(self.admission.queue):
            return
        for number in self.admission.admit_waiting(self.free_slots(), now_s):
            self.callbacks.pop(number)(None)

    def schedule_poll(self, simulation) -> None:
        """Poll the queue: slots become free without an event at this router."""
        if self.is_poll_scheduled:
            return
        self.is_poll_scheduled = True

        def poll() -> None:
            self.is_poll_scheduled = False
            self.admit_waiting(simulation.now_s)
            if len(self.admission.queue):
                self.schedule_poll(simulation)

        simulation.at(simulation.now_s + POLL_INTERVAL_S, poll)

    def hedge_delay_s(self, now_s: float) -> float | None:
        """Return after what time a request is sent to a second target, if at all."""
        return None

    def choose(self, tried, now_s: float) -> str | None:
        names = [name for name in self.domains if name not in tried]
        loads = self.loads.estimates(names, 57, now_s)
        candidates = [
            Candidate(
                name,
                str(self.domains[name]),
                loads[name],
                self.parameters.slots,
                self.busy_until_s.get(name, 0.0) > now_s,
            )
            for name in names
        ]
        choice = choose_target(candidates, None, str(self.domain), AffinityPolicy(), self.random)
        return choice.candidate.target_id if choice else None

    def sent(self, number, name, objective_s, now_s) -> None:
        self.loads.record_sent(name, False)
        self.admission.record_sent(number, name, objective_s, now_s)

    def shed(self, number, name, now_s) -> None:
        self.loads.record_ended(name, False)
        self.admission.record_ended(number)
        self.admission.record_rejection(name, now_s)
        self.busy_until_s[name] = now_s + BUSY_COOLDOWN_S
        self.admit_waiting(now_s)

    def answered(self, number, name, sent_s, now_s) -> None:
        self.loads.record_ended(name, False)
        self.admission.record_answer_started(number, now_s)
        self.admission.record_ended(number)
        self.admit_waiting(now_s)

    def canceled(self, number, name, sent_s, now_s) -> None:
        self.loads.record_ended(name, False)
        self.admission.record_ended(number)
        self.admit_waiting(now_s)

    def retry_after_s(self, objective_s, remaining_s, now_s) -> float:
        return self.admission.retry_after_s(objective_s, remaining_s, now_s)


@strategy("pace")
class ThrottledRouter(WindowRouter):
    """Additionally admit only a share of the requests, derived from all routers' statistics."""

    LATE_SHARE = 0.8
    RETRY_AFTER_SHARES = (0.2, 0.5)

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.throttle = ServiceThrottle()
        self.shared_stats = ServiceStats()
        self.own_stats = ServiceStats()

    def exchange_stats(self, shared_stats, now_s: float) -> None:
        self.shared_stats, self.own_stats = self.own_stats, ServiceStats()
        total = ServiceStats()
        for item in shared_stats:
            total = total.plus(item)
        self.throttle.update(total, self.parameters.slots * len(self.domains), now_s)

    def offer(
        self, number, objective_s, remaining_s, came_back, now_s, on_decision, simulation
    ) -> None:
        self.own_stats = self.own_stats.plus(ServiceStats(asked=1))
        if self.random.random() < self.throttle.admitted_share:
            super().offer(
                number, objective_s, remaining_s, came_back, now_s, on_decision, simulation
            )
            return
        on_decision(self.random.uniform(*self.RETRY_AFTER_SHARES) * objective_s)

    def answered(self, number, name, sent_s, now_s) -> None:
        is_late = now_s - sent_s > self.LATE_SHARE * self.parameters.objective_s
        busy_ms = round((now_s - sent_s) * 1000)
        self.own_stats = self.own_stats.plus(
            ServiceStats(answered=1, late=int(is_late), busy_ms=busy_ms)
        )
        super().answered(number, name, sent_s, now_s)

    def shed(self, number, name, now_s) -> None:
        self.own_stats = self.own_stats.plus(ServiceStats(turned_away=1))
        super().shed(number, name, now_s)


@strategy("hedge")
class HedgingRouter(ThrottledRouter):
    """Additionally send overdue requests to a second target, as `retries/hedging` decides."""

    BUDGET = BudgetTerms(0.2, 10.0, 340.0)
    ROUTE = "lookup"

    def __init__(self, number, domain, domains, parameters, routers, random: Random) -> None:
        super().__init__(number, domain, domains, parameters, routers, random)
        self.retries = SharedRetryBudget(self.BUDGET, lambda: routers)
        self.hedge_budget = HedgeBudget(self.retries)
        self.start_times = StartTimes()
        self.second_numbers: set[int] = set()

    def offer(
        self, number, objective_s, remaining_s, came_back, now_s, on_decision, simulation
    ) -> None:
        self.retries.count_request(now_s)
        super().offer(number, objective_s, remaining_s, came_back, now_s, on_decision, simulation)

    def hedge_delay_s(self, now_s: float) -> float | None:
        objective_s = self.parameters.objective_s
        return self.start_times.overdue_delay(self.ROUTE, objective_s, now_s).delay_s

    def choose_hedge(self, tried, remaining_s: float, now_s: float) -> str | None:
        """Return the target of a second send, `None` if there is none."""
        if not self.may_hedge(remaining_s, now_s):
            return None
        name = self.choose(tried, now_s)
        is_free = name is not None and self.busy_until_s.get(name, 0.0) <= now_s
        return name if is_free and self.hedge_budget.take(now_s) else None

    def may_hedge(self, remaining_s: float, now_s: float) -> bool:
        state = self.admission.pool_state(self.free_slots(), now_s)
        situation = HedgeSituation(
            remaining_s,
            False,
            state.queued,
            state.headroom,
            state.start_fraction,
            self.throttle.admitted_share,
        )
        return refuse_hedge(situation) is None

    def answered(self, number, name, sent_s, now_s) -> None:
        self.start_times.record(self.ROUTE, now_s - sent_s, now_s)
        super().answered(number, name, sent_s, now_s)

    def canceled(self, number, name, sent_s, now_s) -> None:
        self.start_times.record(self.ROUTE, now_s - sent_s, now_s)
        self.busy_until_s[name] = now_s + OVERDUE_AVOID_S
        super().canceled(number, name, sent_s, now_s)


@strategy("hedge fixed")
class FixedDelayRouter(HedgingRouter):
    """Send a second time after a fixed share of the objective."""

    DELAY_SHARE = 0.5

    def hedge_delay_s(self, now_s: float) -> float | None:
        return self.DELAY_SHARE * self.parameters.objective_s


@strategy("hedge at once")
class DuplicatingRouter(FixedDelayRouter):
    """Send to both targets at once, within the budget."""

    DELAY_SHARE = 0.0


@strategy("hedge ungated")
class UngatedRouter(HedgingRouter):
    """Send a second time also while the pool is short of slots, with the whole retry budget."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.hedge_budget = HedgeBudget(self.retries, 1.0)

    def may_hedge(self, remaining_s: float, now_s: float) -> bool:
        return True
