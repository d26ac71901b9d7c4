"""Pass calls on to plain services, bodies streamed both ways."""

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
from damaskwind.router.admitted_request import Arrival
from damaskwind.router.answer_body import discard, read_whole
from damaskwind.router.answers import set_outcome
from damaskwind.router.caller_request import BUFFERED_BYTES, SERVICES_PREFIX
from damaskwind.router.dispatcher import Dispatcher, Placed
from damaskwind.router.engine_client import check_not_run, header_text
from damaskwind.router.event_stream import PassThrough
from damaskwind.router.stream_relay import RelayEnd, StreamRelay
from damaskwind.router.target_client import AttemptError, BytesProducer, TargetCall, TargetClient
from damaskwind.router.work import Work

__all__ = ["ServicePath"]

_DEFAULT_ROUTE = ServiceRoute("/", (), idempotent=False)
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"te")
) | frozenset((b"trailer", b"transfer-encoding", b"upgrade", b"content-length"))
_ROUTERS_OWN = frozenset(
    (b"authorization", b"host", b"expect", b"x-timeout-s", b"x-request-id", b"x-verdict")
) | frozenset((b"x-client-account", b"idempotency-key"))
_NO_BODY_STATUSES = (204, 304)


class ServiceCall(NamedTuple):
    """A call to a plain service as the router understands it."""

    service: Service
    path: bytes
    route: ServiceRoute


def _unknown_service(name: str) -> RefusedError:
    """Make the one error for a service that is unknown or not allowed."""
    detail = f"the service '{name}' does not exist or you do not have access to it"
    return RefusedError(Refusal(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail))


def find_route(service: Service, method: str, path: str) -> ServiceRoute:
    """Return the route of a call: the longest prefix wins.

    A path that a target might read in another way (`..`, doubled slashes) takes
    no route, so that it is never held to be idempotent.
    """
    plain = unquote(path)
    if normpath(plain).rstrip("/") != plain.rstrip("/"):
        return _DEFAULT_ROUTE
    matching = [
        route
        for route in service.routes
        if plain.startswith(route.path_prefix) and method in route.methods
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=_DEFAULT_ROUTE)


def parse_call(arrival: Arrival) -> ServiceCall:
    """Find the service and route that a request names."""
    request = arrival.request
    rest = request.uri[len(SERVICES_PREFIX) :]
    end = min(index for index in (rest.find(b"/"), rest.find(b"?"), len(rest)) if index >= 0)
    name = unquote(rest[:end].decode("latin-1"))
    path = rest[end:] if rest[end : end + 1] == b"/" else b"/" + rest[end:]
    service = arrival.configuration.services.get(name)
    allowed = service is not None and name in arrival.account.services
    if not allowed or service.kind != TargetKind.SERVICE:
        raise _unknown_service(name)
    route = find_route(
        service, request.method.decode("latin-1"), path.partition(b"?")[0].decode("latin-1")
    )
    return ServiceCall(service, path, route)


def _dropped(headers: Headers) -> set[bytes]:
    """Name the headers that end at this hop, those named in `Connection` among them."""
    named = headers.getRawHeaders(b"connection") or []
    return {token.strip().lower() for value in named for token in value.split(b",")}


def _end_to_end(headers: Headers, own: frozenset[bytes]) -> Headers:
    """Copy the headers that go on."""
    dropped = _HOP_BY_HOP | own | _dropped(headers)
    passed = Headers()
    for name, values in headers.getAllRawHeaders():
        if name.lower() not in dropped:
            passed.setRawHeaders(name, values)
    return passed


