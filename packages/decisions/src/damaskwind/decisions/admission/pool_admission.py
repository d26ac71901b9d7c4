"""Admission control of a pool: send a request now, queue it, or reject it at once.

This module performs no I/O: the caller owns the clock, the timers and the sockets. A
request is sent while its target has headroom, both by the window that this router keeps
for it and by the free slots that the target reported. Otherwise it is queued if it is
expected to be sent while its answer can still be in time, and rejected if not. A more
urgent request that arrives later may delay a queued one beyond that point; the queued
one is then rejected at once, not when its time is over.

A second window covers all targets of the pool together. Without it, a router with a
small share of the traffic may always have one request pending at each target: 195 routers
then have 195 at each, which bounds nothing. At twice the capacity, 65 routers and 12
engines served 399 requests per second in time without the second window and 539 with it,
and 195 routers and 39 engines 1,147 and 1,569. Without it 96% and 99.7% of the rejections
came later than an eighth of the objective, with it 41% and 36%.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import StrEnum
from math import ceil, inf
from random import Random
from statistics import median
from types import MappingProxyType
from typing import NamedTuple

from damaskwind.decisions.admission.drain_rate import DrainRate
from damaskwind.decisions.admission.fair_queue import FairQueue, PoolRequest
from damaskwind.decisions.admission.retry_after import draw_retry_after_s
from damaskwind.decisions.admission.start_window import (
    DEFAULT_POLICY,
    StartDelays,
    StartWindow,
    WindowPolicy,
)

__all__ = [
    "AdmissionDecision",
    "AdmissionStep",
    "PoolAdmission",
    "PoolRejection",
    "PoolState",
    "TargetSlots",
]

# A request may wait for this fraction of its objective. The rest is for the answer to
# start, which the window keeps at about half of the objective.
MAX_WAIT_FRACTION = 0.4
# A retried request is late already and is not retried again, so it may wait for this
# fraction of its remaining time. Callers abandon a stream without data after 2 s, so it
# waits at most for half of that.
RETRY_WAIT_FRACTION = 0.3
RETRY_MAX_WAIT_S = 1.0
# The assumed time between two departures before any has been observed.
INITIAL_GAP_S = 0.05
# For this time after the rejection of a first attempt, more first attempts are expected,
# and retries are admitted only on the turns reserved for the earliest deadline.
SURGE_S = 0.3
# After this time without a rejection, the next rejection starts a new surge.
SURGE_GAP_S = 2.0
_NONE: Mapping[str, int] = MappingProxyType({})


class TargetSlots(NamedTuple):
    """A target that accepts work, how many free slots it reported, and its free memory.

    With `is_exact` the free slots are this router's own, and its windows do not apply.
    """

    target_id: str
    free: float
    free_tokens: float = inf
    is_exact: bool = False


class AdmissionStep(StrEnum):
    """What to do with a request now."""

    START = "start"
    WAIT = "wait"
    TURN_AWAY = "turn away"


class PoolRejection(NamedTuple):
    """A rejected request, which was not run, and when its caller should retry."""

    number: int
    retry_after_s: float
    why: str


class PoolState(NamedTuple):
    """A pool as its router sees it: its queue, headroom and median start fraction."""

    queued: int
    headroom: int
    start_fraction: float


class AdmissionDecision(NamedTuple):
    """The decision on a request, the estimates behind it, and the requests it displaced.

    `expected_wait_s` is the predicted wait and `wait_until_s` the time at which a queued
    request expires. `room` is the headroom, how many more requests the targets could
    take. `begun_part` is the median time in which recent answers started, as a fraction of
    the objective. `turned_away` lists the requests rejected by this decision, which may
    include the request itself.
    """

    step: AdmissionStep
    expected_wait_s: float
    wait_until_s: float
    room: int
    begun_part: float
    turned_away: tuple[PoolRejection, ...] = ()


class PoolAdmission:
    """Admission control of one router for one pool.

    `earliest_start_s` is the time after which some target is expected to start an answer, 0
    where targets do not report their speed.

    >>> pool = PoolAdmission(Random(1), WindowPolicy(initial_limit=1.0))
    >>> first, second = (PoolRequest(n, 0, "a", 0.0, 4.0, 1.0) for n in (1, 2))
    >>> slots = [TargetSlots("t", 8.0)]
    >>> pool.offer(first, slots, 0.0).step.value, pool.offer(second, slots, 0.0).step.value
    ('start', 'wait')
    >>> pool.record_sent(1, "t", 1.0, 0.0)
    >>> pool.record_answer_started(1, 0.05); pool.admit_waiting(slots, 0.05)
    (2,)
    """

    def __init__(self, random: Random, policy: WindowPolicy = DEFAULT_POLICY) -> None:
        self.queue = FairQueue()
        self.earliest_start_s = 0.0
        # Set where targets have slots that other routers use too: the longest time between two
        # departures here. The first request waits in any case, since one comes only if one waits.
        self.max_gap_s: float | None = None
        # Set while the whole fleet sheds: who can't be served is then refused at once.
        self.max_wait_fraction: float | None = None
        self._policy = policy
        self._random = random
        self._start_delays = StartDelays(policy.memory_s)
        self._windows: dict[str, StartWindow] = {}
        pool_policy = policy._replace(initial_limit=policy.initial_pool_limit, counts_overdue=False)
        self._pool_window = StartWindow(pool_policy, self._start_delays)
        self._pool_rate = DrainRate()
        self._admitted_unsent: set[int] = set()
        # Admitted from the queue; their memory isn't counted at their target before they are sent.
        self._leaving_queue: dict[int, PoolRequest] = {}
        self._target_of: dict[int, str] = {}
        self._rates: dict[str, DrainRate] = {}
        self._surge_started_s: float | None = None
        self._last_rejected_s = float("-inf")
        self._first_attempt_rejected_s = float("-inf")

    def offer(
        self, request: PoolRequest, target_slots: Sequence[TargetSlots], now_s: float
    ) -> AdmissionDecision:
        """Decide on a request that has just arrived."""
        headroom = self._headroom(request.target_id, target_slots, now_s)
        begun_part = self._median_start_fraction(now_s)
        must_queue = request.came_back and self._is_surge(now_s)
        must_queue = must_queue or not _fits(request, target_slots, self._unsent_tokens())
        if headroom > 0 and not must_queue and not self._is_behind_others(request):
            self._admit(request, now_s)
            return AdmissionDecision(AdmissionStep.START, 0.0, now_s, headroom, begun_part)
        self.queue.add(request)
        expected_wait_s = self._expected_wait_s(request, now_s)
        turned_away = self._reject_late(now_s)
        is_rejected = any(item.number == request.number for item in turned_away)
        step = AdmissionStep.TURN_AWAY if is_rejected else AdmissionStep.WAIT
        wait_until_s = self._wait_until_s(request)
        return AdmissionDecision(
            step, expected_wait_s, wait_until_s, headroom, begun_part, turned_away
        )

    def pool_state(self, target_slots: Sequence[TargetSlots], now_s: float) -> PoolState:
        """Return the state of the pool, on which a second send of a request depends."""
        headroom = self._headroom("", target_slots, now_s)
        return PoolState(len(self.queue), headroom, self._median_start_fraction(now_s))

    def unplaced(self) -> int:
        """Return how many requests wait, or were admitted and have no target yet."""
        return len(self.queue) + len(self._admitted_unsent)

    def waiting_for(self, target_id: str) -> int:
        """Return how many requests wait at this router for a target."""
        return self.queue.waiting_for(target_id)

    def record_sent(self, number: int, target_id: str, objective_s: float, now_s: float) -> None:
        """Record the target that a request is sent to, for the first time or again."""
        self._admitted_unsent.discard(number)
        if self._target_of.get(number) == target_id:
            return
        self.record_ended(number)
        self._target_of[number] = target_id
        self._window(target_id).record_sent(number, now_s, objective_s)
        self._pool_window.record_sent(number, now_s, objective_s)

    def record_answer_started(self, number: int, now_s: float, work_time: float = 1.0) -> None:
        """Record that an answer started at a target where work takes `work_time` as long."""
        target_id = self._target_of.get(number)
        if target_id is not None:
            self._window(target_id).record_answer_started(number, now_s, work_time)
            self._pool_window.record_answer_started(number, now_s, work_time)

    def target_of(self, number: int) -> str:
        """Return the target that a request was last sent to, empty if there is none."""
        return self._target_of.get(number, "")

    def record_ended(self, number: int) -> None:
        """Record that the last send of a request will not start an answer any more."""
        self._admitted_unsent.discard(number)
        target_id = self._target_of.pop(number, None)
        if target_id is not None:
            self._window(target_id).record_ended(number)
            self._pool_window.record_ended(number)

    def admit_waiting(self, target_slots: Sequence[TargetSlots], now_s: float) -> tuple[int, ...]:
        """Return the numbers of the waiting requests that may be sent now."""
        admitted: list[int] = []

        def can_run(target_id: str) -> bool:
            return self._headroom(target_id, target_slots, now_s) > 0

        taken = self._unsent_tokens()

        def fits(request: PoolRequest) -> bool:
            return _fits(request, target_slots, taken)

        is_surge = self._is_surge(now_s)
        while (request := self.queue.pop_next(now_s, can_run, is_surge, fits)) is not None:
            taken[request.target_id] += request.need_tokens
            if request.need_tokens:
                self._leaving_queue[request.number] = request
            has_backlog = bool(self.queue.waiting_for(request.target_id))
            self._rate(request.target_id).record_departure(now_s, backlog=has_backlog)
            self._pool_rate.record_departure(now_s, backlog=bool(len(self.queue)))
            self._admit(request, now_s)
            admitted.append(request.number)
        return tuple(admitted)

    def record_rejection(self, target_id: str, now_s: float) -> None:
        """Record that a target rejected a request because it had no free slot."""
        self._window(target_id).record_rejection(now_s)

    def forget(self, target_id: str) -> None:
        """Drop the state of a target that is gone."""
        self._windows.pop(target_id, None)
        self._rates.pop(target_id, None)

    def withdraw(self, number: int) -> None:
        """Remove a request that no longer waits: it is being sent, or its caller disconnected."""
        self.queue.remove(number)
        self._leaving_queue.pop(number, None)

    def release_all(self) -> tuple[int, ...]:
        """Remove and return all waiting requests, since no target accepts work."""
        return tuple(request.number for request in self.queue.clear())

    def expire(self, number: int, now_s: float) -> PoolRejection | None:
        """Reject a request that has waited until its `wait_until_s`."""
        request = self.queue.remove(number)
        return None if request is None else self._reject(request, "waited in vain", now_s)

    def _admit(self, request: PoolRequest, now_s: float) -> None:
        self.queue.record_served(request.account, now_s)
        if request.target_id:
            self.record_sent(request.number, request.target_id, request.objective_s, now_s)
        else:
            self._admitted_unsent.add(request.number)

    def _unsent_tokens(self) -> Counter[str]:
        """Return the memory by target that is needed by requests leaving the queue."""
        tokens: Counter[str] = Counter()
        for request in self._leaving_queue.values():
            tokens[request.target_id] += request.need_tokens
        return tokens

    def _is_behind_others(self, request: PoolRequest) -> bool:
        """Return whether a request must wait behind others for its target.

        One that needs little memory is not held up by less urgent ones that lack theirs.
        """
        if not self.queue.waiting_for(request.target_id):
            return False
        return not request.need_tokens or not self.queue.is_ahead_of_all(request)

    def _rate(self, target_id: str) -> DrainRate:
        """Return the drain rate of the requests that wait for a target."""
        return self._rates.setdefault(target_id, DrainRate())

    def _window(self, target_id: str) -> StartWindow:
        """Return the window of a target, created on first use."""
        window = self._windows.get(target_id)
        if window is None:
            window = self._windows[target_id] = StartWindow(self._policy, self._start_delays)
        return window

    def headroom_at(self, target_slots: TargetSlots, now_s: float, reserved: int = 0) -> int:
        """Return how many more requests may be sent to a target beside the `reserved` ones.

        What is reserved counts in its free slots already.
        """
        if target_slots.is_exact:
            return ceil(target_slots.free)
        window = self._window(target_slots.target_id).headroom(now_s) - reserved
        return min(window, ceil(target_slots.free))

    def _headroom(self, target_id: str, target_slots: Sequence[TargetSlots], now_s: float) -> int:
        """Return the headroom of a target, or of the pool less its admitted unsent requests."""
        if not target_id:
            headroom = sum(max(0, self.headroom_at(item, now_s)) for item in target_slots)
            if all(item.is_exact for item in target_slots):
                return headroom - len(self._admitted_unsent)
            return min(headroom, self._pool_window.headroom(now_s)) - len(self._admitted_unsent)
        target = next((item for item in target_slots if item.target_id == target_id), None)
        # A target that has gone blocks no request: the request is placed again.
        headroom = 1 if target is None else self.headroom_at(target, now_s)
        return min(headroom, self._pool_window.headroom(now_s))

    def _median_start_fraction(self, now_s: float) -> float:
        """Return the pool's median time to start an answer, as a fraction of the objective."""
        fractions = self._start_delays.recent(now_s)
        return median(fractions) if fractions else 0.0

    def _wait_until_s(self, request: PoolRequest) -> float:
        """Return until when it is useful for a request to wait."""
        wait_s = MAX_WAIT_FRACTION * request.objective_s
        if request.came_back:
            left_s = request.deadline_s - request.arrived_s
            wait_s = max(wait_s, min(RETRY_WAIT_FRACTION * left_s, RETRY_MAX_WAIT_S))
        if self.max_wait_fraction is not None:
            wait_s = min(wait_s, self.max_wait_fraction * request.objective_s)
        return min(request.arrived_s + wait_s, request.deadline_s)

    def _gap_s(self, target_id: str) -> float:
        """Return the time between two departures to a target."""
        per_s = self._rate(target_id).per_s()
        return INITIAL_GAP_S if per_s is None else 1.0 / per_s

    def _is_surge(self, now_s: float) -> bool:
        """Return whether first attempts have been rejected recently."""
        return now_s - self._first_attempt_rejected_s < SURGE_S

    def _expected_wait_s(self, request: PoolRequest, now_s: float) -> float:
        """Return how long a request is expected to wait."""
        same_target = [
            item for item in self.queue.ordered(now_s) if item.target_id == request.target_id
        ]
        return self._wait_s(same_target.index(request), self._gap_s(request.target_id))

    def _wait_s(self, ahead: int, gap_s: float) -> float:
        """Return how long a request is expected to wait behind `ahead` others."""
        if self.max_gap_s is None:
            return (ahead + 0.5) * gap_s
        return ahead * min(gap_s, self.max_gap_s)

    def _reject_late(self, now_s: float) -> tuple[PoolRejection, ...]:
        """Reject all waiting requests that can't be sent in time at the current drain rate."""
        turned_away: list[PoolRejection] = []
        ahead: Counter[str] = Counter()
        pool_per_s = self._pool_rate.per_s()
        for position, request in enumerate(self.queue.ordered(now_s)):
            expected_wait_s = self._wait_s(ahead[request.target_id], self._gap_s(request.target_id))
            if pool_per_s is not None:
                expected_wait_s = max(
                    expected_wait_s, self._wait_s(position - len(turned_away), 1.0 / pool_per_s)
                )
            if now_s + expected_wait_s > self._wait_until_s(request):
                turned_away.append(self._reject(request, "no place in time", now_s))
            else:
                ahead[request.target_id] += 1
        return tuple(turned_away)

    def retry_after_s(self, objective_s: float, left_s: float, now_s: float) -> float:
        """Return after how many seconds a caller that is rejected now should retry."""
        if now_s - self._last_rejected_s > SURGE_GAP_S:
            self._surge_started_s = now_s
        self._last_rejected_s = now_s
        surge_started_s = now_s if self._surge_started_s is None else self._surge_started_s
        return draw_retry_after_s(
            objective_s, left_s, now_s - surge_started_s, self._random, self.earliest_start_s
        )

    def _reject(self, request: PoolRequest, why: str, now_s: float) -> PoolRejection:
        """Reject a waiting request."""
        self.queue.remove(request.number)
        if not request.came_back:
            self._first_attempt_rejected_s = now_s
        retry_after_s = self.retry_after_s(request.objective_s, request.deadline_s - now_s, now_s)
        return PoolRejection(request.number, retry_after_s, why)


def _fits(
    request: PoolRequest, target_slots: Sequence[TargetSlots], taken: Mapping[str, int] = _NONE
) -> bool:
    """Return whether a target's memory has room for a request beside what was just admitted.

    A target that has gone holds up no request: the request is placed again.
    """
    if not request.need_tokens:
        return True
    need_tokens = request.need_tokens + taken.get(request.target_id, 0)
    usable = [item for item in target_slots if request.target_id in ("", item.target_id)]
    return not usable or any(need_tokens <= item.free_tokens for item in usable)
