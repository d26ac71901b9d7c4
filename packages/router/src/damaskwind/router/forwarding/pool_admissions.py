"""Admit requests to pools: start, queue or reject them as `decisions/admission` decides."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

from damaskwind.decisions.admission.fair_queue import PoolRequest
from damaskwind.decisions.admission.pool_admission import (
    AdmissionDecision,
    AdmissionStep,
    PoolAdmission,
    PoolRejection,
    PoolState,
    TargetSlots,
)
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.router.forwarding.call import Call, EntryNote
from damaskwind.router.forwarding.engine_memory import EngineMemory
from damaskwind.router.forwarding.target_states import TargetStates, free_slots_of
from damaskwind.runtime.clock import read_clock

__all__ = ["PoolAdmissions"]

# Requests that a target may be sent, by all routers together, before its latency is known:
# about 32 prompts of some ten ms each.
INITIAL_PER_TARGET = 32
# Lower bound of one router's share, which may be small while its callers arrive in bursts.
MIN_INITIAL = 2.0
# A request whose remaining time is below this fraction of the longest one stated on its route
# counts as a retry, whose caller spent the rest on an earlier attempt: the timeouts of callers
# differ by only some 15 in 100.
FIRST_ATTEMPT_SHARE = 0.8
# Polling interval of the queue: slots also come free without an event at this router, since
# an overdue request no longer occupies one.
POLL_S = 0.05


class PoolAdmissions:
    """Admission of one router's requests to all pools."""

    def __init__(
        self, target_states: TargetStates, random: Random, memory: EngineMemory | None = None
    ) -> None:
        # Overdue attempts that look for another target; they need permits like requests that wait.
        self.count_seeking: Callable[[str], int] = lambda service: 0
        self._target_states = target_states
        self._random = random
        self._memory = memory
        self._pools: dict[str, PoolAdmission] = {}
        self._waiters: dict[int, asyncio.Future[PoolRejection | None]] = {}
        self._waiting_calls: dict[int, Call] = {}
        self._longest_wait_s: dict[str, float] = {}
        self._polled_s: dict[str, float] = {}
        # Requests that are about to be sent to a target in place of an overdue attempt.
        self._reserved: Counter[str] = Counter()
        # The services that report no load.
        self._plain: set[str] = set()
        target_states.brittle.permits.demand = self.unplaced
        target_states.brittle.permits.on_changed = self._start_ready
        target_states.suspicions.on_held.append(self._turn_held_away)
        target_states.view.on_gone.append(self.forget)
        target_states.view.on_restarted.append(lambda record: self.forget(record.target_id))

    def forget(self, target_id: str) -> None:
        """Drop the state of a target that is gone."""
        for pool in self._pools.values():
            pool.forget(target_id)

    async def admit(self, call: Call, home: Candidate | None) -> PoolRejection | None:
        """Wait until a request may be sent; return a refusal if it is rejected.

        `home` is the only target that the request waits for; without it any target will do.
        """
        now_s = read_clock()
        pool = self._pool(call.service)
        if call.key is None:
            self._plain.add(call.service)
        pool_request = self._pool_request(call, home.target_id if home else "", now_s)
        if home is not None and home.room is not None:
            pool_request = pool_request._replace(need_tokens=home.room.need_tokens)
        if call.key is None:
            pool.max_gap_s = self._target_states.brittle.expected_gap_s(call.service)
        free_slots = self._free_slots_for(call, home, now_s)
        decision = pool.offer(pool_request, free_slots, now_s)
        outcome = None
        if decision.step is not AdmissionStep.START:
            self._waiters[call.number] = asyncio.get_running_loop().create_future()
            self._notify(decision.turned_away)
            outcome = await self._wait(call, decision.wait_until_s)
        call.entry = _entry_note(decision, outcome, read_clock() - now_s, pool_request.came_back)
        return outcome

    def add_queued_load(self, service: str, candidates: list[Candidate]) -> list[Candidate]:
        """Add the requests queued here for a target to its load, so that a hot one is avoided."""
        pool = self._pool(service)
        if not len(pool.queue) and not self._reserved:
            return candidates
        return [
            item._replace(
                load=item.load + pool.waiting_for(item.target_id) + self._reserved[item.target_id]
            )
            for item in candidates
        ]

    def has_room(self, service: str, candidate: Candidate) -> bool:
        """Return whether a target has a free slot, and room in this router's window for it."""
        reserved = self._reserved[candidate.target_id]
        headroom = self._pool(service).headroom_at(free_slots_of(candidate), read_clock(), reserved)
        return headroom > 0

    def reserve(self, target_id: str) -> None:
        """Record that a request is about to be sent to a target."""
        self._reserved[target_id] += 1

    def end_reservation(self, target_id: str) -> None:
        """Record that a request for which a place was reserved is sent, or never will be."""
        self._reserved[target_id] -= 1
        if not self._reserved[target_id]:
            del self._reserved[target_id]

    def record_expected_starts(self, service: str, candidates: list[Candidate]) -> None:
        """Record when the pool's first target would start an answer, for `Retry-After`."""
        starts_s = [item.start_s for item in candidates if item.start_s is not None]
        if starts_s:
            self._pool(service).earliest_start_s = min(starts_s)

    def record_sent(self, call: Call, target_id: str) -> None:
        """Record that a request is sent to a target."""
        pool = self._pool(call.service)
        number = call.number_at(target_id)
        pool.record_sent(number, target_id, call.route.objective_s, read_clock())

    def record_answer_started(self, call: Call, target_id: str) -> None:
        """Record that the answer to a request began at a target."""
        now_s = read_clock()
        pool, number = self._pool(call.service), call.number_at(target_id)
        work_time = self._target_states.work_time(pool.target_of(number), now_s)
        pool.record_answer_started(number, now_s, work_time)
        self._start_ready(call.service)

    def record_ended(self, call: Call, target_id: str = "") -> None:
        """Record that an attempt at a target has ended, or that the answer can't begin."""
        self._pool(call.service).record_ended(call.number_at(target_id))
        self._start_ready(call.service)

    def pool_state(self, service: str) -> PoolState:
        """Return the state of a pool, on which a second send of a request depends."""
        now_s = read_clock()
        return self._pool(service).pool_state(self._target_states.free_slots(service, now_s), now_s)

    def record_rejection(self, call: Call, target_id: str) -> None:
        """Record that a target refused a request because it had no free slot."""
        self._pool(call.service).record_rejection(target_id, read_clock())

    def retry_after_s(self, call: Call) -> float:
        """Return the seconds after which a caller that is refused now should retry."""
        objective_s = call.route.objective_s
        return self._pool(call.service).retry_after_s(objective_s, call.left_s(), read_clock())

    def unplaced(self, service: str) -> int:
        """Return how many requests of a service wait, or have no target yet."""
        return self._pool(service).unplaced() + self.count_seeking(service)

    def waiting(self, service: str) -> int:
        """Return the number of requests queued for a service."""
        return len(self._pool(service).queue)

    def limit_waits(self, service: str, max_fraction: float | None) -> None:
        """Bound the wait of a service's requests to a fraction of their objective."""
        self._pool(service).max_wait_fraction = max_fraction

    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiters)

    async def _wait(self, call: Call, until_s: float) -> PoolRejection | None:
        """Wait in the queue until `until_s`; return the refusal if the request was not started."""
        pool, number = self._pool(call.service), call.number
        future = self._waiters[number]
        self._waiting_calls[number] = call
        try:
            while not future.done() and (left_s := until_s - read_clock()) > 0:
                await asyncio.wait([future], timeout=min(left_s, POLL_S))
                self._poll(call.service)
            if future.done():
                return future.result()
            return pool.expire(number, read_clock())
        finally:
            # This also runs when the caller has left and the wait is canceled.
            pool.withdraw(number)
            del self._waiters[number], self._waiting_calls[number]

    def _turn_held_away(self) -> None:
        """Wake the waiters of requests that are held fatal by now, which need not wait."""
        for number, call in self._waiting_calls.items():
            future = self._waiters[number]
            if not future.done() and self._target_states.suspicions.find_held(call) is not None:
                self._pool(call.service).withdraw(number)
                future.set_result(None)

    def _poll(self, service: str) -> None:
        """Poll a pool's queue, at most once per `POLL_S`: every waiter calls this."""
        now_s = read_clock()
        if now_s - self._polled_s.get(service, 0.0) >= POLL_S:
            self._polled_s[service] = now_s
            self._start_ready(service)

    def _start_ready(self, service: str) -> None:
        """Start the queued requests for which there is headroom now."""
        pool = self._pool(service)
        if len(pool.queue):
            now_s = read_clock()
            free_slots = self._free_slots(service, now_s)
            # If no target takes work, all leave the queue, to be placed again and refused at once.
            admitted = pool.admit_waiting(free_slots, now_s) if free_slots else pool.release_all()
            for number in admitted:
                self._waiters[number].set_result(None)
        if service in self._plain:
            self._target_states.brittle.settle(service)

    def _free_slots(
        self, service: str, now_s: float, home_id: str = "", arriving: int = 0
    ) -> list[TargetSlots]:
        """Return the free slots and the free memory of the targets of a service.

        With `home_id` only those of that target, if it may be sent to.
        """
        free_slots = self._target_states.free_slots(service, now_s)
        if home_id:
            free_slots = [item for item in free_slots if item.target_id == home_id]
        if service in self._plain:
            free_slots = self._target_states.brittle.limit_slots(service, free_slots, arriving)
        if self._memory is None:
            return free_slots
        return self._memory.add_free_tokens(service, free_slots, now_s)

    def _free_slots_for(
        self, call: Call, home: Candidate | None, now_s: float
    ) -> list[TargetSlots]:
        """Return the free slots of the targets that a request may wait for.

        Those of a service that reports no load are known by what was sent, not from a candidate.
        """
        if home is not None and call.key is not None:
            return [free_slots_of(home)]
        home_id = home.target_id if home is not None else ""
        free_slots = self._free_slots(call.service, now_s, home_id, arriving=1)
        return free_slots or ([free_slots_of(home)] if home is not None else [])

    def _notify(self, rejections: tuple[PoolRejection, ...]) -> None:
        """Wake the waiters of requests that were rejected."""
        for rejection in rejections:
            self._waiters[rejection.number].set_result(rejection)

    def _pool_request(self, call: Call, target_id: str, now_s: float) -> PoolRequest:
        """Describe a request as the admission decision needs it."""
        route, facts = call.route, call.facts
        came_back = False
        if facts.has_deadline:
            # Capped by the route's timeout: otherwise one caller with an absurd deadline would
            # make the requests of all others count as retries.
            wait_s = min(facts.wait_s, route.timeout_s)
            longest_s = max(self._longest_wait_s.get(route.name, 0.0), wait_s)
            self._longest_wait_s[route.name] = longest_s
            came_back = wait_s < FIRST_ATTEMPT_SHARE * longest_s
        account = call.account.name if call.account else ""
        return PoolRequest(
            call.number,
            call.priority,
            account,
            now_s,
            call.deadline_s,
            route.objective_s,
            came_back,
            target_id,
            call.cost.need_tokens if call.cost else 0,
        )

    def _pool(self, service: str) -> PoolAdmission:
        """Return the admission state of a pool, creating it on first use."""
        pool = self._pools.get(service)
        if pool is None:
            policy = self._initial_policy(service)
            pool = self._pools[service] = PoolAdmission(self._random, policy)
        return pool

    def _initial_policy(self, service: str) -> WindowPolicy:
        """Return the window of this router for a pool whose latency is not known yet."""
        view = self._target_states.view
        share = INITIAL_PER_TARGET / view.routers
        targets = len(view.serving(service))
        return WindowPolicy(
            initial_limit=max(MIN_INITIAL, share),
            initial_pool_limit=max(MIN_INITIAL, share * targets),
        )


def _entry_note(
    decision: AdmissionDecision, outcome: PoolRejection | None, waited_s: float, came_back: bool
) -> EntryNote:
    """Return the log's record of an admission."""
    step = outcome.why if outcome else decision.step.value
    return EntryNote(
        step,
        int(decision.expected_wait_s * 1000),
        int(waited_s * 1000),
        decision.room,
        round(decision.begun_part, 2),
        came_back,
    )
