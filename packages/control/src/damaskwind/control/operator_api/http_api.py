"""The intent API over HTTP, on klein."""

import re
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import msgspec
from klein import Klein
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.web.resource import IResource
from twisted.web.server import Site

from damaskwind.control.audit.archive import AuditArchive
from damaskwind.control.operator_api.authentication import authenticate, bearer_key
from damaskwind.control.operator_api.bounded_site import bounded_site
from damaskwind.control.operator_api.intent_service import IntentService
from damaskwind.control.operator_api.ports import ProposalPort
from damaskwind.control.operator_api.refusal import (
    HTTP_STATUS,
    OperatorCode,
    OperatorRefusedError,
)
from damaskwind.control.operator_api.router_status import RouterRevision, lag_view
from damaskwind.control.operator_api.views import change_view, configuration_view, order_view
from damaskwind.control.state.command import WantedState
from damaskwind.control.state.configuration_machine import ConfigurationMachine, operator_roles
from damaskwind.decisions.held_bytes.connection_shares import DEFAULT_MAX_CONNECTIONS
from damaskwind.model.checking import check_table
from damaskwind.runtime.bridge import to_deferred
from damaskwind.runtime.settings import parse_address

__all__ = ["OperatorApi", "OperatorApiSettings"]

BODY_LIMIT_BYTES = 1_048_576
IDLE_TIMEOUT_S = 30.0
_AUDIT_PAGE = 500
_RECENT_CHANGES = 20
_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")

Answer = dict[str, Any]


class OperatorApiSettings(NamedTuple):
    """The id of this replica and the key hash of the bootstrap operator."""

    replica_id: str
    bootstrap_key_hash: str = ""


class _Caller(NamedTuple):
    """An authenticated operator and the address that the request came from."""

    operator: str
    origin: str


class _OrderBody(NamedTuple):
    """The body of an order."""

    target_id: str
    wanted: WantedState
    order_id: str = ""
    address: str = ""


class _MembershipBody(NamedTuple):
    """The body of a change of the replicas."""

    action: str
    replica_id: str
    address: str = ""
    failure_domain: str = ""


def _json_body(request: Any) -> Any:
    """Return the request's body, decoded from JSON."""
    try:
        return msgspec.json.decode(request.content.read())
    except msgspec.DecodeError as error:
        raise OperatorRefusedError(
            OperatorCode.BAD_REQUEST, "the body is not valid JSON"
        ) from error


def _typed_body(request: Any, kind: type) -> Any:
    """Return the request's body as a typed message."""
    checked = check_table(_json_body(request), kind, "body")
    if checked.mistakes:
        raise OperatorRefusedError(
            OperatorCode.BAD_REQUEST, "the body has mistakes", mistakes=checked.mistakes
        )
    return checked.value


def _parameter(request: Any, name: str, default: str = "") -> str:
    """Return a parameter of the query."""
    values = request.args.get(name.encode(), [])
    return values[0].decode("utf-8", "replace") if values else default


def _number(request: Any, name: str, default: int) -> int:
    """Return a non-negative integer of the query."""
    text = _parameter(request, name, str(default))
    if not text.isdecimal() or len(text) > 18:
        raise OperatorRefusedError(OperatorCode.BAD_REQUEST, f"{name}: expected a number")
    return int(text)


def _checked_id(text: str) -> str:
    """Return an id; refuse a malformed one."""
    if not _ID.fullmatch(text):
        raise OperatorRefusedError(OperatorCode.BAD_REQUEST, "malformed id")
    return text


def _check_address(text: str) -> None:
    """Refuse a malformed address."""
    try:
        parse_address(text)
    except ValueError as error:
        raise OperatorRefusedError(OperatorCode.BAD_REQUEST, f"address: {error}") from error


