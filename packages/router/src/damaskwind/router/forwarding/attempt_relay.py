"""Send requests on to targets for routers whose own paths are cut, and say what is reached.

The other router has admitted and placed the request, and accounts for it: here it counts
neither as held nor as sent. What the target states in its answers is recorded here as well,
since it is this router that the target spoke to. A request is never sent on to another router.
"""

import asyncio
import hmac
from collections.abc import Iterator
from contextlib import contextmanager
from math import isfinite

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.exception import MessageError
from damaskwind.model.header_names import HeaderNames
from damaskwind.router.forwarding.attempt import AttemptSender
from damaskwind.router.forwarding.call import identify_parts, read_part_ids
from damaskwind.router.forwarding.events import is_blank
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    AnswerHead,
    ClientConnection,
    ConnectFailedError,
)
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer, Request, header, without
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.peers import (
    AUTHORIZATION,
    STATUS,
    Failure,
    Reach,
    authorization,
    decode_question,
    drop_first,
    encode_message,
    relay_status,
    split_target,
)

__all__ = ["AttemptRelay"]

# What this router sends on at once for others, with two descriptors and up to 100 KB each, and
# the memory of the process that there must be for each.
MAX_IN_FLIGHT = 256
MEMORY_BYTES_EACH = 1024 * 1024
# Their bodies in hand; larger ones than this together are refused.
MAX_BODY_BYTES = 8 * 1024 * 1024
# An answer of up to this size is sent back in one write, which saves system calls and packets.
WHOLE_BYTES = 16_384
# Targets that one question may have probed.
MAX_PROBED = 4
# Without a deadline a request is sent on for this time at most.
NO_DEADLINE_S = 60.0
_STATUS_OF = {
    Failure.REFUSED: 407,
    Failure.NO_TARGET: 503,
    Failure.UNAVAILABLE: 503,
    Failure.BUSY: 503,
    Failure.CONNECTION_FAILED: 503,
    Failure.BROKEN: 502,
    Failure.STALLED: 504,
}


def _is_short(head: AnswerHead) -> bool:
    """Return whether an answer is sent back in one write; the events of a stream never are."""
    length = header(head.headers, b"content-length") or b""
    return not _is_stream(head) and length.isdigit() and int(length) <= WHOLE_BYTES


def _is_stream(head: AnswerHead) -> bool:
    """Return whether an answer is stated to be a stream of events."""
    return (header(head.headers, b"content-type") or b"").lower().startswith(b"text/event-stream")


