"""The operator API of a router: explain, targets, the router's state, and metrics."""

from collections.abc import Callable
from typing import Any, NamedTuple

from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.http_headers import Headers

from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import LoadReport, TargetAnnouncement, TargetState, TargetView
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.answer_body import read_whole
from damaskwind.router.answers import answer_json, refuse
from damaskwind.router.authentication import bearer_key, operator_index
from damaskwind.router.explain import ExplainLog, router_of
from damaskwind.router.gateway import Gateway
from damaskwind.router.peer_addresses import PeerAddresses
from damaskwind.router.placing import Placing
from damaskwind.router.target_client import AttemptError, TargetCall, TargetClient, build_path
from damaskwind.router.target_directory import TargetDirectory
from damaskwind.router.target_health import TargetHealth
from damaskwind.router.target_signals import TargetSignalTracker
from damaskwind.router.telemetry import Telemetry

__all__ = ["OperatorApi", "RouterComponents"]

_DRAIN_ROLES = frozenset(("planner", "confirmer"))
_FORWARD_TIMEOUT_S = 5.0
_ANSWER_LIMIT_BYTES = 1_048_576
_MAX_SEQUENCE = 2**31 - 1
_FORWARDED = "x-forwarded-by"


def _not_found(detail: str) -> RefusedError:
    """Return the error for an object that is unknown to this router."""
    return RefusedError(Refusal(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail))


def _make_leave(view: TargetView) -> TargetAnnouncement:
    """Return the announcement with which a target leaves; it ends the target's incarnation."""
    return TargetAnnouncement(
        target_id=view.target_id,
        incarnation=view.incarnation,
        sequence=_MAX_SEQUENCE,
        kind=view.kind,
        service=view.service,
        failure_domain=view.failure_domain,
        address=view.address,
        state=TargetState.LEAVING,
        lease_s=1.0,
        load=LoadReport(0, view.capacity_tokens, 0, 0, 0.0),
        models=view.models,
    )


class RouterComponents(NamedTuple):
    """The components of the router that the operator API reads."""

    router_id: str
    gateway: Gateway
    explain: ExplainLog
    directory: TargetDirectory
    health: TargetHealth
    signals: TargetSignalTracker
    placing: Placing
    membership: Any
    client: TargetClient
    telemetry: Telemetry
    peers: PeerAddresses
    own_state: Callable[[], dict[str, Any]]


class OperatorApi:
    """The handlers of the routes below `/operator/v1/` and of `/metrics`."""

    def __init__(self, components: RouterComponents, clock: Any) -> None:
        self._components = components
        self._clock = clock

    def install(self, app: Klein) -> None:
        """Add the routes to an application."""
        root = "/operator/v1"
        app.route(f"{root}/requests/<request_id>", methods=["GET"])(self.explain)
        app.route(f"{root}/targets", methods=["GET"])(self.targets)
        app.route(f"{root}/targets/<target_id>/drain", methods=["POST"])(self.drain)
        app.route(f"{root}/router", methods=["GET"])(self.router)
        app.route("/metrics", methods=["GET"])(self.metrics)

    def _authorize(self, request: Any, roles: frozenset[str] = frozenset()) -> None:
        """Raise `RefusedError` unless the caller is an operator with one of the roles."""
        operators = operator_index(self._components.gateway.configuration)
        operator = operators.owner(bearer_key(request.getHeader("authorization")))
        if roles and not roles & set(operator.roles):
            detail = f"one of these roles is needed: {', '.join(sorted(roles))}"
            raise RefusedError(Refusal(Reason.FORBIDDEN, Verdict.NOT_RUN, detail))

    def explain(self, request: Any, request_id: str) -> bytes | Deferred:
        """Return a request's record, from here or from the router that its id names."""
        self._authorize(request)
        record = self._components.explain.find(request_id)
        if record is not None:
            return answer_json(
                request, 200, {"router": self._components.router_id, **record.as_table()}
            )
        router_id = router_of(request_id)
        forwarded = request.getHeader(_FORWARDED)
        if forwarded or router_id in ("", self._components.router_id):
            raise _not_found(f"request '{request_id}' is not known here, or no longer")
        return ensureDeferred(self._forward(request, request_id, router_id))

    async def _forward(self, request: Any, request_id: str, router_id: str) -> bytes:
        """Forward the query to the router that a request id names."""
        address = await self._components.peers.request_address(router_id)
        if address is None:
            detail = f"router '{router_id}' can't be asked about request '{request_id}'"
            refusal = Refusal(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail)
            return refuse(request, request.request_id, refusal)
        headers = Headers({"authorization": [request.getHeader("authorization")]})
        headers.setRawHeaders(_FORWARDED, [self._components.router_id])
        path = build_path("operator", "v1", "requests", request_id)
        try:
            response = await self._components.client.send(
                TargetCall(b"GET", address, path, headers), _FORWARD_TIMEOUT_S
            )
            body = await read_whole(response, _ANSWER_LIMIT_BYTES, _FORWARD_TIMEOUT_S, self._clock)
        except AttemptError as error:
            refusal = Refusal(error.reason, Verdict.NOT_RUN, error.detail)
            return refuse(request, request.request_id, refusal)
        request.setResponseCode(response.code)
        request.setHeader(b"content-type", b"application/json")
        return body

    def targets(self, request: Any) -> bytes:
        """List the live targets known to this router."""
        self._authorize(request)
        return answer_json(
            request, 200, {"targets": [self._describe_target(v) for v in self._sorted()]}
        )

    def _sorted(self) -> list[TargetView]:
        """Return the targets sorted by id."""
        return sorted(self._components.directory.views(), key=lambda view: view.target_id)

    def _describe_target(self, view: TargetView) -> dict[str, Any]:
        """Return the description of one target for operators."""
        now_s = self._clock.seconds()
        estimate = self._components.directory.placers[view.kind].estimate_tokens(
            view.target_id, now_s
        )
        return {
            "target_id": view.target_id,
            "kind": view.kind,
            "service": view.service,
            "failure_domain": view.failure_domain,
            "address": str(view.address),
            "state": view.state,
            "incarnation": view.incarnation,
            "circuit": self._components.health.state(view.service, view.target_id),
            "wish": self._components.signals.signal(view),
            "estimated_load_tokens": round(estimate, 1),
            "requests_in_flight_here": self._components.placing.in_flight.get(view.target_id, 0),
            "models": [f"{offer.model}@{offer.version}" for offer in view.models],
        }

    def drain(self, request: Any, target_id: str) -> bytes:
        """Stop sending new work to a target, here and at all routers that gossip reaches.

        This applies to the target's current incarnation only: after a restart it gets
        work again.
        """
        self._authorize(request, _DRAIN_ROLES)
        view = self._components.directory.find(target_id)
        if view is None:
            raise _not_found(f"target '{target_id}' is not known here, or already gone")
        self._components.membership.announce(_make_leave(view), 0)
        answer = {"target_id": target_id, "incarnation": view.incarnation, "state": "leaving"}
        return answer_json(request, 200, answer)

    def router(self, request: Any) -> bytes:
        """Return the state of this router."""
        self._authorize(request)
        return answer_json(request, 200, self._components.own_state())

    def metrics(self, request: Any) -> bytes:
        """Return the metrics in Prometheus text format; scrapers need no key."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        return self._components.telemetry.metrics.render()
