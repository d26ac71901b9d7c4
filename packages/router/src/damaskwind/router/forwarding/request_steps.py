"""Take a request from its arrival to its final outcome, as a table of states.

Each state has one handler, which does the work of that state and returns the next one:

    arrived   a stream that is taken up may go on only at the version that began it, if any
    asked     gates, the first placement, probes and admission to the pool
    admitted  placed again if it waited, since the state of the targets has changed
    placed    sent to its target, if the retry budget allows it; `HedgedSends` sends an
              overdue request to a second target
    sent      the outcome of the attempt decides whether another one may follow
    lost      the connection broke: the request itself may have crashed its target
    repeated  placed again at another target
    ended     no further attempt; `RequestProgress.result` is the outcome
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from enum import StrEnum

from damaskwind.decisions.admission.pool_admission import PoolRejection
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.admission_gate import AdmissionGate
from damaskwind.router.forwarding.attempt_outcome import AttemptEnd, AttemptOutcome, Placement
from damaskwind.router.forwarding.call import Call, FinalRefusal
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.hedged_sends import HedgedSends
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.replacement_searches import Search
from damaskwind.router.forwarding.replacements import Replacements
from damaskwind.router.forwarding.slot_permits import Permit, PermitUse
from damaskwind.router.forwarding.speed_probes import SpeedProbes
from damaskwind.router.forwarding.stop_window import StopWindow, TooLateError
from damaskwind.router.forwarding.stream_origins import StreamOrigins
from damaskwind.router.forwarding.target_bodies import TargetBodies
from damaskwind.router.forwarding.target_choice import TargetChooser
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.tallies import Tallies

__all__ = ["RequestProgress", "RequestState", "RequestSteps"]

# Sends allowed beyond a route's attempts when all earlier ones certainly did not run.
EXTRA_SENDS = 1
# The refusal of a stream whose version is unknown or serves no more.
CANNOT_GO_ON = FinalRefusal(b"the stream can't go on\n", "refused as it can't go on")
# The refusal of a request that became known as fatal after it had arrived.
HELD_FATAL = FinalRefusal(b"targets end when they run it\n", "refused as fatal")
# Unreachable targets that a request may try, at 0.3 s each, before it is refused.
MAX_UNREACHED = 3


class RequestState(StrEnum):
    """The state of a request between its arrival and its final outcome."""

    ARRIVED = "arrived"
    ASKED = "asked"
    ADMITTED = "admitted"
    PLACED = "placed"
    SENT = "sent"
    LOST = "lost"
    REPEATED = "repeated"
    ENDED = "ended"


class RequestProgress:
    """One request and how far it has come.

    `placement` is the target chosen for the next send, and `permit` that for it where targets are
    brittle. `last_target` is that of the last attempt, and `outcome` its outcome. A retry was taken
    from the budget at `retry_taken_s` if one is in hand. The request `has_left_target` if an
    attempt was given up for silence. `failure` is the last failure that a
    target answered, which is passed on to the caller if no later attempt succeeds.
    """

    def __init__(self, exchange: Exchange, call: Call, delivery: Delivery) -> None:
        self.exchange = exchange
        self.call = call
        self.delivery = delivery
        self.placement: Placement | None = None
        self.permit: Permit | None = None
        self.last_target: TargetRecord | None = None
        self.retry_taken_s: float | None = None
        self.has_left_target = False
        self.outcome = AttemptOutcome(AttemptEnd.NOT_RUN, "no target")
        self.failure: AttemptOutcome | None = None

    @property
    def result(self) -> AttemptOutcome:
        """Return the outcome with which the request ends if no further attempt is made."""
        if self.outcome.end is AttemptEnd.DELIVERED or self.failure is None:
            return self.outcome
        return self.failure

    def refuse(self, why: str, retry_after_s: float | None) -> RequestState:
        """End the request as not run, with the time after which its caller should retry."""
        self.call.retry_after_s = retry_after_s
        self.outcome = AttemptOutcome(AttemptEnd.NOT_RUN, why, was_reached=False)
        return RequestState.ENDED

    def refuse_fatal(self) -> RequestState:
        """End a request that is held fatal: no retry helps, and it has not run unless it ran."""
        if not self.call.may_have_run:
            self.call.final_refusal = HELD_FATAL
            return self.refuse("held fatal", None)
        self.outcome = self.failure or AttemptOutcome(AttemptEnd.BROKEN, "held fatal")
        return RequestState.ENDED

    def refuse_stream(self, why: str, retry_after_s: float | None) -> RequestState:
        """Refuse a stream that is taken up; without a time to retry, it can't go on any more."""
        if retry_after_s is None:
            self.call.final_refusal = CANNOT_GO_ON
        return self.refuse(why, retry_after_s)


