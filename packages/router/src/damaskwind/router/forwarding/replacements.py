"""Find what takes the place of an overdue attempt, before that attempt is given up.

A target that is silent may go on within a second. An overdue attempt therefore keeps its
connection until all of this is in hand: another target that has room and is not silent itself, a
sign that it accepts connections, a permit where targets are brittle, and last a retry of the
budget. The overdue attempts of a service are served in rounds, the most urgent first: an answer
that has begun before one that has not, then by priority and deadline. The rest waits on.

An answer that has begun and whose connection is lost is served before all of them: without a
retry or a target it waits for both, where it would have to be cut.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.retries.shared_budget import SharedRetryBudget
from damaskwind.router.forwarding.attempt_outcome import Placement, Replacement
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.replacement_searches import PAUSE_S, Hindrance, Search
from damaskwind.router.forwarding.slot_permits import PermitUse
from damaskwind.router.forwarding.target_bodies import TargetBodies
from damaskwind.router.forwarding.target_choice import TargetChooser
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s
from damaskwind.runtime.tallies import Tallies

__all__ = ["Replacements"]

# Interval of the rounds in which a service's overdue attempts are served. One that has just become
# overdue starts a round at once, but for this time after the last one.
ROUND_S = 0.1
MIN_GAP_S = 0.02
# Interval at which an answer that was broken off finds out whether any target is left.
RECHECK_S = 0.5
# A target that has been silent for more than this part of the time of the one that is left may
# be silent for the same reason.
SILENT_PART = 0.5
# A target that sent something, or accepted a connection, this lately accepts one.
SHOWN_S = 0.3
# A round lets other tasks run after this time.
MAX_SERVING_S = 0.005
# Targets that are considered for one overdue attempt in a round.
MAX_CHOICES = 3


class Replacements:
    """The overdue attempts of one router, and what was taken to replace them."""

    def __init__(
        self,
        target_states: TargetStates,
        admissions: PoolAdmissions,
        chooser: TargetChooser,
        budget: Callable[[str], SharedRetryBudget],
        tallies: Tallies,
    ) -> None:
        # Bounds the large bodies at each target; `None` where they are not bounded.
        self.target_bodies: TargetBodies | None = None
        self._target_states = target_states
        self._admissions = admissions
        self._chooser = chooser
        self._budget = budget
        self._tallies = tallies
        self._brittle = target_states.brittle
        self._searches: dict[str, set[Search]] = {}
        self._serving: dict[str, asyncio.Task[None]] = {}
        # Set for services at which an attempt has become overdue since the last round.
        self._begun: dict[str, asyncio.Event] = {}
        # When targets last accepted a connection that was opened to find that out.
        self._shown_s: dict[str, float] = {}
        target_states.view.on_gone.append(self._forget)
        admissions.count_seeking = self.seeking

    def seeking(self, service: str) -> int:
        """Return how many overdue attempts at a service could use a slot of another target."""
        return sum(item.could_use_slot for item in self._searches.get(service, ()))

    def begin(self, search: Search) -> None:
        """Look for a replacement until it is found or `end` is called."""
        service = search.call.service
        self._searches.setdefault(service, set()).add(search)
        self._begun.setdefault(service, asyncio.Event()).set()
        if service not in self._serving:
            self._serving[service] = asyncio.ensure_future(self._serve(service))

    async def wait(self, search: Search) -> bool:
        """Wait for a replacement; return `False` if no target is left that could be one."""
        self.begin(search)
        try:
            while not search.found.done():
                if not self._chooser.has_required_version(search.call):
                    return False
                await asyncio.wait([search.found], timeout=RECHECK_S)
            return True
        finally:
            self.end(search)

    def end(self, search: Search) -> None:
        """Look no further for a replacement."""
        service = search.call.service
        searches = self._searches[service]
        searches.remove(search)
        if not searches:
            del self._searches[service]
            self._serving.pop(service).cancel()

    def use(self, call: Call) -> Replacement | None:
        """Return what was taken to replace the last attempt of a request; it is no longer held."""
        replacement, call.replacement = call.replacement, None
        if replacement is not None:
            self._admissions.end_reservation(replacement.placement.target.target_id)
        return replacement

    def take_retry(self, service: str) -> float | None:
        """Take a retry from a service's budget; return when, or `None` if the budget is spent."""
        now_s = read_clock()
        return now_s if self._budget(service).take(now_s) else None

    def give_retry_back(self, service: str, taken_s: float) -> None:
        """Return a retry that was taken at `taken_s` and not made."""
        self._budget(service).give_back(taken_s)

    def release(self, call: Call) -> None:
        """Give back what was taken to replace an attempt that went on or is the last one."""
        replacement = self.use(call)
        if replacement is None:
            return
        self.give_permit_back(replacement)
        self.give_retry_back(call.service, replacement.taken_s)

    def give_permit_back(self, replacement: Replacement) -> None:
        """Give back the permit of a replacement to which nothing was sent."""
        if replacement.permit is not None:
            self._brittle.give_back(replacement.permit, PermitUse.NOT_SENT)

    def is_usable(self, call: Call, replacement: Replacement) -> bool:
        """Return whether a request may still be sent to its replacement."""
        target = replacement.placement.target
        return (
            self._target_states.still_takes_work(target)
            and call.may_go_on_at(target)
            and not self._is_unreachable(target)
        )

    async def _serve(self, service: str) -> None:
        """Serve a service's overdue attempts in rounds; ends with the last of them."""
        begun = self._begun[service]
        while True:
            begun.clear()
            try:
                await self._serve_round(service)
            except Exception as error:
                # Attempts that wait must not depend on a round that failed.
                logger.opt(exception=error).error("round failed", service=service, why=repr(error))
            await asyncio.sleep(MIN_GAP_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(ROUND_S - MIN_GAP_S):
                    await begun.wait()

    async def _serve_round(self, service: str) -> None:
        """Look once for a replacement of each overdue attempt."""
        hindrances: dict[tuple[object, ...], Hindrance] = {}
        if self._brittle.is_bounded(service):
            self._ask_for_slots(service)
        begun_s = read_clock()
        for search in sorted(self._searches[service], key=lambda item: item.urgency):
            if not self._is_wanted(search):
                continue
            if read_clock() - begun_s > MAX_SERVING_S:
                await asyncio.sleep(0)
                begun_s = read_clock()
            scope = search.scope
            hindrance = hindrances.get(scope) or await self._serve_one(search)
            if hindrance is not None:
                hindrances[scope] = search.hindrance = hindrance
                self._note(search, hindrance)

    def _ask_for_slots(self, service: str) -> None:
        """Ask for slots of the brittle targets that are not to be left."""
        left = {search.target.target_id for search in self._searches[service]}
        serving = self._target_states.serving(service)
        targets = [item for item in serving if item.target_id not in left]
        self._brittle.permits.fill(service, targets)

    async def _serve_one(self, search: Search) -> Hindrance | None:
        """Take a replacement for an overdue attempt; return why there is none, if there is none."""
        for _ in range(MAX_CHOICES):
            if not self._is_wanted(search):
                return None
            placement = self._place(search)
            if isinstance(placement, Hindrance):
                return placement
            if self._is_shown(placement.target):
                return self._take(search, placement)
            await self._probe(placement.target)
        return Hindrance.NOT_REACHED

    def _is_wanted(self, search: Search) -> bool:
        """Return whether an overdue attempt still looks for a replacement."""
        is_present = search in self._searches.get(search.call.service, ())
        return is_present and not search.found.done() and search.silent_s() > 0.0

    def _place(self, search: Search) -> Placement | Hindrance:
        """Choose a target to which the request may be sent now, or return why there is none."""
        call = search.call
        if not self._budget(call.service).has_left(read_clock()):
            return Hindrance.BUDGET
        if not self._chooser.confine_to_begun(call):
            return Hindrance.VERSION
        if not search.via and not search.is_lost:
            call.silent_domains.add(search.target.failure_domain)
        permitted = self._brittle.permitted(call.service) if self._is_bounded(call) else None
        tried, hindrance = set(call.tried), Hindrance.NO_TARGET
        try:
            for _ in range(MAX_CHOICES):
                placement = self._chooser.choose(call, permitted)
                found = hindrance if placement is None else self._find_hindrance(search, placement)
                if found is None:
                    return placement
                hindrance = found
                if placement is None:
                    break
                call.tried.add(placement.target.target_id)
            return hindrance
        finally:
            call.tried = tried

    def _find_hindrance(self, search: Search, placement: Placement) -> Hindrance | None:
        """Return why a target can't take over now, `None` if it can."""
        call, target = search.call, placement.target
        candidate, bodies = placement.choice.candidate, self.target_bodies
        if self._is_unreachable(target):
            return Hindrance.NOT_REACHED
        if self._is_silent(search, target):
            return Hindrance.SILENT
        if candidate.room is not None and not candidate.room.fits and not search.has_begun:
            return Hindrance.NO_ROOM
        if bodies is not None and not bodies.may_send(target.target_id, search.body_bytes):
            return Hindrance.NO_ROOM
        if self._may_resume(search) and not self._admissions.has_room(call.service, candidate):
            return Hindrance.NO_ROOM
        return None

    def _may_resume(self, search: Search) -> bool:
        """Return whether the target of an attempt may be silent for a moment only."""
        is_short = search.silent_s() < PAUSE_S
        return not search.is_lost and is_short and not self._is_unreachable(search.target)

    def _is_bounded(self, call: Call) -> bool:
        """Return whether a request needs a permit for a slot of its target."""
        return call.key is None and self._brittle.is_bounded(call.service)

    def _is_unreachable(self, target: TargetRecord) -> bool:
        """Return whether a target can be reached neither from here nor through another router."""
        states = self._target_states
        is_off = states.connections.is_unreachable(target.target_id)
        return is_off and not states.reach.is_relayed(target)

    def _is_silent(self, search: Search, target: TargetRecord) -> bool:
        """Return whether a target may be as silent as the one that is left.

        On a cut path all targets are silent; one that another router reaches is not.
        """
        states = self._target_states
        if search.is_lost or (not search.via and states.reach.is_relayed(target)):
            return False
        silent_s = states.activity.silent_s(target.target_id, read_clock(), last_woken_s())
        return silent_s > SILENT_PART * search.silent_s()

    def _is_shown(self, target: TargetRecord) -> bool:
        """Return whether there is a sign that a target accepts a connection now."""
        states, target_id = self._target_states, target.target_id
        if states.reach.is_relayed(target):
            return True
        shown_s = self._shown_s.get(target_id, float("-inf"))
        last_s = max(shown_s, states.activity.received_s(target_id))
        return read_clock() - last_s < SHOWN_S

    async def _probe(self, target: TargetRecord) -> None:
        """Find out whether a target accepts a connection; the next request to it uses that one."""
        states, target_id = self._target_states, target.target_id
        if await states.reach.probe(target):
            self._shown_s[target_id] = read_clock()
            return
        states.connections.watch(target_id, target.address)
        states.reach.note_failure(target)

    def _take(self, search: Search, placement: Placement) -> Hindrance | None:
        """Take the permit and the retry for a replacement; return why it can't be taken."""
        call, target = search.call, placement.target
        if call.replacement is not None:
            # Another attempt of the same request has found it.
            search.found.set_result(None)
            return None
        permit = self._brittle.use(target) if self._is_bounded(call) else None
        if permit is None and self._is_bounded(call):
            return Hindrance.NO_PERMIT
        replacement = Replacement(placement, permit, read_clock())
        if not self._budget(call.service).take(replacement.taken_s):
            self.give_permit_back(replacement)
            return Hindrance.BUDGET
        call.replacement, search.has_taken = replacement, True
        self._admissions.reserve(target.target_id)
        search.found.set_result(None)
        return None

    def _note(self, search: Search, hindrance: Hindrance) -> None:
        """Log and count, once for each request, why its overdue attempt has no replacement."""
        call = search.call
        if call.kept_for:
            return
        call.kept_for = hindrance.value
        self._tallies.count("attempts_kept", why=hindrance.value)
        logger.info(
            "attempt kept",
            request=call.facts.request_id.decode("latin-1"),
            target=search.target.target_id,
            why=hindrance.value,
            is_lost=search.is_lost,
            has_begun=search.has_begun,
            waiting=len(self._searches.get(call.service, ())),
            left_ms=int(call.left_s() * 1000),
        )

    def _forget(self, target_id: str) -> None:
        self._shown_s.pop(target_id, None)
