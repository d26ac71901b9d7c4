"""Let requests into pools as `decisions/admission` says: hold them, start them, turn them away."""

import asyncio
from random import Random

from damaskwind.decisions.admission.fair_queue import PoolRequest
from damaskwind.decisions.admission.pool_admission import (
    AdmissionDecision,
    AdmissionStep,
    PoolAdmission,
    PoolRejection,
)
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.router.forwarding.call import Call, EntryNote
from damaskwind.router.forwarding.target_beliefs import TargetBeliefs, free_places
from damaskwind.runtime.clock import read_clock

__all__ = ["PoolEntries"]

# What a target may be sent before anything is known of its pace: some 32 prompts of
# some ten ms; all routers share it.
FIRST_PER_TARGET = 32
# A router's part may come to little, and its callers come unevenly.
FIRST_LEAST = 2.0
# A caller that has less than this part of the longest time stated on its route has
# spent the rest on an earlier attempt: callers' own times differ by some 15 in 100.
FIRST_ATTEMPT_PART = 0.8
# Places come free without an event of this router's: what is overdue holds none.
LOOK_S = 0.05


class PoolEntries:
    """The entries of one router to all pools."""

    def __init__(self, beliefs: TargetBeliefs, random: Random) -> None:
        self._beliefs = beliefs
        self._random = random
        self._pools: dict[str, PoolAdmission] = {}
        self._waiting: dict[int, asyncio.Future[PoolRejection | None]] = {}
        self._longest_wait_s: dict[str, float] = {}
        self._looked_s: dict[str, float] = {}
        beliefs.view.on_gone.append(self.forget)
        beliefs.view.on_restarted.append(lambda record: self.forget(record.target_id))

    def forget(self, target_id: str) -> None:
        """Drop what was learned of a target that is gone."""
        for pool in self._pools.values():
            pool.forget(target_id)

    async def enter(self, call: Call, home: Candidate | None) -> PoolRejection | None:
        """Wait until a request may be sent; return a refusal if it is turned away.

        `home` is the target that it should go to, if not any will do.
        """
        now_s = read_clock()
        pool = self._pool(call.service)
        ticket = self._ticket(call, home.target_id if home else "", now_s)
        places = [free_places(home)] if home else self._beliefs.places(call.service, now_s)
        admitted = pool.offer(ticket, places, now_s)
        outcome = None
        if admitted.step is not AdmissionStep.START:
            self._waiting[call.number] = asyncio.get_running_loop().create_future()
            self._tell(admitted.turned_away)
            outcome = await self._wait(call, admitted.wait_until_s)
        call.entry = _note(admitted, outcome, read_clock() - now_s, ticket.came_back)
        return outcome

    def with_waiting(self, service: str, candidates: list[Candidate]) -> list[Candidate]:
        """Count those who wait here for a target to its load, so that a hot one is passed over."""
        pool = self._pool(service)
        if not len(pool.queue):
            return candidates
        return [
            item._replace(load=item.load + pool.waiting_for(item.target_id)) for item in candidates
        ]

    def sent(self, call: Call, target_id: str) -> None:
        """Note where a request is sent."""
        pool = self._pool(call.service)
        pool.sent(call.number, target_id, call.route.objective_s, read_clock())

    def begun(self, call: Call) -> None:
        """Note that an answer began."""
        self._pool(call.service).answer_started(call.number, read_clock())
        self._look(call.service)

    def ended(self, call: Call) -> None:
        """Note that no answer of the last send will begin any more."""
        self._pool(call.service).ended(call.number)
        self._look(call.service)

    def turned_away_by_target(self, call: Call, target_id: str) -> None:
        """Note that a target had no place."""
        self._pool(call.service).rejected_by_target(target_id, read_clock())

    def return_s(self, call: Call) -> float:
        """Return when a caller that is refused now should come back."""
        objective_s = call.route.objective_s
        return self._pool(call.service).retry_after_s(objective_s, call.left_s(), read_clock())

    def waiting(self) -> int:
        """Return how many requests wait now."""
        return len(self._waiting)

    async def _wait(self, call: Call, until_s: float) -> PoolRejection | None:
        """Wait for a place until `until_s`; return the refusal if none came."""
        pool, number = self._pool(call.service), call.number
        future = self._waiting[number]
        try:
            while not future.done() and (left_s := until_s - read_clock()) > 0:
                await asyncio.wait([future], timeout=min(left_s, LOOK_S))
                self._look_now_and_then(call.service)
            if future.done():
                return future.result()
            return pool.expire(number, read_clock())
        finally:
            # Also where the caller has left.
            pool.withdraw(number)
            del self._waiting[number]

    def _look_now_and_then(self, service: str) -> None:
        """Look once for all who wait: each of them comes by."""
        now_s = read_clock()
        if now_s - self._looked_s.get(service, 0.0) >= LOOK_S:
            self._looked_s[service] = now_s
            self._look(service)

    def _look(self, service: str) -> None:
        """Let those go on for whom there is room now."""
        pool = self._pool(service)
        if not len(pool.queue):
            return
        now_s = read_clock()
        places = self._beliefs.places(service, now_s)
        # Where no target takes work, all are placed anew, and refused at once.
        for number in pool.admit_waiting(places, now_s) if places else pool.release_all():
            self._waiting[number].set_result(None)

    def _tell(self, turned_away: tuple[PoolRejection, ...]) -> None:
        """Let requests know that they are turned away."""
        for refusal in turned_away:
            self._waiting[refusal.number].set_result(refusal)

    def _ticket(self, call: Call, target_id: str, now_s: float) -> PoolRequest:
        """Describe a request to the decision."""
        route, facts = call.route, call.facts
        came_back = False
        if facts.has_deadline:
            # Beyond the route's timeout nothing counts, or one caller who states an absurd
            # time would have all others taken for callers that came back.
            wait_s = min(facts.wait_s, route.timeout_s)
            longest_s = max(self._longest_wait_s.get(route.name, 0.0), wait_s)
            self._longest_wait_s[route.name] = longest_s
            came_back = wait_s < FIRST_ATTEMPT_PART * longest_s
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
        )

    def _pool(self, service: str) -> PoolAdmission:
        """Return the entry to a pool, made when it is first asked for."""
        pool = self._pools.get(service)
        if pool is None:
            policy = self._first_policy(service)
            pool = self._pools[service] = PoolAdmission(self._random, policy)
        return pool

    def _first_policy(self, service: str) -> WindowPolicy:
        """Return how much this router may send to a pool before anything is known of its pace."""
        view = self._beliefs.view
        part = FIRST_PER_TARGET / view.routers
        targets = len(view.serving(service))
        return WindowPolicy(
            initial_limit=max(FIRST_LEAST, part),
            initial_pool_limit=max(FIRST_LEAST, part * targets),
        )


def _note(
    admitted: AdmissionDecision, outcome: PoolRejection | None, waited_s: float, came_back: bool
) -> EntryNote:
    """Return what the log says of an entry."""
    step = outcome.why if outcome else admitted.step.value
    return EntryNote(
        step,
        int(admitted.expected_wait_s * 1000),
        int(waited_s * 1000),
        admitted.room,
        round(admitted.begun_part, 2),
        came_back,
    )
