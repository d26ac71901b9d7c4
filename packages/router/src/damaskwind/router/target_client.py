"""Send one request to one target and return its response or the verdict of its failure.

The verdict is "not run" only if no connection was established or the target itself
reported it. Once a request may have been written, every other failure means that it
may have run.
"""

from typing import Any, NamedTuple
from urllib.parse import quote

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError, UserError
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer, IResponse
from zope.interface import implementer

from damaskwind.decisions.target_signals.answer_signals import NO_SIGNALS, AnswerSignals
from damaskwind.model.exception import DamaskwindError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import Address
from damaskwind.model.verdict import Verdict
from damaskwind.router.caller import Caller
from damaskwind.router.connection_pool import CheckedConnectionPool

__all__ = ["AttemptError", "BytesProducer", "TargetCall", "TargetClient", "build_path"]

_CONNECT_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 1.0
_CONNECT_ERRORS = (ConnectError, ConnectingCancelledError, UserError)


class AttemptError(DamaskwindError):
    """A failed attempt at a target; `verdict` tells whether the request may have run there.

    `suspect` is set if the failure counts against the target's health, `final` if a
    retry at another target would not help. `signals` are the target's signals.
    """

    def __init__(
        self,
        verdict: Verdict,
        reason: Reason,
        detail: str,
        suspect: bool = True,
        retry_after_s: float | None = None,
        final: bool = False,
        signals: AnswerSignals = NO_SIGNALS,
    ) -> None:
        super().__init__(detail)
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.suspect = suspect
        self.retry_after_s = retry_after_s
        self.final = final
        self.signals = signals


class TargetCall(NamedTuple):
    """One HTTP request to a target."""

    method: bytes
    address: Address
    path: bytes
    headers: Headers
    body: Any = None


@implementer(IBodyProducer)
class BytesProducer:
    """A request body that is completely in memory."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred:  # noqa: N802
        """Write the whole body at once."""
        consumer.write(self.body)
        done: Deferred = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body was written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body was written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body was written at once."""


@implementer(IAgentEndpointFactory)
class _NumericEndpoints:
    """Connect to numeric IP addresses without name resolution."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return the TCP endpoint of a URI."""
        host = uri.host.decode("ascii")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, _CONNECT_TIMEOUT_S)


class TargetClient:
    """Send requests over a shared connection pool."""

    def __init__(self, reactor: Any) -> None:
        self.clock = IReactorTime(reactor)
        self._pool = CheckedConnectionPool(reactor)
        self._agent = Agent.usingEndpointFactory(reactor, _NumericEndpoints(reactor), self._pool)
        self._pending: set[Deferred] = set()
        self._next_finished: Deferred | None = None

    async def send(
        self, call: TargetCall, timeout_s: float, caller: Caller | None = None
    ) -> IResponse:
        """Return the response once its headers arrived, or raise `AttemptError`.

        If the caller disconnects, the attempt is cancelled immediately.
        """
        uri = b"http://%s:%d%s" % (call.address.host.encode(), call.address.port, call.path)
        pending = self._agent.request(call.method, uri, call.headers, call.body)
        self._pending.add(pending)
        timer = self.clock.callLater(max(timeout_s, 0.0), pending.cancel)
        if caller is not None:
            caller.when_gone(pending.cancel)
        try:
            return await pending
        except _CONNECT_ERRORS as error:
            detail = f"the target was not reached: {error}"
            raise AttemptError(Verdict.NOT_RUN, Reason.TARGET_FAILED, detail) from error
        except CancelledError as error:
            detail = "the target did not answer in time"
            raise AttemptError(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, detail) from error
        except Exception as error:  # any failure after the connection was established
            detail = f"the target broke off before its answer: {type(error).__name__}"
            raise AttemptError(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail) from error
        finally:
            self._finish(pending)
            if timer.active():
                timer.cancel()

    async def close(self) -> None:
        """Wait a short time for requests in progress, then close the connections."""
        limit = self.clock.callLater(_CLOSE_TIMEOUT_S, self._cancel_all)
        while self._pending:
            self._next_finished = Deferred()
            await self._next_finished
        if limit.active():
            limit.cancel()
        await self._pool.closeCachedConnections()

    def _cancel_all(self) -> None:
        """Cancel all requests in progress."""
        for pending in list(self._pending):
            pending.cancel()

    def _finish(self, pending: Deferred) -> None:
        """Remove a request that was answered or failed."""
        self._pending.discard(pending)
        finished, self._next_finished = self._next_finished, None
        if finished is not None:
            finished.callback(None)


def build_path(*parts: str) -> bytes:
    """Join quoted path segments.

    >>> build_path("v1", "requests", "a/b")
    b'/v1/requests/a%2Fb'
    """
    return "".join("/" + quote(part, safe="") for part in parts).encode()