_Handler = Callable[["RequestSteps", RequestProgress], Awaitable[RequestState]]
_HANDLERS: dict[RequestState, _Handler] = {}


def _handles(state: RequestState) -> Callable[[_Handler], _Handler]:
    """Register the decorated function as the handler of a state."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS[state] = handler
        return handler

    return register


class RequestSteps:
    """The steps of all requests of one router; `gates` are checked in their order."""

    def __init__(
        self,
        target_states: TargetStates,
        admissions: PoolAdmissions,
        gates: Sequence[AdmissionGate],
        chooser: TargetChooser,
        sends: HedgedSends,
        replacements: Replacements,
        tallies: Tallies,
        probes: SpeedProbes,
        origins: StreamOrigins,
        stop_window: StopWindow,
    ) -> None:
        self.stop_window = stop_window
        self.origins = origins
        self.probes = probes
        self.admissions = admissions
        self.gates = gates
        self.chooser = chooser
        self.sends = sends
        self.replacements = replacements
        self.target_states = target_states
        self.suspicions = target_states.suspicions
        self.reach = target_states.reach
        self.brittle = target_states.brittle
        self.tallies = tallies
        self.target_bodies: TargetBodies | None = None

    async def run(self, exchange: Exchange, call: Call, delivery: Delivery) -> AttemptOutcome:
        """Send until an answer is delivered or no further attempt is allowed."""
        progress = RequestProgress(exchange, call, delivery)
        state = RequestState.ARRIVED
        try:
            while state is not RequestState.ENDED:
                state = await _HANDLERS[state](self, progress)
            return progress.result
        finally:
            self._release_unused(progress)

    def _release_unused(self, progress: RequestProgress) -> None:
        """Give back what was taken for another attempt that was not made."""
        self.replacements.release(progress.call)
        self._release_retry(progress)

    def _release_retry(self, progress: RequestProgress) -> None:
        """Give back a retry that was taken for a request and not made."""
        if progress.retry_taken_s is not None:
            self.replacements.give_retry_back(progress.call.service, progress.retry_taken_s)
        progress.retry_taken_s = None

    async def place_when_possible(self, progress: RequestProgress) -> RequestState:
        """Place a request again as soon as there is a way to go on.

        Without a target or a retry it waits for both until its deadline. It ends if no target is
        left.
        """
        call = progress.call
        if not self.is_bounded(call):
            state = await self.place_when_settled(progress)
            if state is not RequestState.ENDED and self.has_retry(progress):
                return state
        # One that is in hand may be the last of the budget, and the search takes another one.
        self._release_retry(progress)
        last, size_bytes = progress.last_target, len(progress.exchange.request.body)
        while await self.replacements.wait(Search.of_lost(call, last, size_bytes)):
            if self.use_replacement(progress):
                return RequestState.PLACED
            self._release_retry(progress)
        return RequestState.ENDED

    def use_replacement(self, progress: RequestProgress) -> bool:
        """Place a request where its last attempt has a replacement; return whether it has one.

        The retry that was taken with it is kept if its target can't be used any more.
        """
        replacement = self.replacements.use(progress.call)
        if replacement is None:
            return False
        self._release_retry(progress)
        progress.retry_taken_s, progress.has_left_target = replacement.taken_s, True
        if not self.replacements.is_usable(progress.call, replacement):
            self.replacements.give_permit_back(replacement)
            return False
        progress.placement, progress.permit = replacement.placement, replacement.permit
        return True

    def has_retry(self, progress: RequestProgress) -> bool:
        """Take a retry for a request unless it has one; return `False` if the budget is spent."""
        if progress.retry_taken_s is None:
            progress.retry_taken_s = self.replacements.take_retry(progress.call.service)
        return progress.retry_taken_s is not None

    def place(self, progress: RequestProgress, must_fit: bool = True) -> RequestState:
        """Choose the target of the next send; the request ends if there is none.

        One that fits nowhere is not sent with `must_fit`, unless its answer has begun: it could
        not wait without being cut off.
        """
        call = progress.call
        progress.placement = self.chooser.choose(call)
        if progress.placement is not None:
            room = progress.placement.choice.candidate.room
            if must_fit and room is not None and not room.fits and not progress.delivery.has_begun:
                return progress.refuse("no engine memory", None)
            return RequestState.PLACED
        return self._end_unplaced(progress)

    def _end_unplaced(self, progress: RequestProgress) -> RequestState:
        """End a request for which no target was found, with the time to retry if it has not run."""
        call = progress.call
        is_bound = call.required_version is not None
        if is_bound and not call.may_have_run and not progress.delivery.has_begun:
            if not self.chooser.has_required_version(call):
                return progress.refuse_stream("no target of its version serves", None)
            progress.refuse("no target of its version has room", None)
        pause_s = self.chooser.pause_retry_after_s(call)
        if pause_s is not None:
            call.retry_after_s = pause_s
        return RequestState.ENDED

    async def place_when_settled(
        self, progress: RequestProgress, must_fit: bool = True
    ) -> RequestState:
        """Choose a target; if there is none, wait to know whether other routers reach some."""
        state = self.place(progress, must_fit)
        is_final = progress.call.final_refusal is not None
        if state is not RequestState.ENDED or progress.placement is not None or is_final:
            return state
        if not await self.reach.settled(progress.call.service):
            return state
        return self.place(progress, must_fit)

    def is_bounded(self, call: Call) -> bool:
        """Return whether a request needs a permit for a slot of its target."""
        return call.key is None and self.brittle.is_bounded(call.service)

    def place_at_slot(self, progress: RequestProgress) -> bool:
        """Choose a brittle target for which there is a permit, and take it; return success."""
        call = progress.call
        placement = self.chooser.choose(call, self.brittle.permitted(call.service))
        if placement is None:
            return False
        progress.placement, progress.permit = placement, self.brittle.use(placement.target)
        return True

    def give_permit_back(self, progress: RequestProgress, outcome: AttemptOutcome | None) -> None:
        """Give back the permit of an attempt, which has no outcome if it was canceled."""
        permit, progress.permit = progress.permit, None
        if permit is not None:
            self.brittle.give_back(permit, _permit_use(outcome))

    async def admit(self, progress: RequestProgress) -> PoolRejection | None:
        """Wait for headroom in the pool; return the refusal if the request is rejected."""
        call, placement = progress.call, progress.placement
        home = placement.choice.candidate if call.key or placement.is_confined else None
        try:
            async with self.stop_window.waiting(call):
                return await self.admissions.admit(call, home)
        except TooLateError as error:
            return PoolRejection(call.number, self.stop_window.retry_after_s(), str(error))

    async def send(self, progress: RequestProgress) -> AttemptOutcome:
        """Make one attempt at the target that was chosen.

        A retry is used up by it, unless it did not reach its target. Of two attempts, either may
        have reached its own.
        """
        progress.last_target = progress.placement.target
        taken_s, progress.retry_taken_s = progress.retry_taken_s, None
        outcome = await self.sends.send(
            progress.exchange, progress.call, progress.delivery, progress.placement
        )
        if not outcome.was_sent and progress.call.second_target is None:
            progress.retry_taken_s = taken_s
        self.probes.record_sent(progress.call, outcome)
        return outcome

    async def wait_for_target(self, progress: RequestProgress) -> bool:
        """Find a target that may be sent the request's body, or wait for the first choice."""
        bodies, size_bytes = self.target_bodies, len(progress.exchange.request.body)
        call, first = progress.call, progress.placement
        if bodies.may_send(first.target.target_id, size_bytes):
            return True
        tried = set(call.tried)
        try:
            while not bodies.may_send(progress.placement.target.target_id, size_bytes):
                call.tried.add(progress.placement.target.target_id)
                if self.place(progress) is RequestState.ENDED:
                    progress.placement, call.retry_after_s = first, None
                    name = call.facts.request_id.decode("latin-1")
                    return await bodies.wait(first.target.target_id, size_bytes, name)
            return True
        finally:
            # A target that had no room may still be sent a retry.
            call.tried = tried

    def may_retry(self, call: Call, outcome: AttemptOutcome) -> bool:
        """Return whether the request may be sent to another target."""
        if outcome.end is AttemptEnd.WITHHELD:
            return True
        if not outcome.was_reached:
            return call.unreached < MAX_UNREACHED
        if outcome.end is AttemptEnd.NOT_RUN:
            if call.key is None and self.brittle.is_brittle(call.service):
                # A second refusal may be the one under which its target falls over.
                return False
            # An attempt of a race that was canceled or broke may have run.
            may_exceed = call.second_target is None or not call.may_have_run
            return call.sends < call.route.max_attempts + EXTRA_SENDS * may_exceed
        return call.route.may_repeat and call.sends < call.route.max_attempts


