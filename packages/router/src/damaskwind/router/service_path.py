"""Forward calls to plain services, streaming the bodies in both directions."""

from posixpath import normpath
from typing import Any, NamedTuple
from urllib.parse import unquote

from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IResponse

from damaskwind.decisions.placement.messages import PlacementQuery, PoolName
from damaskwind.model.configuration import Service, ServiceRoute
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import TargetKind, TargetView
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.admitted_request import AdmittedRequest
from damaskwind.router.answer_body import discard, read_whole
from damaskwind.router.answers import set_outcome
from damaskwind.router.caller_request import BUFFERED_BYTES, SERVICES_PREFIX
from damaskwind.router.dispatcher import Dispatcher, TargetAnswer
from damaskwind.router.engine_client import check_not_run, header_text
from damaskwind.router.event_stream import PassThrough
from damaskwind.router.stream_relay import RelayEnd, StreamRelay
from damaskwind.router.target_client import AttemptError, BytesProducer, TargetCall, TargetClient
from damaskwind.router.work import WorkItem

__all__ = ["ServicePath"]

_DEFAULT_ROUTE = ServiceRoute("/", (), idempotent=False)
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"te")
) | frozenset((b"trailer", b"transfer-encoding", b"upgrade", b"content-length"))
_ROUTER_HEADERS = frozenset(
    (b"authorization", b"host", b"expect", b"x-timeout-s", b"x-request-id", b"x-verdict")
) | frozenset((b"x-client-account", b"idempotency-key"))
_NO_BODY_STATUSES = (204, 304)


class ServiceCall(NamedTuple):
    """A parsed call to a plain service."""

    service: Service
    path: bytes
    route: ServiceRoute


def _unknown_service(name: str) -> RefusedError:
    """Return the error for a service that is unknown or not allowed; both look the same."""
    detail = f"the service '{name}' does not exist or you do not have access to it"
    return RefusedError(Refusal(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail))


def find_route(service: Service, method: str, path: str) -> ServiceRoute:
    """Return the route of a call with the longest matching path prefix.

    A path that a target might interpret differently (`..`, doubled slashes) matches
    no route, so that the call is never treated as idempotent.
    """
    decoded = unquote(path)
    if normpath(decoded).rstrip("/") != decoded.rstrip("/"):
        return _DEFAULT_ROUTE
    matching = [
        route
        for route in service.routes
        if decoded.startswith(route.path_prefix) and method in route.methods
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=_DEFAULT_ROUTE)


def parse_call(admitted: AdmittedRequest) -> ServiceCall:
    """Return the service and route that a request names; raise `RefusedError` if unknown."""
    request = admitted.request
    remainder = request.uri[len(SERVICES_PREFIX) :]
    end = min(
        index
        for index in (remainder.find(b"/"), remainder.find(b"?"), len(remainder))
        if index >= 0
    )
    name = unquote(remainder[:end].decode("latin-1"))
    path = remainder[end:] if remainder[end : end + 1] == b"/" else b"/" + remainder[end:]
    service = admitted.configuration.services.get(name)
    allowed = service is not None and name in admitted.account.services
    if not allowed or service.kind != TargetKind.SERVICE:
        raise _unknown_service(name)
    route = find_route(
        service, request.method.decode("latin-1"), path.partition(b"?")[0].decode("latin-1")
    )
    return ServiceCall(service, path, route)


def _hop_headers(headers: Headers) -> set[bytes]:
    """Return the hop-by-hop headers that `Connection` names."""
    named = headers.getRawHeaders(b"connection") or []
    return {token.strip().lower() for value in named for token in value.split(b",")}


def _forwarded_headers(headers: Headers, excluded: frozenset[bytes]) -> Headers:
    """Return a copy of the end-to-end headers, without those in `excluded`."""
    dropped = _HOP_BY_HOP | excluded | _hop_headers(headers)
    passed = Headers()
    for name, values in headers.getAllRawHeaders():
        if name.lower() not in dropped:
            passed.setRawHeaders(name, values)
    return passed


def _break_off(admitted: AdmittedRequest) -> None:
    """End a caller's connection so that what it got of an answer doesn't look whole.

    Chunks without a last one show it. HTTP/1.0 has none: there an orderly end completes an answer.
    """
    if admitted.request.clientproto == b"HTTP/1.0":
        admitted.caller.abort()
    else:
        admitted.request.loseConnection()


class _CallContext(NamedTuple):
    """The state of one call while it is served."""

    admitted: AdmittedRequest
    call: ServiceCall
    work: WorkItem
    body: Any


