"""Serve chats, from parsing the caller's body to relaying the engine's whole answer."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from twisted.web.iweb import IResponse

from damaskwind.decisions.placement.messages import PlacementQuery
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import LoadReport, TargetKind, TargetView
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.admitted_request import AdmittedRequest
from damaskwind.router.answer_body import read_whole
from damaskwind.router.answers import error_event, set_outcome
from damaskwind.router.chat_request import ChatRequest, parse_chat_request
from damaskwind.router.dispatcher import Dispatcher, TargetAnswer
from damaskwind.router.engine_client import EngineChat, EngineClient, parse_load
from damaskwind.router.event_stream import EventScanner
from damaskwind.router.stream_relay import RelayEnd, StreamRelay
from damaskwind.router.target_client import AttemptError
from damaskwind.router.telemetry import Telemetry
from damaskwind.router.work import WorkItem

__all__ = ["ChatPath"]

_ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
_MAX_RESUMES = 2


class _ChatContext(NamedTuple):
    """The state of one chat while it is served."""

    admitted: AdmittedRequest
    chat: ChatRequest
    work: WorkItem


class _Usage(msgspec.Struct):
    """The part of an answer that reports the token usage."""

    usage: dict[str, Any] | None = None


def _total_tokens(usage: dict[str, Any] | None) -> int | None:
    """Return the total tokens of a usage object, or `None`."""
    total = (usage or {}).get("total_tokens")
    return total if isinstance(total, int) else None


def _parse_total_tokens(body: bytes) -> int | None:
    """Return the total tokens that a complete answer reports, or `None`."""
    try:
        return _total_tokens(msgspec.json.decode(body, type=_Usage).usage)
    except msgspec.DecodeError:
        return None


def _is_whole_object(body: bytes) -> bool:
    """Return whether a body is a JSON object, which no part of it without its end can be.

    >>> _is_whole_object(b'{"a": 1}'), _is_whole_object(b'{"a": 1'), _is_whole_object(b"12")
    (True, False, False)
    """
    try:
        return isinstance(msgspec.json.decode(body), dict)
    except msgspec.DecodeError:
        return False


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

    async def serve(self, admitted: AdmittedRequest) -> bytes | None:
        """Serve one chat; raise `RefusedError` if nothing was sent to the caller."""
        body = admitted.request.content.read()
        chat = parse_chat_request(body, admitted.account, admitted.configuration)
        context = _ChatContext(admitted, chat, self._make_work_item(admitted, chat))
        answer = await self._dispatcher.run(
            context.work, lambda target: self._send(context, target)
        )
        if chat.stream:
            await self._send_stream(context, answer)
            return None
        return await self._send_whole(context, answer)

    def _make_work_item(self, admitted: AdmittedRequest, chat: ChatRequest) -> WorkItem:
        """Return the `WorkItem` of a chat."""
        query = PlacementQuery(
            chat_digest=chat.digest,
            prefix_digests=chat.prefixes,
            account=admitted.account.name,
            need_tokens=chat.need_tokens,
            is_new=chat.is_new,
            failure_domain=self._failure_domain,
            pool=chat.pool,
        )
        return WorkItem(
            request_id=admitted.request_id,
            kind=TargetKind.ENGINE,
            account=admitted.account,
            priority=admitted.priority,
            query=query,
            idempotent=False,
            total_tokens=chat.total_tokens,
            deadline_s=admitted.deadline_s,
            record=admitted.record,
            caller=admitted.caller,
        )

    async def _send(self, context: _ChatContext, target: TargetView) -> IResponse:
        """Send a chat to an engine; cancel it there if the attempt fails after it may have run."""
        chat = EngineChat(
            context.work.request_id,
            context.chat.name,
            context.work.priority.rank,
            context.chat.engine_body,
            context.admitted.idempotency_key,
        )
        sent_s = self._reactor.seconds()
        timeout_s = context.work.deadline_s - sent_s
        if context.chat.stream:
            first_byte_s = context.admitted.configuration.policy.first_byte_timeout_s
            timeout_s = min(timeout_s, first_byte_s)
        try:
            response = await self._engines.chat(target, chat, timeout_s, context.work.caller)
        except AttemptError as error:
            if error.verdict is not Verdict.NOT_RUN:
                self._engines.cancel(target, context.work.request_id)
            raise
        load = parse_load(response, self._reactor.seconds() - sent_s)
        if load is not None:
            self._observe_load(target.target_id, load)
        return response

    async def _send_whole(self, context: _ChatContext, answer: TargetAnswer) -> bytes:
        """Return a complete answer, or refuse; a partial answer is never forwarded."""
        timeout_s = context.work.deadline_s - self._reactor.seconds()
        try:
            body = await read_whole(
                answer.response,
                _ANSWER_LIMIT_BYTES,
                timeout_s,
                self._reactor,
                context.work.caller,
                _is_whole_object,
            )
        except AttemptError as error:
            self._dispatcher.finish(context.work, answer, error.verdict, error.reason, error.detail)
            self._engines.cancel(answer.target, context.work.request_id)
            raise RefusedError(Refusal(error.reason, error.verdict, error.detail)) from error
        used_tokens = _parse_total_tokens(body)
        self._dispatcher.finish(context.work, answer, Verdict.RAN, used_tokens=used_tokens)
        request = context.admitted.request
        set_outcome(request, context.work.request_id, Verdict.RAN)
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", str(len(body)).encode())
        context.work.record.end(Verdict.RAN, None, "", self._reactor.seconds())
        return body

    async def _send_stream(self, context: _ChatContext, answer: TargetAnswer) -> None:
        """Relay a stream up to its end marker, resuming it when it is cut."""
        admitted = context.admitted
        set_outcome(admitted.request, context.work.request_id, Verdict.MAY_HAVE_RUN)
        admitted.request.setHeader(b"content-type", b"text/event-stream; charset=utf-8")
        admitted.request.setHeader(b"cache-control", b"no-cache")
        scanner = EventScanner(context.chat.wants_usage)
        relay = StreamRelay(
            admitted.request, admitted.caller, scanner, self._reactor, self._stall_timeout_s
        )
        end = await relay.relay(answer.response)
        for _ in range(_MAX_RESUMES):
            if end in (RelayEnd.COMPLETE, RelayEnd.CALLER_GONE):
                break
            end = await self._resume(context, answer, relay, scanner.delivered_tokens, end)
        relay.close()
        self._telemetry.tokens += scanner.delivered_tokens
        await self._end_stream(context, answer, end, _total_tokens(scanner.usage))

    async def _resume(
        self,
        context: _ChatContext,
        answer: TargetAnswer,
        relay: StreamRelay,
        from_token: int,
        end: RelayEnd,
    ) -> RelayEnd:
        """Request the rest of an answer from the engine and relay it."""
        now_s = self._reactor.seconds()
        context.work.record.add_event(f"stream {end}; resume from token {from_token}", now_s)
        timeout_s = min(self._stall_timeout_s, context.work.deadline_s - now_s)
        try:
            response = await self._engines.resume(
                answer.target, context.work.request_id, from_token, timeout_s, context.work.caller
            )
        except AttemptError:
            return RelayEnd.CALLER_GONE if context.work.caller.gone else end
        self._telemetry.streams_resumed += 1
        return await relay.relay(response)

    async def _end_stream(
        self, context: _ChatContext, answer: TargetAnswer, end: RelayEnd, used_tokens: int | None
    ) -> None:
        """End a stream normally, or with an error event and a closed connection."""
        if end is RelayEnd.COMPLETE:
            self._dispatcher.finish(context.work, answer, Verdict.RAN, used_tokens=used_tokens)
            context.work.record.end(Verdict.RAN, None, "", self._reactor.seconds())
            return
        detail = f"the stream ended before its end marker: {end}"
        refusal = Refusal(Reason.ANSWER_CUT, Verdict.MAY_HAVE_RUN, detail)
        self._dispatcher.finish(context.work, answer, refusal.verdict, refusal.reason, detail)
        context.work.record.end(refusal.verdict, refusal.reason, detail, self._reactor.seconds())
        self._engines.cancel(answer.target, context.work.request_id)
        if not context.work.caller.gone:
            context.admitted.request.write(error_event(refusal, context.work.request_id))
            context.admitted.request.loseConnection()
            await context.work.caller.wait_until_gone()
