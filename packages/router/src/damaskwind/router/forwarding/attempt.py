"""Send a request to one target once and classify the outcome."""

import asyncio
from collections.abc import Callable
from weakref import WeakSet

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.answer_ends import AnswerEnds
from damaskwind.router.forwarding.answer_heads import MISDIRECTED, AnswerHeads
from damaskwind.router.forwarding.answer_waits import AnswerWaits, ReplacedError, WaitingAttempt
from damaskwind.router.forwarding.attempt_outcome import AttemptEnd, AttemptOutcome, Placement
from damaskwind.router.forwarding.call import Call, target_headers
from damaskwind.router.forwarding.connections import SETTLE_S
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.long_answers import record_too_long
from damaskwind.router.forwarding.replacements import Replacements
from damaskwind.router.forwarding.service_reach import SILENCE_S
from damaskwind.router.forwarding.stream_origins import StreamOrigins
from damaskwind.router.forwarding.target_paths import TargetPath, choose_path
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    AnswerHead,
    ClientConnection,
    ConnectFailedError,
)
from damaskwind.runtime.http1.messages import Answer, Request, header
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.peers import Failure

__all__ = ["AnswerAcceptor", "AttemptEnd", "AttemptOutcome", "AttemptSender", "Placement"]

# A non-streaming answer is buffered completely before any of it is forwarded, so that a
# truncated one is detected; services answer with a few KB.
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
# Late answers to earlier requests that are skipped on a reused connection.
SKIPPED_ANSWERS = 3
# Called with the seconds from the send to the head of the answer.
AnswerAcceptor = Callable[[float], None]


# The end of an unframed answer whose target may have crashed then.
_UNSURE_END = AttemptOutcome(
    AttemptEnd.BROKEN,
    "the target is gone at the end of an answer without a frame",
    is_connection_lost=True,
    is_unframed=True,
)


def _ignore_answer_started(call: Call, target_id: str, first_s: float) -> None:
    """Ignore the start of an answer; the default of `AttemptSender.on_answer_started`."""


def _ignore_accepted(call: Call) -> None:
    """Ignore that a target runs a request; the default of `AttemptSender.on_accepted`."""


def _accept_answer(first_s: float) -> None:
    """Accept an answer that begins; the default if no other attempt is in progress."""


def _is_connection_lost(connection: ClientConnection) -> bool:
    """Tell whether a connection that the target had accepted was closed early.

    A connection that is reset right after it was established did not reach the target: a proxy
    in front of a target that has exited, or is unreachable, accepts and then resets it.
    """
    was_accepted = read_clock() - connection.made_s >= SETTLE_S
    return was_accepted and not connection.is_open and not connection.is_timed_out