class ServicePath:
    """Serve `/services/{service}/{path}`."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        client: TargetClient,
        failure_domain: str,
        reactor: Any,
        stall_timeout_s: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._client = client
        self._failure_domain = failure_domain
        self._reactor = reactor
        self._stall_timeout_s = stall_timeout_s

    async def serve(self, admitted: AdmittedRequest) -> bytes | None:
        """Serve one call; raise `RefusedError` if nothing was sent to the caller."""
        call = parse_call(admitted)
        body = admitted.request.upload or BytesProducer(admitted.request.content.read())
        context = _CallContext(admitted, call, self._make_work_item(admitted, call), body)
        answer = await self._dispatcher.run(
            context.work, lambda target: self._send(context, target)
        )
        if self._is_small(admitted, answer.response):
            return await self._send_whole(context, answer)
        await self._send_stream(context, answer)
        return None

    def _make_work_item(self, admitted: AdmittedRequest, call: ServiceCall) -> WorkItem:
        """Return the `WorkItem` of a call."""
        query = PlacementQuery(
            chat_digest=admitted.request_id,
            prefix_digests=(),
            account=admitted.account.name,
            need_tokens=1.0,
            failure_domain=self._failure_domain,
            pool=PoolName(call.service.name),
        )
        deadline_s = min(admitted.deadline_s, self._reactor.seconds() + call.route.timeout_s)
        return WorkItem(
            request_id=admitted.request_id,
            kind=TargetKind.SERVICE,
            account=admitted.account,
            priority=admitted.priority,
            query=query,
            idempotent=call.route.idempotent and admitted.request.upload is None,
            total_tokens=0.0,
            deadline_s=deadline_s,
            record=admitted.record,
            caller=admitted.caller,
        )

    async def _send(self, context: _CallContext, target: TargetView) -> IResponse:
        """Send a call to one target; once its body was started, no other target can get it."""
        try:
            return await self._send_once(context, target)
        except AttemptError as error:
            error.final = error.final or getattr(context.body, "begun", False)
            raise

    async def _send_once(self, context: _CallContext, target: TargetView) -> IResponse:
        """Send a call and check that the answer carries its request id."""
        request, work = context.admitted.request, context.work
        headers = _forwarded_headers(request.requestHeaders, _ROUTER_HEADERS)
        headers.setRawHeaders(b"x-request-id", [work.request_id.encode()])
        headers.setRawHeaders(b"x-client-account", [work.account.name.encode()])
        if context.admitted.idempotency_key:
            headers.setRawHeaders(b"idempotency-key", [context.admitted.idempotency_key.encode()])
        has_body = context.body.length != 0 or request.method in (b"POST", b"PUT", b"PATCH")
        body = context.body if has_body else None
        sent = TargetCall(request.method, target.address, context.call.path, headers, body)
        timeout_s = work.deadline_s - self._reactor.seconds()
        response = await self._client.send(sent, timeout_s, work.caller)
        answered_id = header_text(response, "x-request-id")
        if answered_id and answered_id != work.request_id:
            discard(response)
            detail = "the target answered with another request's id"
            raise AttemptError(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)
        await check_not_run(response, self._reactor)
        return response

    def _is_small(self, admitted: AdmittedRequest, response: IResponse) -> bool:
        """Return whether an answer is buffered whole, so that its headers carry a final verdict."""
        is_small = response.length is not UNKNOWN_LENGTH and response.length <= BUFFERED_BYTES
        return is_small or admitted.request.method == b"HEAD" or response.code in _NO_BODY_STATUSES

    def _write_head(self, admitted: AdmittedRequest, response: IResponse, verdict: Verdict) -> None:
        """Set the status and headers of the answer."""
        request = admitted.request
        request.setResponseCode(response.code, response.phrase)
        excluded = frozenset((b"x-request-id", b"x-verdict"))
        for name, values in _forwarded_headers(response.headers, excluded).getAllRawHeaders():
            request.responseHeaders.setRawHeaders(name, values)
        if response.length is not UNKNOWN_LENGTH and response.code not in _NO_BODY_STATUSES:
            request.setHeader(b"content-length", str(response.length).encode())
        set_outcome(request, admitted.request_id, verdict)
        if admitted.request.channel is not None and not admitted.request.channel.persistent:
            request.setHeader(b"connection", b"close")

    async def _send_whole(self, context: _CallContext, answer: TargetAnswer) -> bytes:
        """Return a small answer complete, or refuse."""
        work = context.work
        timeout_s = work.deadline_s - self._reactor.seconds()
        try:
            body = await read_whole(
                answer.response, BUFFERED_BYTES, timeout_s, self._reactor, work.caller
            )
        except AttemptError as error:
            self._dispatcher.finish(work, answer, error.verdict, error.reason, error.detail)
            raise RefusedError(Refusal(error.reason, error.verdict, error.detail)) from error
        verdict = Verdict.RAN if answer.response.code < 500 else Verdict.MAY_HAVE_RUN
        self._dispatcher.finish(work, answer, verdict)
        self._write_head(context.admitted, answer.response, verdict)
        work.record.end(verdict, None, "", self._reactor.seconds())
        return body

    async def _send_stream(self, context: _CallContext, answer: TargetAnswer) -> None:
        """Relay a large answer; if it is cut, close the caller's connection."""
        admitted, work = context.admitted, context.work
        self._write_head(admitted, answer.response, Verdict.MAY_HAVE_RUN)
        relay = StreamRelay(
            admitted.request, admitted.caller, PassThrough(), self._reactor, self._stall_timeout_s
        )
        end = await relay.relay(answer.response)
        relay.close()
        if end is RelayEnd.COMPLETE:
            self._dispatcher.finish(work, answer, Verdict.RAN)
            work.record.end(Verdict.RAN, None, "", self._reactor.seconds())
            return
        verdict, reason = Verdict.MAY_HAVE_RUN, Reason.ANSWER_CUT
        detail = f"the answer ended early: {end}"
        self._dispatcher.finish(work, answer, verdict, reason, detail)
        work.record.end(verdict, reason, detail, self._reactor.seconds())
        if not admitted.caller.gone:
            _break_off(admitted)
            await admitted.caller.wait_until_gone()
