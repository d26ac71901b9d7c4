"""Make one attempt at a target and record its outcome in the router's state."""

import asyncio
from collections.abc import Callable

from damaskwind.decisions.fatal_requests.evidence import SendEvidence
from damaskwind.decisions.load.held_requests import LoadBasis
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.attempt import AnswerAcceptor, AttemptSender
from damaskwind.router.forwarding.attempt_outcome import AttemptEnd, AttemptOutcome, Placement
from damaskwind.router.forwarding.call import AttemptNote, Call
from damaskwind.router.forwarding.crash_detector import BrokenSend, CrashDetector
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.engine_memory import EngineMemory
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.service_throttles import ServiceThrottles
from damaskwind.router.forwarding.target_speeds import SpeedBasis
from damaskwind.router.forwarding.target_states import SendResult, TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.tallies import Tallies

__all__ = ["RecordedSends"]

# The status with which a target itself answers a request whose deadline has passed.
DEADLINE_PASSED = 504


class RecordedSends:
    """The attempts of one router, each recorded when it begins and when it ends.

    `on_started` is called when an answer begins that is not a refusal, `on_ended` with the
    seconds that an attempt took if its target did not refuse it, and `on_delivered` with those of
    an attempt whose whole answer was passed on.
    """

    def __init__(
        self,
        sender: AttemptSender,
        target_states: TargetStates,
        admissions: PoolAdmissions,
        throttles: ServiceThrottles,
        crash_detector: CrashDetector,
        tallies: Tallies,
        memory: EngineMemory | None = None,
    ) -> None:
        self._sender = sender
        self._target_states = target_states
        self._suspicions = target_states.suspicions
        self._admissions = admissions
        self._throttles = throttles
        self._tallies = tallies
        self._memory = memory
        self._crash_detector = crash_detector
        self.on_started: list[Callable[[Call], None]] = []
        self.on_ended: list[Callable[[Call, float], None]] = []
        self.on_delivered: list[Callable[[Call, float], None]] = []
        crash_detector.on_crashed.append(self._record_target_crash)
        sender.on_answer_started = self._record_answer_started
        sender.on_accepted = self._record_accepted

    async def send(
        self,
        exchange: Exchange,
        call: Call,
        delivery: Delivery,
        placement: Placement,
        accept_answer: AnswerAcceptor | None = None,
    ) -> AttemptOutcome:
        """Make one attempt at a target and record its outcome.

        With `accept_answer` another attempt may be in progress; see `AttemptSender.send`.
        """
        target = placement.target
        begun_s = read_clock()
        basis = self._record_begun(call, target, begun_s)
        speed = self._target_states.target_speeds.basis(target, begun_s)
        may_reroute = call.route.may_repeat and call.sends < call.route.max_attempts
        # Until the outcome is known, the request may be running.
        call.possible_runs += 1
        evidence = self._suspicions.evidence(call)
        call.is_suspected = self._suspicions.is_suspected(call)
        options = () if accept_answer is None else (accept_answer,)
        outcome = AttemptOutcome(AttemptEnd.BROKEN, "canceled")
        try:
            outcome = await self._sender.send(
                exchange.request, call, placement, delivery, may_reroute, *options
            )
        except asyncio.CancelledError:
            if target.target_id in call.superseded_targets:
                outcome = AttemptOutcome(AttemptEnd.SUPERSEDED, "another attempt went on")
                self._tallies.count("attempts", end=outcome.end.value)
            raise
        finally:
            ended_s = read_clock()
            if self._memory is not None:
                self._memory.record_ended(call, target.target_id)
            self._admissions.record_ended(call, target.target_id)
            call.notes.append(_note(call, placement, basis, speed, outcome, begun_s, ended_s))
        self._tallies.count("attempts", end=outcome.end.value)
        if outcome.is_unframed:
            self._tallies.count("unframed_answers", end=outcome.end.value)
        if outcome.end in (AttemptEnd.WITHHELD, AttemptEnd.HELD, AttemptEnd.NOT_RUN):
            call.possible_runs -= 1
        if outcome.end in (AttemptEnd.WITHHELD, AttemptEnd.HELD):
            call.sends -= 1
            return outcome
        if outcome.end is AttemptEnd.DELIVERED:
            self._target_states.target_speeds.record_ended(target, ended_s - begun_s, ended_s)
            for callback in self.on_delivered:
                callback(call, ended_s - begun_s)
        self._record_ended(call, target, outcome, begun_s, ended_s)
        self._record_crash_evidence(call, target, outcome, evidence)
        return outcome

    def _record_begun(self, call: Call, target: TargetRecord, begun_s: float) -> LoadBasis:
        """Record that a request is being sent; return what its target's load is based on."""
        basis = self._target_states.loads.basis(target.target_id, begun_s, call.key is not None)
        if basis.age_s is not None:
            self._tallies.observe("load_age", basis.age_s, source=basis.source.value)
        self._tallies.count("placements", load_from=basis.source.value)
        if self._memory is not None:
            self._memory.record_sent(call, target.target_id, begun_s)
        self._admissions.record_sent(call, target.target_id)
        call.sends += 1
        call.tried.add(target.target_id)
        self._target_states.record_sent(target, begun_s)
        return basis

    def _record_ended(
        self,
        call: Call,
        target: TargetRecord,
        outcome: AttemptOutcome,
        begun_s: float,
        ended_s: float,
    ) -> None:
        """Record an attempt that was made in the state of its request and its target."""
        if call.key is None:
            self._record_service_result(call, outcome, ended_s - begun_s)
        if outcome.was_reached and outcome.end is not AttemptEnd.NOT_RUN:
            for callback in self.on_ended:
                callback(call, ended_s - begun_s)
        call.reached += outcome.was_reached
        if not outcome.was_reached:
            call.unreached += 1
            call.sends -= 1
        if not outcome.via and (not outcome.was_reached or outcome.end is AttemptEnd.STALLED):
            call.silent_domains.add(target.failure_domain)
        if outcome.end is AttemptEnd.NOT_RUN and outcome.was_reached and not outcome.is_displaced:
            self._admissions.record_rejection(call, target.target_id)
        self._target_states.record_ended(target, _send_result(outcome), ended_s)

    def _record_service_result(self, call: Call, outcome: AttemptOutcome, took_s: float) -> None:
        """Record the answer time or the refusal of a service that reports no load."""
        result = _send_result(outcome)
        if outcome.answer is not None or result.is_good:
            self._throttles.record_answer(call, took_s)
        elif result.was_refused and not result.is_displaced and not outcome.asks_for_pause:
            self._throttles.record_rejection(call)

    def _record_crash_evidence(
        self, call: Call, target: TargetRecord, outcome: AttemptOutcome, evidence: SendEvidence
    ) -> None:
        """Find out whether a target crashed under a request, or record that it ran to its end."""
        facts = call.facts
        if outcome.is_connection_lost:
            broken = BrokenSend(
                *evidence.request, facts.request_id, facts.part_ids, evidence.parts, evidence.group
            )
            call.exit_probes.append(self._crash_detector.probe(target, broken))
        elif _ran_to_end(outcome):
            self._suspicions.record_completion(
                call, evidence, target.target_id, outcome.why, outcome.is_answered
            )

    def _record_target_crash(self, target: TargetRecord, sends: list[BrokenSend]) -> None:
        """Count the end of a target that crashed against what was in flight there."""
        self._suspicions.record_target_end(target, [item.evidence for item in sends])

    def _record_answer_started(self, call: Call, target_id: str, first_s: float) -> None:
        """Record how long a target took to begin its answer."""
        self._tallies.observe("first_piece", first_s, kind=call.route.kind.value)
        objective_share = first_s / call.route.objective_s
        record = self._target_states.view.targets.record_of(target_id)
        if record is not None:
            self._target_states.target_speeds.record_started(
                record, first_s, objective_share, read_clock()
            )
        self._target_states.record_answer_started(
            call.service, target_id, objective_share, read_clock()
        )
        if self._memory is not None:
            self._memory.record_started(call, target_id)
        self._admissions.record_answer_started(call, target_id)

    def _record_accepted(self, call: Call) -> None:
        """Record that an answer began which is not a refusal."""
        for callback in self.on_started:
            callback(call)


