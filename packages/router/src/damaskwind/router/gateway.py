"""Admit callers' requests: authentication, deadline, and the request's record."""

from collections.abc import Callable
from math import isfinite
from typing import Any

from loguru import logger
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from damaskwind.model.configuration import ClientAccount, Configuration, PriorityClass
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.admitted_request import AdmittedRequest
from damaskwind.router.answers import refuse
from damaskwind.router.authentication import account_index, bearer_key
from damaskwind.router.caller import Caller
from damaskwind.router.explain import ExplainLog, RequestRecord
from damaskwind.router.idempotency import Idempotency, Serve

__all__ = ["Gateway"]

_LOWEST_PRIORITY = PriorityClass("none", 9, 1)
_MAX_KEY_CHARACTERS = 255


def _bad_request(detail: str) -> RefusedError:
    """Make the error for a malformed header."""
    return RefusedError(Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail))


def _timeout_s(request: Any, limit_s: float) -> float:
    """Return the caller's timeout, capped at the limit."""
    text = request.getHeader("x-timeout-s")
    if text is None:
        return limit_s
    try:
        wanted_s = float(text)
    except ValueError:
        wanted_s = 0.0
    if not isfinite(wanted_s) or wanted_s <= 0:
        raise _bad_request("'x-timeout-s' must be a positive number")
    return min(wanted_s, limit_s)


def _idempotency_key(request: Any) -> str:
    """Return the idempotency key of a request, or an empty text."""
    key = request.getHeader("idempotency-key") or ""
    if len(key) > _MAX_KEY_CHARACTERS or not key.isascii():
        raise _bad_request(f"'Idempotency-Key' must be at most {_MAX_KEY_CHARACTERS} characters")
    return key


class Gateway:
    """Authenticate callers, run their requests and turn refusals into answers."""

    def __init__(self, explain: ExplainLog, idempotency: Idempotency, clock: Any) -> None:
        self._explain = explain
        self._idempotency = idempotency
        self._clock = clock
        self.in_progress = 0
        self.on_request_ended: Callable[[RequestRecord], None] = lambda record: None
        self.set_configuration(Configuration())

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration to all requests that arrive from now on."""
        self.configuration = configuration
        self._accounts = account_index(configuration)

    def account_of(self, request: Any) -> ClientAccount:
        """Return the account whose key a request carries."""
        return self._accounts.owner(bearer_key(request.getHeader("authorization")))

    def handle(self, request: Any, serve: Serve) -> Deferred:
        """Run one request to its end.

        Klein gets a separate Deferred, so that its cancellation does not end the request:
        only a lost caller connection, which `Caller` reports, ends a request early.
        """
        answered: Deferred = Deferred(lambda cancelled: None)
        self.in_progress += 1
        running = ensureDeferred(self._run(request, serve))
        running.addBoth(self._count_finished)
        running.addBoth(lambda result: None if answered.called else answered.callback(result))
        return answered

    async def _run(self, request: Any, serve: Serve) -> bytes | None:
        """Admit a request, serve it, and answer with its refusal if it is refused."""
        now_s = self._clock.seconds()
        record = self._explain.start(request.request_id, request.path.decode("latin-1"), now_s)
        caller = Caller(request)
        try:
            admitted = self._admit(request, record, caller, now_s)
            body = await self._idempotency.run(admitted, serve)
            self.on_request_ended(record)
            return body
        except RefusedError as error:
            refusal = error.refusal
        except CancelledError:
            refusal = Refusal(Reason.CALLER_TIMEOUT, Verdict.NOT_RUN, "the caller left the queue")
        except Exception as error:  # a bug in the router must not be reported as "not run"
            logger.opt(exception=error).error("request failed", request=request.request_id)
            refusal = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, "the router failed")
        record.end(refusal.verdict, refusal.reason, refusal.detail, self._clock.seconds())
        self.on_request_ended(record)
        if caller.gone or request.startedWriting:
            return None
        return refuse(request, request.request_id, refusal)

    def _admit(
        self, request: Any, record: RequestRecord, caller: Caller, now_s: float
    ) -> AdmittedRequest:
        """Check a request's key, size and headers."""
        configuration = self.configuration
        account = self.account_of(request)
        record.account = account.name
        if request.too_large:
            detail = f"the body is over {configuration.policy.body_limit_bytes} bytes"
            raise RefusedError(Refusal(Reason.TOO_LARGE, Verdict.NOT_RUN, detail))
        timeout_s = _timeout_s(request, configuration.policy.request_timeout_s)
        return AdmittedRequest(
            request,
            request.request_id,
            account,
            configuration.priority_classes.get(account.priority_class, _LOWEST_PRIORITY),
            configuration,
            now_s + timeout_s,
            _idempotency_key(request),
            record,
            caller,
        )

    def _count_finished(self, result: Any) -> Any:
        """Decrement the number of requests in progress."""
        self.in_progress -= 1
        return result
