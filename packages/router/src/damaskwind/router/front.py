"""The router's HTTP routes."""

from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from werkzeug.exceptions import MethodNotAllowed, NotFound

from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.announcements import Announcements
from damaskwind.router.answers import answer_json, refuse, set_outcome
from damaskwind.router.chat_path import ChatPath
from damaskwind.router.chat_request import visible_models
from damaskwind.router.gateway import Gateway
from damaskwind.router.service_path import ServicePath

__all__ = ["HttpFrontend"]


class HttpFrontend:
    """The HTTP routes for callers, targets and the platform's load balancer."""

    def __init__(
        self,
        gateway: Gateway,
        chats: ChatPath,
        services: ServicePath,
        announcements: Announcements,
        not_ready: Callable[[], str],
    ) -> None:
        self._gateway = gateway
        self._chats = chats
        self._services = services
        self._announcements = announcements
        self._not_ready = not_ready
        self.app = Klein()
        self._install(self.app)

    def _install(self, app: Klein) -> None:
        """Add the routes and the error handlers."""
        app.route("/v1/chat/completions", methods=["POST"])(self.chat)
        app.route("/v1/models", methods=["GET"])(self.models)
        app.route("/services/", branch=True)(self.service)
        app.route("/targets/v1/announcements", methods=["POST"])(self._announcements.receive)
        app.route("/livez", methods=["GET"])(self.live)
        app.route("/readyz", methods=["GET"])(self.ready)
        app.handle_errors(RefusedError)(self.refused)
        app.handle_errors(NotFound)(self.not_found)
        app.handle_errors(MethodNotAllowed)(self.wrong_method)

    def chat(self, request: Any) -> Deferred:
        """Serve a chat."""
        return self._gateway.handle(request, self._chats.serve)

    def service(self, request: Any) -> Deferred:
        """Forward a call to a plain service."""
        return self._gateway.handle(request, self._services.serve)

    def models(self, request: Any) -> bytes:
        """List the models that the account may use."""
        account = self._gateway.account_of(request)
        names = visible_models(account, self._gateway.configuration)
        set_outcome(request, request.request_id, Verdict.RAN)
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": "damaskwind"}
            for name in names
        ]
        return answer_json(request, 200, {"object": "list", "data": listed})

    def live(self, request: Any) -> bytes:
        """Answer the liveness probe."""
        request.setHeader(b"content-type", b"text/plain")
        return b"ok\n"

    def ready(self, request: Any) -> bytes:
        """Answer the readiness check: whether the balancer may send requests here."""
        reason = self._not_ready()
        request.setHeader(b"content-type", b"text/plain")
        request.setResponseCode(503 if reason else 200)
        return (reason or "ok").encode() + b"\n"

    def refused(self, request: Any, failure: Any) -> bytes:
        """Answer with a refusal that a route raised."""
        return refuse(request, request.request_id, failure.value.refusal)

    def not_found(self, request: Any, failure: Any) -> bytes:
        """Answer a request for a path that does not exist."""
        detail = "there is nothing at this path"
        refusal = Refusal(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail)
        return refuse(request, request.request_id, refusal)

    def wrong_method(self, request: Any, failure: Any) -> bytes:
        """Answer a request with a method that the path does not support."""
        detail = f"{request.method.decode('latin-1')} is not allowed at this path"
        refusal = Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail)
        body = refuse(request, request.request_id, refusal)
        request.setResponseCode(405)
        return body
