"""Send chats, resumes and cancels to model engines."""

from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from damaskwind.model.prefix import ModelName
from damaskwind.model.reason import Reason
from damaskwind.model.targets import LoadReport, TargetView
from damaskwind.model.verdict import Verdict
from damaskwind.router.answer_body import discard, read_whole
from damaskwind.router.caller import Caller
from damaskwind.router.target_client import (
    AttemptError,
    BytesProducer,
    TargetCall,
    TargetClient,
    build_path,
)
from damaskwind.router.target_signals import parse_response_signals

__all__ = ["EngineChat", "EngineClient", "check_not_run", "header_text", "parse_load"]

_CHAT_PATH = b"/v1/chat/completions"
_CANCEL_TIMEOUT_S = 5.0
_REFUSAL_LIMIT_BYTES = 65_536
_REFUSAL_TIMEOUT_S = 2.0
_REFUSAL_SHOWN_BYTES = 200
_CALLER_ERROR_STATUSES = (400, 413, 422)


class EngineChat(NamedTuple):
    """A chat as it is sent to an engine."""

    request_id: str
    name: ModelName
    priority_rank: int
    body: bytes
    idempotency_key: str = ""


def header_text(response: IResponse, name: str) -> str:
    """Return one header of a response, or an empty text if it is missing."""
    values = response.headers.getRawHeaders(name.encode())
    return values[0].decode("latin-1") if values else ""


def parse_load(response: IResponse, age_s: float) -> LoadReport | None:
    """Return the load report in an answer's headers, or `None`.

    An engine may write its headers long before it sends them with the first token.
    `age_s`, the time since the request was sent, is the upper bound of their age.
    """
    load = header_text(response, "x-load-tokens")
    capacity = header_text(response, "x-capacity-tokens")
    if not load.isdigit() or not capacity.isdigit():
        return None
    return LoadReport(int(load), int(capacity), 0, 0, age_s)


async def check_not_run(response: IResponse, clock: Any) -> None:
    """Raise `AttemptError` if a target reports that it did not run the request."""
    if response.code >= 400 and header_text(response, "x-verdict") == Verdict.NOT_RUN:
        await check_refusal(response, clock)


class _RefusalText(NamedTuple):
    """The start of an error's body, or why the body could not be read."""

    text: str
    is_whole: bool


async def _read_refusal(response: IResponse, clock: Any) -> _RefusalText:
    """Read an error's body; without a length and chunks it is whole at its orderly end."""
    try:
        body = await read_whole(
            response,
            _REFUSAL_LIMIT_BYTES,
            _REFUSAL_TIMEOUT_S,
            clock,
            shows_end=lambda body: True,
        )
    except AttemptError as error:
        return _RefusalText(error.detail, False)
    return _RefusalText(body[:_REFUSAL_SHOWN_BYTES].decode("utf-8", "replace"), True)


async def check_refusal(response: IResponse, clock: Any) -> None:
    """Raise `AttemptError` if a target answered with an error status.

    That it did not run the request is believed only of a whole answer.
    """
    if response.code < 400:
        return
    refusal = await _read_refusal(response, clock)
    states_not_run = header_text(response, "x-verdict") == Verdict.NOT_RUN
    reported_not_run = states_not_run and refusal.is_whole
    verdict = Verdict.NOT_RUN if reported_not_run else Verdict.MAY_HAVE_RUN
    detail = f"the target answered {response.code}: {refusal.text}"
    is_caller_error = response.code in _CALLER_ERROR_STATUSES
    reason = Reason.BAD_REQUEST if is_caller_error else Reason.TARGET_FAILED
    suspect = not reported_not_run and not is_caller_error
    raise AttemptError(
        verdict,
        reason,
        detail,
        suspect=suspect,
        final=is_caller_error,
        signals=parse_response_signals(response),
    )


class EngineClient:
    """Send requests to engines and check that each answer belongs to its request."""

    def __init__(self, client: TargetClient) -> None:
        self._client = client

    async def chat(
        self, target: TargetView, chat: EngineChat, timeout_s: float, caller: Caller
    ) -> IResponse:
        """Return an engine's response once its headers arrived, or raise `AttemptError`."""
        headers = Headers(
            {
                b"content-type": [b"application/json"],
                b"x-request-id": [chat.request_id.encode()],
                b"x-priority": [str(chat.priority_rank).encode()],
                b"x-model-version": [chat.name.version.encode()],
                b"x-adapter": [chat.name.adapter.encode()],
            }
        )
        if chat.idempotency_key:
            headers.setRawHeaders(b"idempotency-key", [chat.idempotency_key.encode()])
        body = BytesProducer(chat.body)
        call = TargetCall(b"POST", target.address, _CHAT_PATH, headers, body)
        return await self._send_checked(call, chat.request_id, timeout_s, caller)

    async def resume(
        self,
        target: TargetView,
        request_id: str,
        from_token: int,
        timeout_s: float,
        caller: Caller,
    ) -> IResponse:
        """Return the rest of a cut answer; raise `AttemptError` if it can't be resumed."""
        path = build_path("v1", "requests", request_id, "resume")
        path += b"?from_token=%d" % from_token
        headers = Headers({b"x-request-id": [request_id.encode()]})
        call = TargetCall(b"POST", target.address, path, headers, BytesProducer(b""))
        return await self._send_checked(call, request_id, timeout_s, caller)

    def cancel(self, target: TargetView, request_id: str) -> Deferred:
        """Ask an engine to stop generating an answer that is no longer needed."""
        return ensureDeferred(self._cancel(target, request_id))

    async def _cancel(self, target: TargetView, request_id: str) -> None:
        """Send the cancel and ignore failures: an unreachable engine needs no cancel."""
        path = build_path("v1", "requests", request_id)
        call = TargetCall(b"DELETE", target.address, path, Headers())
        try:
            response = await self._client.send(call, _CANCEL_TIMEOUT_S)
            await read_whole(response, _REFUSAL_LIMIT_BYTES, _REFUSAL_TIMEOUT_S, self._client.clock)
        except AttemptError:
            pass

    async def _send_checked(
        self, call: TargetCall, request_id: str, timeout_s: float, caller: Caller
    ) -> IResponse:
        """Send a call and check that the answer carries its request id and no error."""
        response: Any = await self._client.send(call, timeout_s, caller)
        answered_id = header_text(response, "x-request-id")
        if answered_id != request_id and (answered_id or response.code < 400):
            discard(response)
            detail = "the target answered with another request's id"
            raise AttemptError(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)
        await check_refusal(response, self._client.clock)
        return response