def _permit_use(outcome: AttemptOutcome | None) -> PermitUse:
    """Return what became of the request of an attempt, which has no outcome if it was canceled."""
    if outcome is None or outcome.end in (AttemptEnd.BROKEN, AttemptEnd.STALLED):
        return PermitUse.BROKEN_OFF
    if outcome.end in (AttemptEnd.DELIVERED, AttemptEnd.TARGET_ERROR):
        return PermitUse.ANSWERED
    was_refused = outcome.end is AttemptEnd.NOT_RUN and outcome.was_reached
    return PermitUse.REFUSED if was_refused and not outcome.is_displaced else PermitUse.NOT_SENT


@_handles(RequestState.ARRIVED)
async def _find_origin(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Find out at which version a stream that is taken up may go on, or refuse it."""
    call = progress.call
    if not call.takes_up:
        return RequestState.ASKED
    verdict = await steps.origins.resolve(call)
    if verdict.is_refused:
        return progress.refuse_stream(verdict.why, verdict.retry_after_s)
    call.required_version = verdict.version
    return RequestState.ASKED


@_handles(RequestState.ASKED)
async def _admit(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Pass the gates and wait for headroom in the pool, or refuse the request."""
    call = progress.call
    if await steps.place_when_settled(progress, must_fit=False) is RequestState.ENDED:
        return RequestState.ENDED
    for gate in (steps.stop_window, *steps.gates):
        refusal = gate.check(call)
        if refusal is not None:
            if refusal.text is not None:
                call.final_refusal = FinalRefusal(refusal.text, "refused as too large")
            return progress.refuse(refusal.why, refusal.retry_after_s)
    was_probed = await steps.probes.refresh(call, progress.placement)
    if was_probed and steps.place(progress, must_fit=False) is RequestState.ENDED:
        return RequestState.ENDED
    rejection = await steps.admit(progress)
    if call.entry is not None:
        steps.tallies.count("entries", step=call.entry.step)
    if steps.suspicions.find_held(call) is not None:
        return progress.refuse_fatal()
    if rejection is not None:
        return progress.refuse(rejection.why, rejection.retry_after_s)
    return RequestState.ADMITTED


@_handles(RequestState.ADMITTED)
async def _place_after_wait(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Place a request again that has waited, or that needs a permit."""
    call = progress.call
    if not steps.is_bounded(call):
        return steps.place(progress) if call.entry.waited_ms else RequestState.PLACED
    if steps.place_at_slot(progress):
        return RequestState.PLACED
    if call.reached or call.unreached:
        return RequestState.ENDED
    return progress.refuse("no slot granted", steps.admissions.retry_after_s(call))


@_handles(RequestState.PLACED)
async def _send(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Send a request to its target, and give back its permit for that."""
    outcome = None
    try:
        state = await _send_placed(steps, progress)
        outcome = progress.outcome
        return state
    finally:
        steps.give_permit_back(progress, outcome)


async def _send_placed(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Send a request to its target; a second send draws on the retry budget."""
    call = progress.call
    refusal = None if call.may_have_run else steps.stop_window.check(call)
    if refusal is not None:
        return progress.refuse(refusal.why, refusal.retry_after_s)
    if call.reached and not steps.has_retry(progress):
        why = f"{progress.outcome.why}; retry budget spent"
        progress.outcome = progress.outcome._replace(why=why)
        return RequestState.ENDED
    bodies = steps.target_bodies
    if bodies is None:
        progress.outcome = await steps.send(progress)
        return RequestState.SENT
    if not await steps.wait_for_target(progress):
        return progress.refuse("too many bytes of bodies in hand at the target", None)
    size_bytes = len(progress.exchange.request.body)
    with bodies.sending(progress.placement.target.target_id, size_bytes):
        progress.outcome = await steps.send(progress)
    return RequestState.SENT


@_handles(RequestState.SENT)
async def _judge_outcome(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Decide by the outcome of an attempt whether another one may follow."""
    outcome = progress.outcome
    if outcome.end in (AttemptEnd.HELD, AttemptEnd.CALLED_BACK):
        return progress.refuse_fatal()
    if outcome.end is AttemptEnd.DELIVERED:
        return RequestState.ENDED
    if outcome.answer is not None:
        progress.failure = outcome
    if not steps.may_retry(progress.call, outcome):
        return RequestState.ENDED
    if not progress.delivery.can_go_on:
        why = f"{outcome.why}; the last event has no id to go on after"
        progress.outcome = outcome._replace(why=why)
        return RequestState.ENDED
    # Of two attempts, the one whose connection broke need not be the one with this outcome.
    return RequestState.LOST if progress.call.exit_probes else RequestState.REPEATED


@_handles(RequestState.LOST)
async def _check_suspicion(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Retry a request whose last send broke, unless it has crashed too many targets.

    The request itself may have crashed the target, so it is retried elsewhere once, not twice.
    """
    call = progress.call
    # Other requests share the probes, so they continue when this caller leaves.
    probes, call.exit_probes = call.exit_probes, []
    await asyncio.shield(asyncio.gather(*probes))
    may_retry = steps.suspicions.may_retry(call)
    return RequestState.REPEATED if may_retry else RequestState.ENDED


@_handles(RequestState.REPEATED)
async def _place_again(steps: RequestSteps, progress: RequestProgress) -> RequestState:
    """Place a request again after an attempt that may be repeated."""
    if not steps.chooser.confine_to_begun(progress.call):
        why = f"{progress.outcome.why}; the target's software changed"
        progress.outcome = progress.outcome._replace(why=why)
        return RequestState.ENDED
    if steps.use_replacement(progress):
        return RequestState.PLACED
    # An answer that has begun would have to be cut, and a target that was left might have answered.
    is_left = progress.has_left_target and steps.chooser.has_untried(progress.call)
    if progress.delivery.has_begun or is_left:
        return await steps.place_when_possible(progress)
    state = await steps.place_when_settled(progress)
    if state is RequestState.ENDED or not steps.is_bounded(progress.call):
        return state
    # Another slot is needed, for which the request waits like new ones.
    rejection = await steps.admit(progress)
    return RequestState.ENDED if rejection else RequestState.ADMITTED
