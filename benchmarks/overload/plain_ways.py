"""The ways in which a router may decide on requests to a plain service, by name."""

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from damaskwind.decisions.admission.fair_queue import PoolRequest
from damaskwind.decisions.admission.pool_admission import AdmissionStep, PoolAdmission, TargetSlots
from damaskwind.decisions.admission.service_throttle import ServiceStats, ServiceThrottle
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.load.held_requests import LoadEstimator
from damaskwind.decisions.placement.affinity import AffinityPolicy, Candidate, choose_target

__all__ = ["WAYS", "PlainRouter"]

FIRST_PER_TARGET = 32
BUSY_S = 0.1
LOOK_S = 0.05


class PlainRouter(Protocol):
    """What a play needs of a router."""

    domain: int
    told: Any


WAYS: dict[str, Callable[..., PlainRouter]] = {}


def way(name: str) -> Callable[[type], type]:
    """Enter a way under a name."""

    def enter(cls: type) -> type:
        WAYS[name] = cls
        return cls

    return enter


@way("window")
class WindowRouter:
    """Own windows for each target and for the pool; who finds no room waits, or is turned away."""

    def __init__(self, number, domain, domains, figures, routers, random: Random) -> None:
        self.domain = domain
        self.told = None
        self.random = random
        self.figures = figures
        self.domains = dict(domains)
        self.loads = LoadEstimator()
        part = FIRST_PER_TARGET / routers
        self.entry = PoolAdmission(
            random,
            WindowPolicy(
                initial_limit=max(2.0, part), initial_pool_limit=max(2.0, part * len(domains))
            ),
        )
        self.is_looking = False
        self.busy: dict[str, float] = {}
        self.waiting: dict[int, Callable[[float | None], None]] = {}

    def lose(self, name: str) -> None:
        self.domains.pop(name, None)
        self.entry.forget(name)

    def exchange(self, told, now_s: float) -> None:
        """Nothing is told of plain services."""

    def places(self) -> list[TargetSlots]:
        return [TargetSlots(name, float(self.figures.places)) for name in self.domains]

    def offer(self, number, objective_s, left_s, came_back, now_s, go_on, play) -> None:
        ticket = PoolRequest(number, 2, "a", now_s, now_s + left_s, objective_s, came_back, "")
        self.waiting[number] = go_on
        admitted = self.entry.offer(ticket, self.places(), now_s)
        if admitted.step is AdmissionStep.START:
            self.waiting.pop(number)(None)
            return
        for refusal in admitted.turned_away:
            self.waiting.pop(refusal.number)(refusal.retry_after_s)
        if admitted.step is AdmissionStep.WAIT:
            play.at(admitted.wait_until_s, lambda: self.give_up(number, play))
            self.look_later(play)

    def give_up(self, number: int, play) -> None:
        refusal = self.entry.expire(number, play.now_s)
        if refusal is not None:
            self.waiting.pop(number)(refusal.retry_after_s)

    def look(self, now_s: float) -> None:
        if not len(self.entry.queue):
            return
        for number in self.entry.admit_waiting(self.places(), now_s):
            self.waiting.pop(number)(None)

    def look_later(self, play) -> None:
        """Look again soon: places come free without an event of this router's."""
        if self.is_looking:
            return
        self.is_looking = True

        def look() -> None:
            self.is_looking = False
            self.look(play.now_s)
            if len(self.entry.queue):
                self.look_later(play)

        play.at(play.now_s + LOOK_S, look)

    def choose(self, tried, now_s: float) -> str | None:
        names = [name for name in self.domains if name not in tried]
        loads = self.loads.estimates(names, 57, now_s)
        candidates = [
            Candidate(
                name,
                str(self.domains[name]),
                loads[name],
                self.figures.places,
                self.busy.get(name, 0.0) > now_s,
            )
            for name in names
        ]
        choice = choose_target(candidates, None, str(self.domain), AffinityPolicy(), self.random)
        return choice.candidate.target_id if choice else None

    def sent(self, number, name, objective_s, now_s) -> None:
        self.loads.sent(name, False)
        self.entry.sent(number, name, objective_s, now_s)

    def shed(self, number, name, now_s) -> None:
        self.loads.ended(name, False)
        self.entry.ended(number)
        self.entry.rejected_by_target(name, now_s)
        self.busy[name] = now_s + BUSY_S
        self.look(now_s)

    def answered(self, number, name, sent_s, now_s) -> None:
        self.loads.ended(name, False)
        self.entry.answer_started(number, now_s)
        self.entry.ended(number)
        self.look(now_s)

    def return_s(self, objective_s, left_s, now_s) -> float:
        return self.entry.retry_after_s(objective_s, left_s, now_s)


@way("pace")
class PaceRouter(WindowRouter):
    """Besides, admit a part of what comes, by what all routers see."""

    LATE_PART = 0.8
    RETURN_PARTS = (0.2, 0.5)

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.pace = ServiceThrottle()
        self.told = ServiceStats()
        self.seen = ServiceStats()

    def exchange(self, told, now_s: float) -> None:
        self.told, self.seen = self.seen, ServiceStats()
        total = ServiceStats()
        for item in told:
            total = total.plus(item)
        self.pace.update(total, self.figures.places * len(self.domains), now_s)

    def offer(self, number, objective_s, left_s, came_back, now_s, go_on, play) -> None:
        self.seen = self.seen.plus(ServiceStats(asked=1))
        if self.random.random() < self.pace.admitted_share:
            super().offer(number, objective_s, left_s, came_back, now_s, go_on, play)
            return
        go_on(self.random.uniform(*self.RETURN_PARTS) * objective_s)

    def answered(self, number, name, sent_s, now_s) -> None:
        is_late = now_s - sent_s > self.LATE_PART * self.figures.objective_s
        busy_ms = round((now_s - sent_s) * 1000)
        self.seen = self.seen.plus(ServiceStats(answered=1, late=int(is_late), busy_ms=busy_ms))
        super().answered(number, name, sent_s, now_s)

    def shed(self, number, name, now_s) -> None:
        self.seen = self.seen.plus(ServiceStats(turned_away=1))
        super().shed(number, name, now_s)