class AttemptRelay:
    """The requests that one router sends on for others."""

    def __init__(
        self,
        target_states: TargetStates,
        sender: AttemptSender,
        names: HeaderNames,
        node_id: str,
        tallies: Tallies,
        memory_bytes: int | None = None,
    ) -> None:
        self.in_flight = 0
        self._max_in_flight = MAX_IN_FLIGHT
        if memory_bytes is not None:
            self._max_in_flight = min(MAX_IN_FLIGHT, memory_bytes // MEMORY_BYTES_EACH)
        self.is_draining = False
        self._body_bytes = 0
        self._target_states = target_states
        self._reach = target_states.reach
        self._sender = sender
        self._names = names
        self._node_id = node_id.encode("latin-1", "replace")
        self._tallies = tallies
        self._idle = asyncio.Event()

    async def wait_until_idle(self, limit_s: float) -> None:
        """Wait until nothing is sent on any more, for `limit_s` at most."""
        deadline_s = read_clock() + limit_s
        while self.in_flight and read_clock() < deadline_s:
            self._idle.clear()
            await asyncio.wait(
                [asyncio.ensure_future(self._idle.wait())], timeout=deadline_s - read_clock()
            )

    async def answer_question(self, exchange: Exchange) -> None:
        """Tell another router which services this one reaches, and probe targets for it."""
        try:
            question = decode_question(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        if not self._is_authorized(authorization(question.key)):
            exchange.respond(Answer(407, []))
            return
        reach = self._reach
        for service in question.services:
            reach.check_service(service)
        targets = [self._find(target_id) for target_id in question.probed[:MAX_PROBED]]
        probed = [target for target in targets if target is not None]
        answers = await asyncio.gather(*(reach.probe(target) for target in probed))
        services = () if self.is_draining else question.services
        answer = Reach(
            tuple(service for service in services if reach.reaches_service(service)),
            tuple(item for service in services for item in reach.unreachable_digests(service)),
            tuple(
                target.target_id for target, reached in zip(probed, answers, strict=True) if reached
            ),
            self.in_flight,
        )
        exchange.respond(Answer(200, [], encode_message(answer)))

    async def forward(self, exchange: Exchange) -> None:
        """Send one request on to its target, and the answer back as it comes."""
        begun_s, request = read_clock(), exchange.request
        target_id = header(request.headers, self._names.expect_target) or b""
        target = self._find(target_id.decode("latin-1"))
        failure = self._refuse(request, target)
        if failure is None:
            with self._in_hand(len(request.body)):
                failure = await self._send(exchange, target)
        outcome = failure.value if failure else "delivered"
        self._tallies.count("relayed", outcome=outcome)
        if failure is not None and exchange.has_begun:
            exchange.abort()
        elif failure is not None:
            status = b"%s; error=%s" % (self._node_id, failure.value.encode())
            exchange.respond(Answer(_STATUS_OF[failure], [(STATUS, status)]))
        logger.info(
            "request sent on",
            request=(header(request.headers, self._names.request_id) or b"").decode("latin-1"),
            router=exchange.caller,
            target=target.target_id if target else "",
            outcome=outcome,
            in_flight=self.in_flight,
            took_ms=int((read_clock() - begun_s) * 1000),
        )

    def _find(self, target_id: str) -> TargetRecord | None:
        return self._target_states.view.targets.record_of(target_id)

    def _is_authorized(self, proof: bytes) -> bool:
        """Return whether a call proves that it comes from a router of the fleet."""
        key = self._target_states.view.own_peer.key
        return bool(key) and hmac.compare_digest(proof, authorization(key))

    def _refuse(self, request: Request, target: TargetRecord | None) -> Failure | None:
        """Return why a request is not sent on, `None` if it may be."""
        if not self._is_authorized(header(request.headers, AUTHORIZATION) or b""):
            return Failure.REFUSED
        address, _ = split_target(request.target)
        if target is None or str(target.address).encode() != address:
            return Failure.NO_TARGET
        if not self._target_states.still_takes_work(target):
            return Failure.UNAVAILABLE
        if self._target_states.connections.is_unreachable(target.target_id):
            return Failure.CONNECTION_FAILED
        parts = identify_parts(
            target.service,
            header(request.headers, self._names.model) or b"",
            read_part_ids(header(request.headers, self._names.prompt_parts)),
        )
        if self._target_states.suspicions.is_any_held(parts):
            return Failure.UNAVAILABLE
        is_full = self.in_flight >= self._max_in_flight or (
            self._body_bytes + len(request.body) > MAX_BODY_BYTES
        )
        return Failure.BUSY if self.is_draining or is_full else None

    @contextmanager
    def _in_hand(self, body_bytes: int) -> Iterator[None]:
        """Count a request as in hand."""
        self.in_flight += 1
        self._body_bytes += body_bytes
        try:
            yield
        finally:
            self.in_flight -= 1
            self._body_bytes -= body_bytes
            if not self.in_flight:
                self._idle.set()

    async def _send(self, exchange: Exchange, target: TargetRecord) -> Failure | None:
        """Send a request and return the answer; return what went wrong, if anything did."""
        request, states = exchange.request, self._target_states
        left_s = self._left_s(request)
        try:
            connection = await states.connections.acquire(target.target_id, target.address, left_s)
        except ConnectFailedError:
            states.connections.watch(target.target_id, target.address)
            states.reach.note_failure(target)
            return Failure.CONNECTION_FAILED
        if not states.still_takes_work(target):
            states.connections.return_unused(target.target_id, connection)
            return Failure.UNAVAILABLE
        waiting = states.activity.begin_wait(target.target_id, read_clock())
        try:
            async with asyncio.timeout(left_s):
                await self._pass_on(exchange, target, connection)
        except AnswerBrokenError:
            # A target that has exited must not be told to be reached from here.
            if connection.is_timed_out or not await states.connections.probe(
                target.target_id, target.address
            ):
                states.connections.watch(target.target_id, target.address)
                states.reach.note_failure(target)
            return Failure.BROKEN
        except TimeoutError:
            return Failure.STALLED
        finally:
            states.activity.end_wait(target.target_id, waiting)
            connection.settle()
            if connection.is_in_use:
                connection.abort()
        return None

    async def _pass_on(
        self, exchange: Exchange, target: TargetRecord, connection: ClientConnection
    ) -> None:
        """Write the request, and send the answer back piece by piece."""
        request = exchange.request
        _, path = split_target(request.target)
        headers = without(drop_first(request.headers, AUTHORIZATION), frozenset())
        sent = Request(request.method, path, headers, request.body)
        connection.send(sent, self._left_s(request))
        request_id = header(request.headers, self._names.request_id) or b""
        head = await self._sender.read_own_head(connection, request_id)
        self._sender.record_head(head, target)
        status = relay_status(self._node_id, head.is_unframed)
        if _is_short(head):
            body = await connection.read_body(WHOLE_BYTES)
            self._target_states.connections.release(target.target_id, connection, head.headers)
            exchange.pass_on(Answer(head.status, head.headers, body), [status])
            return
        exchange.begin(head.status, [status, *without(head.headers, frozenset())])
        is_empty = True
        while (data := await connection.read_data()) is not None:
            is_empty = is_empty and is_blank(data)
            self._target_states.activity.record_received(target.target_id, read_clock())
            exchange.write(data)
            await exchange.drained()
        if head.is_unframed:
            await self._check_end(exchange.request, head, target, is_empty)
            if not connection.has_ended_orderly():
                raise AnswerBrokenError("a reset followed the end of an answer without a frame")
        self._target_states.connections.release(target.target_id, connection, head.headers)
        exchange.finish()

    async def _check_end(
        self, request: Request, head: AnswerHead, target: TargetRecord, is_empty: bool
    ) -> None:
        """Raise `AnswerBrokenError` if an unframed answer may have been broken off.

        Only this router can tell. The other one, which is told that there was no frame, looks at
        events; one of an earlier version isn't, so that a stream without any is refused here.
        """
        is_resumed = bool(header(request.headers, self._names.resume_after))
        if is_empty and _is_stream(head) and not is_resumed:
            raise AnswerBrokenError("the stream ended without a frame before its first event")
        request_id = header(request.headers, self._names.request_id) or b""
        if not await self._sender.answer_ends.has_outlived(target, request_id):
            raise AnswerBrokenError("the target is gone at the end of an answer without a frame")

    def _left_s(self, request: Request) -> float:
        """Return the seconds until a request's deadline."""
        try:
            left_s = float(header(request.headers, self._names.deadline_ms) or b"") / 1000
        except ValueError:
            return NO_DEADLINE_S
        return min(max(left_s, 0.001), NO_DEADLINE_S) if isfinite(left_s) else NO_DEADLINE_S
