"""Read the body of a target's answer in time, whole or not at all."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.iweb import IResponse

from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Verdict
from damaskwind.router.caller import Caller
from damaskwind.router.target_client import AttemptError

__all__ = ["discard", "read_whole"]


class _Collector(Protocol):
    """Collect a body up to a limit; anything but an orderly end is a failure."""

    def __init__(self, limit_bytes: int) -> None:
        self.done: Deferred = Deferred(self._time_out)
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._pieces: list[bytes] = []

    def _time_out(self, done: Deferred) -> None:
        """Fail a body that is late, or whose caller has gone; its request may have run."""
        detail = "the target's answer did not end in time"
        done.errback(AttemptError(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, detail))
        self._drop()

    def _drop(self) -> None:
        """Close the connection: its next bytes would belong to this answer."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece."""
        self._size_bytes += len(data)
        if self._size_bytes > self._limit_bytes:
            self._drop()
            return
        self._pieces.append(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Hand the body over if it ended in order."""
        if self.done.called:
            return
        if reason.check(ResponseDone) and self._size_bytes <= self._limit_bytes:
            self.done.callback(b"".join(self._pieces))
            return
        detail = "the target's answer was cut short"
        self.done.errback(AttemptError(Verdict.MAY_HAVE_RUN, Reason.ANSWER_CUT, detail))


async def read_whole(
    response: IResponse,
    limit_bytes: int,
    timeout_s: float,
    clock: Any,
    caller: Caller | None = None,
) -> bytes:
    """Return the whole body; raise `AttemptError` when it is cut, too long or late.

    A caller that goes away ends the reading at once.
    """
    collector = _Collector(limit_bytes)
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
    """Close the connection of an answer that nobody may see."""

    def connectionMade(self) -> None:  # noqa: N802
        """Close at once."""
        self.transport.loseConnection()


def discard(response: IResponse) -> None:
    """Close an answer's connection without reading it."""
    response.deliverBody(_Discarding())
