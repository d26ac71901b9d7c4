"""Answer chats: from the caller's body to the last byte of the engine's answer."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from twisted.web.iweb import IResponse

from damaskwind.decisions.placement.messages import PlacementQuery
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import LoadReport, TargetKind, TargetView
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.admitted_request import Arrival
from damaskwind.router.answer_body import read_whole
from damaskwind.router.answers import error_event, set_outcome
from damaskwind.router.chat_request import ChatRequest, parse_chat_request
from damaskwind.router.dispatcher import Dispatcher, Placed
from damaskwind.router.engine_client import EngineChat, EngineClient, load_of
from damaskwind.router.event_stream import EventScanner
from damaskwind.router.stream_relay import RelayEnd, StreamRelay
from damaskwind.router.target_client import AttemptError
from damaskwind.router.telemetry import Telemetry
from damaskwind.router.work import Work

__all__ = ["ChatPath"]

_ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
_MAX_RESUMES = 2


class _Chat(NamedTuple):
    """All that one chat carries through this module."""

    arrival: Arrival
    chat: ChatRequest
    work: Work


class _Usage(msgspec.Struct):
    """The part of an answer that says what it cost."""

    usage: dict[str, Any] | None = None


def _total_tokens(usage: dict[str, Any] | None) -> int | None:
    """Return the tokens that a usage names, if it does."""
    total = (usage or {}).get("total_tokens")
    return total if isinstance(total, int) else None


def _tokens_of(body: bytes) -> int | None:
    """Return the tokens that a whole answer cost, if it says so."""
    try:
        return _total_tokens(msgspec.json.decode(body, type=_Usage).usage)
    except msgspec.DecodeError:
        return None


class ChatPath:
    """Serve `POST /v1/chat/completions`."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        engines: EngineClient,
        failure_domain: str,
        telemetry: Telemetry,
        observe_load: Callable[[str, LoadReport], None],
        reactor: Any,
        stall_timeout_s: float,
    ) -> None:
        self._telemetry = telemetry
        self._observe_load = observe_load
        self._dispatcher = dispatcher
        self._engines = engines
        self._failure_domain = failure_domain
        self._reactor = reactor
        self._stall_timeout_s = stall_timeout_s

    async def serve(self, arrival: Arrival) -> bytes | None:
        """Answer one chat; raise `RefusedError` when nothing was passed on."""
        body = arrival.request.content.read()
        chat = parse_chat_request(body, arrival.account, arrival.configuration)
        one = _Chat(arrival, chat, self._work(arrival, chat))
        placed = await self._dispatcher.run(one.work, lambda target: self._send(one, target))
        if chat.stream:
            await self._stream(one, placed)
            return None
        return await self._whole(one, placed)

    def _work(self, arrival: Arrival, chat: ChatRequest) -> Work:
        """Describe the work that a chat is."""
        query = PlacementQuery(
            chat_digest=chat.digest,
            prefix_digests=chat.prefixes,
            account=arrival.account.name,
            need_tokens=chat.need_tokens,
            is_new=chat.is_new,
            failure_domain=self._failure_domain,
            pool=chat.pool,
        )
        return Work(
            request_id=arrival.request_id,
            kind=TargetKind.ENGINE,
            account=arrival.account,
            priority=arrival.priority,
            query=query,
            idempotent=False,
            total_tokens=chat.total_tokens,
            deadline_s=arrival.deadline_s,
            record=arrival.record,
            caller=arrival.caller,
        )

    async def _send(self, one: _Chat, target: TargetView) -> IResponse:
        """Send a chat to an engine; tell the engine to stop when that goes wrong."""
        chat = EngineChat(
            one.work.request_id,
            one.chat.name,
            one.work.priority.rank,
            one.chat.engine_body,
            one.arrival.idempotency_key,
        )
        sent_s = self._reactor.seconds()
        timeout_s = one.work.deadline_s - sent_s
        if one.chat.stream:
            first_byte_s = one.arrival.configuration.policy.first_byte_timeout_s
            timeout_s = min(timeout_s, first_byte_s)
        try:
            response = await self._engines.chat(target, chat, timeout_s, one.work.caller)
        except AttemptError as error:
            if error.verdict is not Verdict.NOT_RUN:
                self._engines.cancel(target, one.work.request_id)
            raise
        load = load_of(response, self._reactor.seconds() - sent_s)
        if load is not None:
            self._observe_load(target.target_id, load)
        return response

    async def _whole(self, one: _Chat, placed: Placed) -> bytes:
        """Return a whole answer or refuse; half of one is never passed on."""
        timeout_s = one.work.deadline_s - self._reactor.seconds()
        try:
            body = await read_whole(
                placed.response, _ANSWER_LIMIT_BYTES, timeout_s, self._reactor, one.work.caller
            )
        except AttemptError as error:
            self._dispatcher.finish(one.work, placed, error.verdict, error.reason, error.detail)
            self._engines.cancel(placed.target, one.work.request_id)
            raise RefusedError(Refusal(error.reason, error.verdict, error.detail)) from error
        used_tokens = _tokens_of(body)
        self._dispatcher.finish(one.work, placed, Verdict.RAN, used_tokens=used_tokens)
        request = one.arrival.request
        set_outcome(request, one.work.request_id, Verdict.RAN)
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", str(len(body)).encode())
        one.work.record.end(Verdict.RAN, None, "", self._reactor.seconds())
        return body

    async def _stream(self, one: _Chat, placed: Placed) -> None:
        """Relay a stream to its end marker, resuming it when it is cut."""
        arrival = one.arrival
        set_outcome(arrival.request, one.work.request_id, Verdict.MAY_HAVE_RUN)
        arrival.request.setHeader(b"content-type", b"text/event-stream; charset=utf-8")
        arrival.request.setHeader(b"cache-control", b"no-cache")
        scanner = EventScanner(one.chat.wants_usage)
        relay = StreamRelay(
            arrival.request, arrival.caller, scanner, self._reactor, self._stall_timeout_s
        )
        end = await relay.relay(placed.response)
        for _ in range(_MAX_RESUMES):
            if end in (RelayEnd.COMPLETE, RelayEnd.CALLER_GONE):
                break
            end = await self._resume(one, placed, relay, scanner.delivered_tokens, end)
        relay.close()
        self._telemetry.tokens += scanner.delivered_tokens
        await self._end_stream(one, placed, end, _total_tokens(scanner.usage))

    async def _resume(
        self, one: _Chat, placed: Placed, relay: StreamRelay, from_token: int, end: RelayEnd
    ) -> RelayEnd:
        """Ask the engine for the rest of an answer and relay it."""
        now_s = self._reactor.seconds()
        one.work.record.noted(f"stream {end}; resume from token {from_token}", now_s)
        timeout_s = min(self._stall_timeout_s, one.work.deadline_s - now_s)
        try:
            response = await self._engines.resume(
                placed.target, one.work.request_id, from_token, timeout_s, one.work.caller
            )
        except AttemptError:
            return RelayEnd.CALLER_GONE if one.work.caller.gone else end
        self._telemetry.streams_resumed += 1
        return await relay.relay(response)

    async def _end_stream(
        self, one: _Chat, placed: Placed, end: RelayEnd, used_tokens: int | None
    ) -> None:
        """End a stream honestly: in order, or with an error and a closed connection."""
        if end is RelayEnd.COMPLETE:
            self._dispatcher.finish(one.work, placed, Verdict.RAN, used_tokens=used_tokens)
            one.work.record.end(Verdict.RAN, None, "", self._reactor.seconds())
            return
        detail = f"the stream ended before its end marker: {end}"
        refusal = Refusal(Reason.ANSWER_CUT, Verdict.MAY_HAVE_RUN, detail)
        self._dispatcher.finish(one.work, placed, refusal.verdict, refusal.reason, detail)
        one.work.record.end(refusal.verdict, refusal.reason, detail, self._reactor.seconds())
        self._engines.cancel(placed.target, one.work.request_id)
        if not one.work.caller.gone:
            one.arrival.request.write(error_event(refusal, one.work.request_id))
            one.arrival.request.loseConnection()
            await one.work.caller.lost()