def _note(
    call: Call,
    placement: Placement,
    basis: LoadBasis,
    speed: SpeedBasis,
    outcome: AttemptOutcome,
    begun_s: float,
    ended_s: float,
) -> AttemptNote:
    """Return the log's record of an attempt."""
    choice = placement.choice
    return AttemptNote(
        placement.target.target_id,
        choice.rank,
        round(choice.candidate.load, 1),
        round(choice.bound, 1),
        basis.age_s,
        choice.donor_id,
        f"{outcome.end}: {outcome.why}",
        int((begun_s - call.started_s) * 1000),
        int((ended_s - begun_s) * 1000),
        None if outcome.first_s is None else int(outcome.first_s * 1000),
        basis.source.value,
        None if choice.candidate.start_s is None else int(choice.candidate.start_s * 1000),
        speed.work_time,
        speed.age_s,
        outcome.via,
        outcome.is_unframed,
        outcome.open_bytes,
        placement.target.version,
    )


def _send_result(outcome: AttemptOutcome) -> SendResult:
    """Return what the outcome of an attempt implies for the state of its target."""
    was_refused = outcome.end is AttemptEnd.NOT_RUN and outcome.was_reached
    is_good = outcome.end is AttemptEnd.DELIVERED
    is_failure = not outcome.was_reached or outcome.end in (AttemptEnd.BROKEN, AttemptEnd.STALLED)
    return SendResult(
        is_good,
        outcome.was_reached,
        was_refused,
        outcome.is_displaced,
        bool(outcome.via) and is_failure,
    )


def _ran_to_end(outcome: AttemptOutcome) -> bool:
    """Return whether the target ran the request to completion.

    A request that waited at a target until its deadline may never have started.
    """
    if outcome.end is AttemptEnd.TARGET_ERROR:
        return outcome.answer.status != DEADLINE_PASSED
    return outcome.end is AttemptEnd.DELIVERED