class _Call(NamedTuple):
    """All that one call carries through this module."""

    arrival: Arrival
    call: ServiceCall
    work: Work
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

    async def serve(self, arrival: Arrival) -> bytes | None:
        """Answer one call; raise `RefusedError` when nothing was passed on."""
        call = parse_call(arrival)
        body = arrival.request.upload or BytesProducer(arrival.request.content.read())
        one = _Call(arrival, call, self._work(arrival, call), body)
        placed = await self._dispatcher.run(one.work, lambda target: self._send(one, target))
        if self._is_small(arrival, placed.response):
            return await self._whole(one, placed)
        await self._stream(one, placed)
        return None

    def _work(self, arrival: Arrival, call: ServiceCall) -> Work:
        """Describe the work that a call is."""
        query = PlacementQuery(
            chat_digest=arrival.request_id,
            prefix_digests=(),
            account=arrival.account.name,
            need_tokens=1.0,
            failure_domain=self._failure_domain,
            pool=PoolName(call.service.name),
        )
        deadline_s = min(arrival.deadline_s, self._reactor.seconds() + call.route.timeout_s)
        return Work(
            request_id=arrival.request_id,
            kind=TargetKind.SERVICE,
            account=arrival.account,
            priority=arrival.priority,
            query=query,
            idempotent=call.route.idempotent and arrival.request.upload is None,
            total_tokens=0.0,
            deadline_s=deadline_s,
            record=arrival.record,
            caller=arrival.caller,
        )

    async def _send(self, one: _Call, target: TargetView) -> IResponse:
        """Send a call to one target; a body that was begun can't be sent to another."""
        try:
            return await self._send_once(one, target)
        except AttemptError as error:
            error.final = error.final or getattr(one.body, "begun", False)
            raise

    async def _send_once(self, one: _Call, target: TargetView) -> IResponse:
        """Send a call and check that the answer belongs to it."""
        request, work = one.arrival.request, one.work
        headers = _end_to_end(request.requestHeaders, _ROUTERS_OWN)
        headers.setRawHeaders(b"x-request-id", [work.request_id.encode()])
        headers.setRawHeaders(b"x-client-account", [work.account.name.encode()])
        if one.arrival.idempotency_key:
            headers.setRawHeaders(b"idempotency-key", [one.arrival.idempotency_key.encode()])
        has_body = one.body.length != 0 or request.method in (b"POST", b"PUT", b"PATCH")
        body = one.body if has_body else None
        sent = TargetCall(request.method, target.address, one.call.path, headers, body)
        timeout_s = work.deadline_s - self._reactor.seconds()
        response = await self._client.send(sent, timeout_s, work.caller)
        answered_id = header_text(response, "x-request-id")
        if answered_id and answered_id != work.request_id:
            discard(response)
            detail = "the target answered with another request's id"
            raise AttemptError(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)
        await check_not_run(response, self._reactor)
        return response

    def _is_small(self, arrival: Arrival, response: IResponse) -> bool:
        """Tell whether an answer is read whole, so that its verdict is known at once."""
        known = response.length is not UNKNOWN_LENGTH and response.length <= BUFFERED_BYTES
        return known or arrival.request.method == b"HEAD" or response.code in _NO_BODY_STATUSES

    def _begin(self, arrival: Arrival, response: IResponse, verdict: Verdict) -> None:
        """Set status and headers of the answer."""
        request = arrival.request
        request.setResponseCode(response.code, response.phrase)
        own = frozenset((b"x-request-id", b"x-verdict"))
        for name, values in _end_to_end(response.headers, own).getAllRawHeaders():
            request.responseHeaders.setRawHeaders(name, values)
        if response.length is not UNKNOWN_LENGTH and response.code not in _NO_BODY_STATUSES:
            request.setHeader(b"content-length", str(response.length).encode())
        set_outcome(request, arrival.request_id, verdict)
        if arrival.request.channel is not None and not arrival.request.channel.persistent:
            request.setHeader(b"connection", b"close")

    async def _whole(self, one: _Call, placed: Placed) -> bytes:
        """Return a small answer whole, or refuse."""
        work = one.work
        timeout_s = work.deadline_s - self._reactor.seconds()
        try:
            body = await read_whole(
                placed.response, BUFFERED_BYTES, timeout_s, self._reactor, work.caller
            )
        except AttemptError as error:
            self._dispatcher.finish(work, placed, error.verdict, error.reason, error.detail)
            raise RefusedError(Refusal(error.reason, error.verdict, error.detail)) from error
        verdict = Verdict.RAN if placed.response.code < 500 else Verdict.MAY_HAVE_RUN
        self._dispatcher.finish(work, placed, verdict)
        self._begin(one.arrival, placed.response, verdict)
        work.record.end(verdict, None, "", self._reactor.seconds())
        return body

    async def _stream(self, one: _Call, placed: Placed) -> None:
        """Relay a large answer; one that is cut ends the caller's connection."""
        arrival, work = one.arrival, one.work
        self._begin(arrival, placed.response, Verdict.MAY_HAVE_RUN)
        relay = StreamRelay(
            arrival.request, arrival.caller, PassThrough(), self._reactor, self._stall_timeout_s
        )
        end = await relay.relay(placed.response)
        relay.close()
        if end is RelayEnd.COMPLETE:
            self._dispatcher.finish(work, placed, Verdict.RAN)
            work.record.end(Verdict.RAN, None, "", self._reactor.seconds())
            return
        verdict, reason = Verdict.MAY_HAVE_RUN, Reason.ANSWER_CUT
        detail = f"the answer ended early: {end}"
        self._dispatcher.finish(work, placed, verdict, reason, detail)
        work.record.end(verdict, reason, detail, self._reactor.seconds())
        if not arrival.caller.gone:
            arrival.request.loseConnection()
            await arrival.caller.lost()
