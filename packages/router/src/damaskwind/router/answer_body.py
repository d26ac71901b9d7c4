"""Read the complete body of a target's answer within a time limit, or fail."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IResponse

from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Verdict
from damaskwind.router.caller import Caller
from damaskwind.router.target_client import AttemptError

__all__ = ["discard", "read_whole"]


def _proves_nothing(body: bytes) -> bool:
    """Return `False`, since a body may end anywhere; the default of `read_whole`."""
    return False


class _Collector(Protocol):
    """Collect a body up to a size limit; any end but a complete response is a failure.

    A body without a length and chunks is complete only if its content shows it.
    """

    def __init__(self, limit_bytes: int, shows_end: Callable[[bytes], bool]) -> None:
        self.done: Deferred = Deferred(self._time_out)
        self._limit_bytes = limit_bytes
        self._shows_end = shows_end
        self._size_bytes = 0
        self._pieces: list[bytes] = []

    def _time_out(self, done: Deferred) -> None:
        """Fail a body that is late or whose caller disconnected; its request may have run."""
        detail = "the target's answer did not end in time"
        done.errback(AttemptError(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, detail))
        self._drop()

    def _drop(self) -> None:
        """Close the connection, since its next bytes would still belong to this answer."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Add a piece, or close the connection of a body over the limit."""
        self._size_bytes += len(data)
        if self._size_bytes > self._limit_bytes:
            self._drop()
            return
        self._pieces.append(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Return the body if it is complete, or fail."""
        if self.done.called:
            return
        body = b"".join(self._pieces)
        is_ended = reason.check(ResponseDone) or (
            reason.check(PotentialDataLoss) and self._shows_end(body)
        )
        if is_ended and self._size_bytes <= self._limit_bytes:
            self.done.callback(body)
            return
        detail = "the target's answer was cut short"
        self.done.errback(AttemptError(Verdict.MAY_HAVE_RUN, Reason.ANSWER_CUT, detail))


async def read_whole(
    response: IResponse,
    limit_bytes: int,
    timeout_s: float,
    clock: Any,
    caller: Caller | None = None,
    shows_end: Callable[[bytes], bool] = _proves_nothing,
) -> bytes:
    """Return the complete body; raise `AttemptError` if it is cut, too long or late.

    If the caller disconnects, reading stops immediately. `shows_end` tells by its content whether
    a body is complete that ends with its connection.
    """
    collector = _Collector(limit_bytes, shows_end)
    response.deliverBody(collector)
    if collector.done.called:
        return await collector.done
    timer = clock.callLater(max(timeout_s, 0.0), collector.done.cancel)
    if caller is not None:
        caller.when_gone(collector.done.cancel)
    try:
        return await collector.done
    finally:
        if timer.active():
            timer.cancel()


class _Discarding(Protocol):
    """Close the connection of an answer without reading it."""

    def connectionMade(self) -> None:  # noqa: N802
        """Close the connection immediately."""
        self.transport.loseConnection()


def discard(response: IResponse) -> None:
    """Close an answer's connection without reading it."""
    response.deliverBody(_Discarding())
