"""Send a request to one target once and classify the outcome."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple
from weakref import WeakSet

from loguru import logger

from damaskwind.decisions.load.held_requests import TargetLoad, parse_target_load
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.placement.affinity import Choice
from damaskwind.decisions.target_signals.answer_signals import (
    NO_SIGNALS,
    AnswerSignals,
    parse_brittleness,
    parse_signals,
)
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.answer_ends import AnswerEnds
from damaskwind.router.forwarding.call import Call, target_headers
from damaskwind.router.forwarding.connections import SETTLE_S
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.long_answers import record_too_long
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
# A repeatable request is rerouted after this many latency objectives if its target
# has been silent on all connections.
UNRESPONSIVE_OBJECTIVES = 1.5
UNRESPONSIVE_MIN_S = 0.8
UNRESPONSIVE_POLL_S = 0.1
# A request is also rerouted after this many objectives if only this request is kept waiting.
STALL_OBJECTIVES = 4.0
STALL_MIN_S = 1.2
# The same between two events of a stream, in multiples of the route's gap objective, the
# pause that users accept.
STALL_GAPS = 4.0
STALL_GAP_MIN_S = 0.8
# A request that has waited for its target for this long when the path is found to be cut was
# most likely lost on it.
CUT_SILENCE_S = 0.05


# 421 Misdirected Request: another target answers at the address.
MISDIRECTED = 421


# Called with the seconds from the send to the head of the answer.
AnswerAcceptor = Callable[[float], None]


class AttemptEnd(StrEnum):
    """How one attempt ended."""

    DELIVERED = "delivered"
    SUPERSEDED = "superseded"
    WITHHELD = "withheld"
    HELD = "held"
    NOT_RUN = "not-run"
    TARGET_ERROR = "target-error"
    BROKEN = "broken"
    STALLED = "stalled"
    CALLED_BACK = "called-back"


class Placement(NamedTuple):
    """The target chosen for a request, the choice, and the engine to copy prompt parts from.

    A choice that `is_confined` was made among the targets of one software version of several.
    """

    target: TargetRecord
    choice: Choice
    donor: Address | None
    is_confined: bool = False


class AttemptOutcome(NamedTuple):
    """How an attempt ended, why, and the complete answer if the target answered with a failure.

    `was_reached` tells whether a connection to the target was established, `first_s` is the
    time from the send to the head of the answer, in seconds. `is_displaced` means that another
    target answered at the address, `is_connection_lost` that the target closed the connection
    before the answer was complete, `asks_for_pause` that it asked for a pause (Retry-After).
    A request that was withheld was not sent, one that is held must not be. An attempt that was
    superseded was canceled, since that at another target went on; one that was called back was
    given up, since the request became known as fatal. `via` is the host of the router
    that sent the request on, if it was another one. An answer that `is_unframed` ended with its
    connection; `open_bytes` is what came of an event whose end did not. The target wrote a whole
    answer to an attempt that `is_answered`, and did not only refuse or fail.
    """

    end: AttemptEnd
    why: str = ""
    answer: Answer | None = None
    was_reached: bool = True
    first_s: float | None = None
    is_displaced: bool = False
    is_connection_lost: bool = False
    asks_for_pause: bool = False
    via: str = ""
    is_unframed: bool = False
    open_bytes: int = 0
    is_answered: bool = False


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


def _has_attempts_left(call: Call) -> bool:
    """Tell whether a target may be given up on for another one.

    A second send that began after this attempt may have used the last one.
    """
    return call.sends < call.route.max_attempts


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
    ) -> None:
        self.connections = target_states.connections
        self.activity = target_states.activity
        self.answer_ends = AnswerEnds(target_states, tallies)
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

        `accept_answer` is called when an answer begins that is neither a refusal nor an error,
        before any of it is forwarded.
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
        except TimeoutError:
            self._log_given_up(path, connection, call, target, delivery)
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

    def _log_given_up(
        self,
        path: TargetPath,
        connection: ClientConnection,
        call: Call,
        target: TargetRecord,
        delivery: Delivery,
    ) -> None:
        """Log an attempt that is given up for silence, with what is known of its target."""
        now_s, target_id = read_clock(), target.target_id
        silent_s = self.activity.silent_s(target_id, now_s, last_woken_s())
        heard_s = connection.last_received_s
        known = self._target_states.view.targets.record_of(target_id)
        heartbeat_s = self._target_states.view.targets.last_seen_s(target_id) if known else None
        logger.info(
            "attempt given up",
            request=call.facts.request_id.decode("latin-1"),
            target=target_id,
            via=path.via,
            heard_ms=None if heard_s is None else int((now_s - heard_s) * 1000),
            target_silent_ms=int(silent_s * 1000),
            heartbeat_age_ms=None if heartbeat_s is None else int((now_s - heartbeat_s) * 1000),
            waiting=self.activity.waiting(target_id),
            events=delivery.events,
            sends=call.sends,
            left_ms=int(call.left_s() * 1000),
        )

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
        if delivery.account is not None:
            connection.account_to(delivery.account)
        sent = Request(request.method, request.target, headers, request.body)
        connection.send(path.address(sent))
        self._unanswered[connection] = call
        try:
            head = await self._read_head_in_time(path, connection, call, target, may_reroute)
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
        if head.status < 500:
            accept_answer(first_s)
        is_stream = call.route.kind is RouteKind.STREAMING and 200 <= head.status < 300
        if is_stream:
            outcome = await self._relay_stream(
                path, connection, head, call, target, delivery, may_reroute
            )
            return outcome._replace(first_s=first_s, is_unframed=head.is_unframed)
        pieces = await connection.read_pieces(ANSWER_LIMIT_BYTES)
        if not await self._is_end_sure(path, head, target):
            return _UNSURE_END
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

    async def _read_head_in_time(
        self,
        path: TargetPath,
        connection: ClientConnection,
        call: Call,
        target: TargetRecord,
        may_reroute: bool,
    ) -> AnswerHead:
        """Wait for the head; with `may_reroute` raise `TimeoutError` if the target has stalled.

        It has also stalled if the path to its service is found to be cut while it is silent.
        """
        request_id, target_id = call.facts.request_id, target.target_id
        if not may_reroute:
            return await self.read_own_head(connection, request_id)
        objective_s = call.route.objective_s
        stall_s = max(STALL_OBJECTIVES * objective_s, STALL_MIN_S)
        unresponsive_s = max(UNRESPONSIVE_OBJECTIVES * objective_s, UNRESPONSIVE_MIN_S)
        reading = asyncio.ensure_future(self.read_own_head(connection, request_id))
        cut = None if path.via else self._target_states.reach.cut_of(target.service)
        events = [reading] if cut is None else [reading, cut]
        begun_s = read_clock()
        limit_s = unresponsive_s
        try:
            while True:
                await asyncio.wait(events, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
                if reading.done():
                    return reading.result()
                now_s = read_clock()
                woken_s = last_woken_s()
                silent_s = self.activity.silent_s(target_id, now_s, woken_s)
                is_cut = cut is not None and cut.done() and silent_s > CUT_SILENCE_S
                has_stalled = (
                    is_cut
                    or silent_s > UNRESPONSIVE_MIN_S
                    or now_s - max(begun_s, woken_s) > stall_s
                )
                if has_stalled and _has_attempts_left(call):
                    raise TimeoutError
                events, limit_s = [reading], UNRESPONSIVE_POLL_S
        finally:
            reading.cancel()

    async def read_own_head(self, connection: ClientConnection, request_id: bytes) -> AnswerHead:
        """Return the head of the answer to this request, skipping late ones to earlier requests."""
        for _ in range(SKIPPED_ANSWERS):
            head = await connection.read_head()
            answered_id = header(head.headers, self._names.request_id)
            if answered_id == request_id:
                return head
            if answered_id is None and head.status >= 300:
                return head
            await connection.read_body(ANSWER_LIMIT_BYTES)
            logger.warning(
                "answer to another request skipped",
                request=request_id.decode("latin-1"),
                answered=(answered_id or b"").decode("latin-1"),
            )
            connection.skip_answer()
        raise AnswerBrokenError("only answers to other requests came")

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
        self,
        path: TargetPath,
        connection: ClientConnection,
        head: AnswerHead,
        call: Call,
        target: TargetRecord,
        delivery: Delivery,
        may_reroute: bool,
    ) -> AttemptOutcome:
        """Forward a stream to the caller as it arrives."""
        doubt = await self._record_origin(call, target) if call.route.is_resumable else ""
        if doubt:
            return AttemptOutcome(AttemptEnd.BROKEN, doubt)
        delivery.begin_stream(head)
        gap_s = max(STALL_GAPS * call.route.gap_objective_s, STALL_GAP_MIN_S)
        while True:
            may_resume = may_reroute and _has_attempts_left(call)
            data = await self._read_data_in_time(connection, gap_s if may_resume else None)
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
        if not gap and not await self._is_end_sure(path, head, target):
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

    async def _is_end_sure(self, path: TargetPath, head: AnswerHead, target: TargetRecord) -> bool:
        """Return whether an answer that has ended was ended by its target.

        Another router that sent the request on has checked that itself.
        """
        if not head.is_unframed or path.via:
            return True
        return await self.answer_ends.has_outlived(target)

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

    async def _read_data_in_time(
        self, connection: ClientConnection, gap_s: float | None
    ) -> bytes | None:
        """Return the next chunk; raise `TimeoutError` if none arrives in time.

        After this process was suspended, data that arrived in that time is read before the target
        is given up on.
        """
        while True:
            begun_s = read_clock()
            try:
                async with asyncio.timeout(gap_s):
                    return await connection.read_data()
            except TimeoutError:
                if last_woken_s() < begun_s:
                    raise

    def record_head(self, head: AnswerHead, target: TargetRecord) -> AnswerSignals:
        """Record what a target states in the head of an answer; return what it asks for."""
        self.activity.record_received(target.target_id, read_clock())
        load = self._read_load(head)
        self._target_states.record_speed(target, load)
        return self._read_signals(head, target, load)

    def _read_load(self, head: AnswerHead) -> TargetLoad | None:
        """Return the load that a target reports; a misdirected answer is another target's."""
        if head.status == MISDIRECTED:
            return None
        return parse_target_load(header(head.headers, self._names.target_load))

    def _read_signals(
        self, head: AnswerHead, target: TargetRecord, load: TargetLoad | None
    ) -> AnswerSignals:
        """Record the load and the signals in the head of an answer; return the signals.

        A misdirected answer (421) comes from another target, so its headers are ignored.
        """
        if head.status == MISDIRECTED:
            return NO_SIGNALS
        headers = head.headers
        if load is not None:
            self._target_states.reports_work_time |= load.work_time_percent is not None
            self._loads.observe_report(target.target_id, load, read_clock())
        signals = parse_signals(
            head.status,
            header(headers, b"retry-after"),
            header(headers, self._names.leaving),
            header(headers, b"date"),
        )
        self._target_states.record_signals(target, signals)
        brittleness = parse_brittleness(header(headers, self._names.brittle))
        self._target_states.brittle.observe(target, brittleness)
        return signals