def _location_of(error: Exception) -> str:
    """Return the file and line that raised an error."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{frame.filename}:{frame.lineno}"


class OperatorApi:
    """The HTTP interface of one replica for operators."""

    def __init__(
        self,
        port: ProposalPort,
        machine: ConfigurationMachine,
        service: IntentService,
        settings: OperatorApiSettings,
        routers: Callable[[], list[RouterRevision]] = list,
        archive: AuditArchive | None = None,
    ) -> None:
        self._port = port
        self._machine = machine
        self._service = service
        self._settings = settings
        self._routers = routers
        self._archive = archive
        self._klein = Klein()
        self._route()

    def serve_metrics(self, render: Callable[[], bytes]) -> None:
        """Answer `GET /metrics` with the result of `render`; a scraper needs no key."""

        def metrics(request: Any) -> bytes:
            request.setHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
            return render()

        self._klein.route("/metrics", methods=["GET"])(metrics)

    def resource(self) -> IResource:
        """Return the web resource."""
        return self._klein.resource()

    def site(self, max_connections: int = DEFAULT_MAX_CONNECTIONS) -> Site:
        """Return a site that limits connections, the size of bodies and the time of idle ones."""
        return bounded_site(self.resource(), BODY_LIMIT_BYTES, IDLE_TIMEOUT_S, max_connections)

    def _route(self) -> None:
        """Bind each path to its handler method."""
        root = "/operator/v1"
        table: tuple[tuple[str, str, Any], ...] = (
            ("POST", "/intents", self._intents),
            ("GET", "/plans/<plan_id>", self._plan),
            ("POST", "/plans/<plan_id>/confirm", self._confirm),
            ("GET", "/configuration", self._configuration),
            ("GET", "/status", self._status),
            ("GET", "/audit", self._audit),
            ("GET", "/replicas", self._replicas),
            ("POST", "/replicas", self._change_replicas),
            ("GET", "/orders", self._orders),
            ("POST", "/orders", self._order),
        )
        for method, path, action in table:
            self._klein.route(root + path, methods=[method])(self._make_handler(action, method))

    def _make_handler(self, action: Callable[..., Coroutine[Any, Any, Answer]], method: str) -> Any:
        """Return the klein handler that answers with the result of `action`."""

        def handle(request: Any, **names: str) -> Deferred:
            return to_deferred(self._answer(action, method, request, names))

        handle.__name__ = action.__name__
        return handle

    async def _answer(self, action: Any, method: str, request: Any, names: dict[str, str]) -> bytes:
        """Authenticate, run the action, and encode its result or its refusal."""
        request.setHeader("content-type", "application/json")
        request.setHeader("cache-control", "no-store")
        try:
            if method == "POST":
                await self._service.read_current()
            caller = self._authenticate(request)
            checked = {name: _checked_id(text) for name, text in names.items()}
            return msgspec.json.encode(await action(request, caller, **checked))
        except OperatorRefusedError as error:
            return self._refuse(request, error)
        except Exception as error:
            # The message of an unexpected error may quote the request, and thus a key.
            path = request.path.decode("ascii", "replace")
            kind, location = type(error).__name__, _location_of(error)
            logger.error("operator request failed", path=path, error=kind, place=location)
            internal_error = OperatorRefusedError(
                OperatorCode.FAILED, "internal error; the outcome is not known", False
            )
            return self._refuse(request, internal_error)

    def _refuse(self, request: Any, error: OperatorRefusedError) -> bytes:
        """Set the status of a refusal and return its body."""
        request.setResponseCode(HTTP_STATUS[error.code])
        return msgspec.json.encode(error.body())

    def _authenticate(self, request: Any) -> _Caller:
        """Return the authenticated caller; refuse an unknown key."""
        key = bearer_key(request.getHeader("authorization"))
        operator = authenticate(key, self._machine.configuration, self._settings.bootstrap_key_hash)
        address = request.getClientAddress()
        host = getattr(address, "host", "unknown")
        if operator is None:
            logger.warning("unknown operator key", origin=host)
            raise OperatorRefusedError(OperatorCode.BAD_KEY, "unknown operator key")
        return _Caller(operator, f"{host} via {self._settings.replica_id}")

    def _require_viewer(self, caller: _Caller) -> tuple[str, ...]:
        """Refuse a caller without any role and return the roles; each role may view."""
        roles = operator_roles(self._machine.configuration, caller.operator)
        if not roles:
            raise OperatorRefusedError(OperatorCode.FORBIDDEN, "the operator has no role")
        return roles

    async def _intents(self, request: Any, caller: _Caller) -> Answer:
        """Plan an intent."""
        return await self._service.plan(caller.operator, caller.origin, _json_body(request))

    async def _plan(self, request: Any, caller: _Caller, plan_id: str) -> Answer:
        """Show the final outcome of a plan, or the plan while it is open."""
        self._require_viewer(caller)
        if self._machine.plans.outcome(plan_id) is None:
            await self._service.read_current()
        return self._service.show_plan(plan_id)

    async def _confirm(self, request: Any, caller: _Caller, plan_id: str) -> Answer:
        """Confirm a plan."""
        return await self._service.confirm(caller.operator, caller.origin, plan_id)

    async def _configuration(self, request: Any, caller: _Caller) -> Answer:
        """Show the local configuration; planners see key hashes."""
        roles = self._require_viewer(caller)
        kind, name = _parameter(request, "kind"), _parameter(request, "name")
        return configuration_view(self._machine.configuration, kind, name, "planner" in roles)

    async def _status(self, request: Any, caller: _Caller) -> Answer:
        """Show the replica, the latest changes and what each router enforces."""
        self._require_viewer(caller)
        revision = self._machine.configuration.revision
        changes = self._machine.changes_after(revision - _RECENT_CHANGES)
        return {
            "replica": self._port.status(),
            "revision": revision,
            "applied_index": self._machine.applied_index,
            "audit_head": {
                "sequence": self._machine.trail.last_sequence,
                "entry_hash": self._machine.trail.last_hash,
            },
            "open_plans": [
                {
                    "id": plan.plan_id,
                    "planned_by": plan.operator,
                    "base_revision": plan.base_revision,
                }
                for plan in self._machine.plans.open_plans()
            ],
            "changes": [change_view(change) for change in changes],
            "routers": lag_view(self._routers(), revision),
        }

    async def _audit(self, request: Any, caller: _Caller) -> Answer:
        """Show a page of the audit trail, from memory or from the archive."""
        self._require_viewer(caller)
        after = _number(request, "after", 0)
        limit = min(_number(request, "limit", _AUDIT_PAGE), _AUDIT_PAGE)
        trail = self._machine.trail
        lines: list[bytes] = []
        if after + 1 < trail.first_sequence and self._archive is not None:
            lines = self._archive.lines_after(after, limit)
        lines = lines or trail.lines_after(after, limit)
        return {
            "entries": [msgspec.Raw(line) for line in lines],
            "last_sequence": trail.last_sequence,
        }

    async def _replicas(self, request: Any, caller: _Caller) -> Answer:
        """Show the members of the log."""
        self._require_viewer(caller)
        return self._port.status()

    async def _change_replicas(self, request: Any, caller: _Caller) -> Answer:
        """Add or remove a member of the log."""
        body = _typed_body(request, _MembershipBody)
        if body.action not in ("add", "remove"):
            raise OperatorRefusedError(OperatorCode.BAD_REQUEST, "action: expected add or remove")
        _checked_id(body.replica_id)
        return await self._service.change_membership(caller.operator, caller.origin, *body)

    async def _orders(self, request: Any, caller: _Caller) -> Answer:
        """Show the latest order to each target."""
        self._require_viewer(caller)
        orders = self._machine.orders
        return {
            "fencing_number": orders.fencing_number,
            "orders": [order_view(order) for order in orders.orders()],
        }

    async def _order(self, request: Any, caller: _Caller) -> Answer:
        """Commit an order to a target."""
        body = _typed_body(request, _OrderBody)
        _checked_id(body.target_id)
        if body.order_id:
            _checked_id(body.order_id)
        if body.address:
            _check_address(body.address)
        return await self._service.order(
            caller.operator, caller.origin, body.order_id, body.target_id, body.wanted, body.address
        )
