"""Let requests into pools as `decisions/admission` says: hold them, start them, turn them away."""

import asyncio
from random import Random

from damaskwind.decisions.admission.pool_admission import (
    Admitted,
    PoolAdmission,
    Step,
    TurnedAway,
)
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.admission.waiting_line import Ticket
from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.router.forwarding.call import Call, EntryNote
from damaskwind.router.forwarding.target_states import TargetStates, free_slots_of
from damaskwind.runtime.clock import read_clock

__all__ = ["PoolAdmissions"]

# What a target may be sent before anything is known of its pace: some 32 prompts of
# some ten ms; all routers share it.
FIRST_PER_TARGET = 32
# A router's part may come to little, and its callers come unevenly.
FIRST_MIN = 2.0
# A caller that has less than this part of the longest time stated on its route has
# spent the rest on an earlier attempt: callers' own times differ by some 15 in 100.
FIRST_ATTEMPT_SHARE = 0.8
# Places come free without an event of this router's: what is overdue holds none.
POLL_S = 0.05


class PoolAdmissions:
    """The entries of one router to all pools."""

    def __init__(self, target_states: TargetStates, random: Random) -> None:
        self._target_states = target_states
        self._random = random
        self._pools: dict[str, PoolAdmission] = {}
        self._waiters: dict[int, asyncio.Future[TurnedAway | None]] = {}
        self._longest_wait_s: dict[str, float] = {}
        self._polled_s: dict[str, float] = {}
        target_states.view.on_gone.append(self.forget)
        target_states.view.on_restarted.append(lambda record: self.forget(record.target_id))

    def forget(self, target_id: str) -> None:
        """Drop what was learned of a target that is gone."""
        for pool in self._pools.values():
            pool.forget(target_id)

    async def admit(self, call: Call, home: Candidate | None) -> TurnedAway | None:
        """Wait until a request may be sent; return a refusal if it is turned away.

        `home` is the target that it should go to, if not any will do.
        """
        now_s = read_clock()
        pool = self._pool(call.service)
        ticket = self._describe(call, home.target_id if home else "", now_s)
        free_slots = (
            [free_slots_of(home)] if home else self._target_states.free_slots(call.service, now_s)
        )
        admitted = pool.offer(ticket, free_slots, now_s)
        outcome = None
        if admitted.step is not Step.START:
            self._waiters[call.number] = asyncio.get_running_loop().create_future()
            self._notify(admitted.turned_away)
            outcome = await self._wait(call, admitted.until_s)
        call.entry = _entry_note(admitted, outcome, read_clock() - now_s, ticket.came_back)
        return outcome

    def add_queued_load(self, service: str, candidates: list[Candidate]) -> list[Candidate]:
        """Count those who wait here for a target to its load, so that a hot one is passed over."""
        pool = self._pool(service)
        if not len(pool.line):
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
        self._pool(call.service).begun(call.number, read_clock())
        self._start_ready(call.service)

    def ended(self, call: Call) -> None:
        """Note that no answer of the last send will begin any more."""
        self._pool(call.service).ended(call.number)
        self._start_ready(call.service)

    def turned_away_by_target(self, call: Call, target_id: str) -> None:
        """Note that a target had no place."""
        self._pool(call.service).turned_away_by_target(target_id, read_clock())

    def retry_after_s(self, call: Call) -> float:
        """Return when a caller that is refused now should come back."""
        objective_s = call.route.objective_s
        return self._pool(call.service).return_s(objective_s, call.left_s(), read_clock())

    def queued(self) -> int:
        """Return how many requests wait now."""
        return len(self._waiters)

    async def _wait(self, call: Call, until_s: float) -> TurnedAway | None:
        """Wait for a place until `until_s`; return the refusal if none came."""
        pool, number = self._pool(call.service), call.number
        future = self._waiters[number]
        try:
            while not future.done() and (left_s := until_s - read_clock()) > 0:
                await asyncio.wait([future], timeout=min(left_s, POLL_S))
                self._poll(call.service)
            if future.done():
                return future.result()
            return pool.give_up(number, read_clock())
        finally:
            # Also where the caller has left.
            pool.withdraw(number)
            del self._waiters[number]

    def _poll(self, service: str) -> None:
        """Look once for all who wait: each of them comes by."""
        now_s = read_clock()
        if now_s - self._polled_s.get(service, 0.0) >= POLL_S:
            self._polled_s[service] = now_s
            self._start_ready(service)

    def _start_ready(self, service: str) -> None:
        """Let those go on for whom there is room now."""
        pool = self._pool(service)
        if not len(pool.line):
            return
        now_s = read_clock()
        free_slots = self._target_states.free_slots(service, now_s)
        # Where no target takes work, all are placed anew, and refused at once.
        for number in pool.look(free_slots, now_s) if free_slots else pool.release():
            self._waiters[number].set_result(None)

    def _notify(self, turned_away: tuple[TurnedAway, ...]) -> None:
        """Let requests know that they are turned away."""
        for refusal in turned_away:
            self._waiters[refusal.number].set_result(refusal)

    def _describe(self, call: Call, target_id: str, now_s: float) -> Ticket:
        """Describe a request to the decision."""
        route, facts = call.route, call.facts
        came_back = False
        if facts.has_deadline:
            # Beyond the route's timeout nothing counts, or one caller who states an absurd
            # time would have all others taken for callers that came back.
            wait_s = min(facts.wait_s, route.timeout_s)
            longest_s = max(self._longest_wait_s.get(route.name, 0.0), wait_s)
            self._longest_wait_s[route.name] = longest_s
            came_back = wait_s < FIRST_ATTEMPT_SHARE * longest_s
        account = call.account.name if call.account else ""
        return Ticket(
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
        view = self._target_states.view
        part = FIRST_PER_TARGET / view.routers
        targets = len(view.serving(service))
        return WindowPolicy(
            first=max(FIRST_MIN, part), first_of_pool=max(FIRST_MIN, part * targets)
        )


def _entry_note(
    admitted: Admitted, outcome: TurnedAway | None, waited_s: float, came_back: bool
) -> EntryNote:
    """Return what the log says of an entry."""
    step = outcome.why if outcome else admitted.step.value
    return EntryNote(
        step,
        int(admitted.expected_s * 1000),
        int(waited_s * 1000),
        admitted.room,
        round(admitted.begun_part, 2),
        came_back,
    )