class AttemptSender:
    """Send requests to targets over pooled connections.

    `on_answer_started` is called with the call, the target id and the seconds from the send to
    the head of the answer, which may be a refusal. `on_accepted` is called if it is none.
    """

    def __init__(
        self,
        target_states: TargetStates,
        names: HeaderNames,
        origins: StreamOrigins,
        tallies: Tallies,
        replacements: Replacements,
    ) -> None:
        self.connections = target_states.connections
        self.activity = target_states.activity
        self.answer_ends = AnswerEnds(target_states, names, tallies)
        self.record_head = AnswerHeads(target_states, names).record
        self._waits = AnswerWaits(target_states, replacements)
        self.on_answer_started: Callable[[Call, str, float], None] = _ignore_answer_started
        self.on_accepted: Callable[[Call], None] = _ignore_accepted
        self._target_states = target_states
        self._loads = target_states.loads
        self._names = names
        self._origins = origins
        self._tallies = tallies
        # The connections of attempts whose answer has not begun.
        self._unanswered: dict[ClientConnection, Call] = {}
        self._called_back: WeakSet[ClientConnection] = WeakSet()
        target_states.suspicions.on_held.append(self._recall_held)

    def _recall_held(self) -> None:
        """Close the connections of requests that are held fatal by now, before they may run."""
        for connection, call in self._unanswered.items():
            if self._target_states.suspicions.find_held(call) is not None:
                self._called_back.add(connection)
                logger.info(
                    "fatal request called back", request=call.facts.request_id.decode("latin-1")
                )
                connection.abort()

    async def send(
        self,
        request: Request,
        call: Call,
        placement: Placement,
        delivery: Delivery,
        may_reroute: bool,
        accept_answer: AnswerAcceptor = _accept_answer,
    ) -> AttemptOutcome:
        """Send the request and forward the answer; with `may_reroute` give up on a silent target.

        `accept_answer` is called for an answer that is neither a refusal nor an error before any of
        it is forwarded: when a stream begins, and when another answer is whole.
        Raise `TimeoutError` before anything is sent if the caller's deadline has passed.
        """
        path = choose_path(placement.target, self.connections, self._target_states.reach)
        try:
            outcome = await self._send_over(
                path, request, call, placement, delivery, may_reroute, accept_answer
            )
            return outcome._replace(via=path.via) if path.via else outcome
        finally:
            path.close()

    async def _send_over(
        self,
        path: TargetPath,
        request: Request,
        call: Call,
        placement: Placement,
        delivery: Delivery,
        may_reroute: bool,
        accept_answer: AnswerAcceptor,
    ) -> AttemptOutcome:
        """Make the attempt over one path."""
        target = placement.target
        try:
            connection = await path.connect(call)
        except ConnectFailedError as error:
            why = f"no connection: {error}"
            return AttemptOutcome(AttemptEnd.NOT_RUN, why, was_reached=False)
        if call.left_s() <= 0:
            path.return_unused(connection)
            raise TimeoutError("the caller's deadline has passed")
        if not self._target_states.still_takes_work(target):
            path.return_unused(connection)
            return AttemptOutcome(AttemptEnd.WITHHELD, "the target no longer accepts work")
        if not self._target_states.suspicions.may_send(call):
            path.return_unused(connection)
            return AttemptOutcome(AttemptEnd.HELD, "held fatal")
        is_engine = call.key is not None
        self._loads.record_sent(target.target_id, is_engine)
        wait_number = self.activity.begin_wait(target.target_id, read_clock())
        silence = self._expect_sound(path, target)
        try:
            return await self._exchange(
                path, connection, request, call, placement, delivery, may_reroute, accept_answer
            )
        except AnswerBrokenError as error:
            if connection in self._called_back:
                return AttemptOutcome(AttemptEnd.CALLED_BACK, "held fatal")
            record_too_long(error, call, target, path.via, self._tallies)
            path.record_stalled()
            if connection.is_timed_out and not path.via:
                self.connections.watch(target.target_id, target.address)
                self._target_states.reach.note_failure(target)
            is_lost = _is_connection_lost(connection) or bool(path.via)
            return AttemptOutcome(AttemptEnd.BROKEN, str(error), is_connection_lost=is_lost)
        except ReplacedError:
            path.record_stalled()
            return AttemptOutcome(AttemptEnd.STALLED, "the target was silent")
        finally:
            if silence is not None:
                silence.cancel()
            self._loads.record_ended(target.target_id, is_engine)
            self.activity.end_wait(target.target_id, wait_number)
            connection.settle()
            if connection.is_in_use:
                connection.abort()

    def _expect_sound(self, path: TargetPath, target: TargetRecord) -> asyncio.TimerHandle | None:
        """Check the path to a target that is silent for a while; return the timer."""
        reach = self._target_states.reach
        if path.via or reach.peers is None:
            return None

        def check() -> None:
            if self.activity.silent_s(target.target_id, read_clock(), last_woken_s()) >= SILENCE_S:
                reach.note_silence(target)

        return asyncio.get_running_loop().call_later(SILENCE_S, check)

    async def _exchange(
        self,
        path: TargetPath,
        connection: ClientConnection,
        request: Request,
        call: Call,
        placement: Placement,
        delivery: Delivery,
        may_reroute: bool,
        accept_answer: AnswerAcceptor,
    ) -> AttemptOutcome:
        """Write the request, then read and forward the answer to it."""
        resume_after = delivery.resume_after(call.facts.resume_after)
        target = placement.target
        headers = target_headers(
            request, call, self._names, target.target_id, resume_after, placement.donor
        )
        sent_s = read_clock()
        attempt = WaitingAttempt(path, connection, call, target, delivery, len(request.body))
        if delivery.account is not None:
            connection.account_to(delivery.account)
        sent = Request(request.method, request.target, headers, request.body)
        connection.send(path.address(sent), call.left_s())
        self._unanswered[connection] = call
        try:
            reading = self.read_own_head(connection, call.facts.request_id, bool(path.via))
            head = await (self._waits.read_head(attempt, reading) if may_reroute else reading)
        finally:
            del self._unanswered[connection]
        failure = path.take_failure(head)
        if failure is not None:
            return await self._read_relay_failure(path, connection, head, failure)
        first_s = read_clock() - sent_s
        if not path.via:
            self._target_states.reach.record_heard(target.service, read_clock())
        signals = self.record_head(head, target)
        self.on_answer_started(call, target.target_id, first_s)
        if head.status == MISDIRECTED or header(head.headers, self._names.not_run) is not None:
            outcome = await self._read_refusal(path, connection, head)
            return outcome._replace(asks_for_pause=signals.rest_s > 0)
        self.on_accepted(call)
        is_stream = call.route.kind is RouteKind.STREAMING and 200 <= head.status < 300
        if is_stream:
            accept_answer(first_s)
            outcome = await self._relay_stream(attempt, head, may_reroute)
            return outcome._replace(first_s=first_s, is_unframed=head.is_unframed)
        pieces = await connection.read_pieces(ANSWER_LIMIT_BYTES)
        if not await self._is_end_sure(attempt, head):
            return _UNSURE_END
        if head.status < 500:
            accept_answer(first_s)
        why = f"status {head.status}"
        delivered = AttemptOutcome(
            AttemptEnd.DELIVERED,
            why,
            first_s=first_s,
            is_unframed=head.is_unframed,
            is_answered=200 <= head.status < 300 and request.method != b"HEAD",
        )
        path.release(connection, head.headers)
        if delivery.account is not None and head.status < 500:
            delivery.send_pieces(head, pieces)
            return delivered
        answer = Answer(head.status, head.headers, b"".join(pieces))
        if head.status >= 500:
            return AttemptOutcome(
                AttemptEnd.TARGET_ERROR,
                why,
                answer,
                asks_for_pause=signals.rest_s > 0,
                is_unframed=head.is_unframed,
            )
        delivery.send_whole(answer)
        return delivered

    async def read_own_head(
        self, connection: ClientConnection, request_id: bytes, is_relayed: bool = False
    ) -> AnswerHead:
        """Return the head of the answer to this request, skipping those to other requests.

        Targets state the id of the request in every answer. What has none, on a connection that
        was used before, are surplus bytes of a faulty target, whatever their status is. Another
        router to which a request `is_relayed` states no id in answers of its own.
        """
        for _ in range(SKIPPED_ANSWERS):
            head = await connection.read_head()
            answered_id = header(head.headers, self._names.request_id) or b""
            if answered_id == request_id:
                return head
            if not answered_id and head.status >= 300:
                if is_relayed or (connection.requests == 1 and self._may_lack_id(head)):
                    return head
                if connection.requests == 1:
                    raise AnswerBrokenError(f"status {head.status} without the id of the request")
            await connection.read_body(ANSWER_LIMIT_BYTES)
            logger.warning(
                "answer to another request skipped",
                request=request_id.decode("latin-1"),
                answered=answered_id.decode("latin-1"),
                status=head.status,
            )
            connection.skip_answer()
        raise AnswerBrokenError("only answers to other requests came")

    def _may_lack_id(self, head: AnswerHead) -> bool:
        """Return whether the first answer on a connection is believed without an id.

        A target may refuse before it has read a request, or fail. A statement that the request
        is wrong is believed only from a process that has read it.
        """
        is_refusal = header(head.headers, self._names.not_run) is not None
        return is_refusal or head.status == MISDIRECTED or head.status >= 500

    async def _read_relay_failure(
        self, path: TargetPath, connection: ClientConnection, head: AnswerHead, failure: Failure
    ) -> AttemptOutcome:
        """Read the answer of another router that it did not get one from the target."""
        await connection.read_body(ANSWER_LIMIT_BYTES)
        path.release(connection, head.headers)
        why = f"not sent on by {path.via}: {failure}"
        if not failure.may_have_run:
            return AttemptOutcome(AttemptEnd.NOT_RUN, why, was_reached=False)
        return AttemptOutcome(AttemptEnd.BROKEN, why, is_connection_lost=True)

    async def _read_refusal(
        self, path: TargetPath, connection: ClientConnection, head: AnswerHead
    ) -> AttemptOutcome:
        """Read a target's answer that it did not run the request."""
        await connection.read_body(ANSWER_LIMIT_BYTES)
        path.release(connection, head.headers)
        why = f"refused by the target: status {head.status}"
        return AttemptOutcome(AttemptEnd.NOT_RUN, why, is_displaced=head.status == MISDIRECTED)

    async def _relay_stream(
        self, attempt: WaitingAttempt, head: AnswerHead, may_reroute: bool
    ) -> AttemptOutcome:
        """Forward a stream to the caller as it arrives."""
        path, connection, call, target, delivery, _ = attempt
        doubt = await self._record_origin(call, target) if call.route.is_resumable else ""
        if doubt:
            return AttemptOutcome(AttemptEnd.BROKEN, doubt)
        delivery.begin_stream(head)
        while True:
            reading = self._waits.read_data(attempt) if may_reroute else connection.read_data()
            data = await reading
            if data is None:
                break
            self.activity.record_received(target.target_id, read_clock())
            if not path.via:
                self._target_states.reach.record_heard(target.service, read_clock())
            delivery.write_stream(data)
            connection.keep(delivery.held_bytes)
            if delivery.events:
                call.begin_events(target)
            await delivery.drained()
        gap = delivery.find_gap(call.facts.resume_after)
        if not gap and not await self._is_end_sure(attempt, head):
            return _UNSURE_END
        path.release(connection, head.headers)
        if gap:
            return AttemptOutcome(
                AttemptEnd.BROKEN,
                gap,
                is_connection_lost=head.is_unframed,
                open_bytes=delivery.open_bytes,
            )
        delivery.end_stream()
        return AttemptOutcome(AttemptEnd.DELIVERED, "stream complete", is_answered=True)

    async def _is_end_sure(self, attempt: WaitingAttempt, head: AnswerHead) -> bool:
        """Return whether an answer that has ended was ended by its target.

        Another router that sent the request on has checked that itself.
        """
        if not head.is_unframed or attempt.path.via:
            return True
        request_id = attempt.call.facts.request_id
        has_outlived = await self.answer_ends.has_outlived(attempt.target, request_id)
        return has_outlived and attempt.connection.has_ended_orderly()

    async def _record_origin(self, call: Call, target: TargetRecord) -> str:
        """Record which version begins a stream; return why that isn't certain, if it isn't.

        It is on record before the first event reaches the caller, who may come back at any time.
        """
        if call.began_at is None and call.recorded_version != target.version:
            # In doubt, the next attempt is recorded whatever its version is.
            is_unsure = await self._origins.record(call, target)
            call.recorded_version = None if is_unsure else target.version
            if is_unsure:
                return "another version may be on record for the stream"
        return "" if self._target_states.runs_version(target) else "the target's software changed"
