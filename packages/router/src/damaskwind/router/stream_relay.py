"""Relay a target's answer to the caller as bytes, with backpressure in both directions."""

from enum import StrEnum
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.iweb import IResponse
from zope.interface import implementer

from damaskwind.router.caller import Caller
from damaskwind.router.event_stream import EventScanner

__all__ = ["RelayEnd", "StreamRelay"]

# Time that an answer has after its end marker to end its body before it is closed.
_TAIL_TIMEOUT_S = 5.0


class RelayEnd(StrEnum):
    """How one answer ended."""

    COMPLETE = "complete"
    CUT = "cut"
    STALLED = "stalled"
    CALLER_GONE = "caller_gone"


class _Body(Protocol):
    """The body of one answer."""

    def __init__(self, relay: "StreamRelay") -> None:
        self.ended: Deferred = Deferred()
        self._relay = relay
        self._tail: Any = None
        self._scanner = relay.scanner
        self._write = relay.request.write

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward the data that the scanner releases; drop a target whose event has no end."""
        if self.ended.called and self._tail is None:
            return
        forwarded = self._scanner.feed(data)
        if forwarded and not self._relay.caller.gone:
            self._write(forwarded)
        if self._scanner.is_too_long:
            self.drop(RelayEnd.CUT)
        if self._scanner.complete and self._tail is None:
            self._tail = self._relay.clock.callLater(_TAIL_TIMEOUT_S, self._close)
            self._end(RelayEnd.COMPLETE)

    def _close(self) -> None:
        """Close a connection that has sent all that is needed."""
        self.transport.loseConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """End the relay; an answer without its end marker was cut."""
        if self._tail is not None and self._tail.active():
            self._tail.cancel()
        is_complete = self._scanner.end(bool(reason.check(ResponseDone)))
        self._end(RelayEnd.COMPLETE if is_complete else RelayEnd.CUT)

    def drop(self, end: RelayEnd) -> None:
        """End the relay and close the target's connection."""
        if not self.ended.called:
            self._end(end)
            self._close()

    def _end(self, end: RelayEnd) -> None:
        """Report the end once; data that still follows is read and discarded."""
        if not self.ended.called:
            self.transport.resumeProducing()
            self.ended.callback(end)


@implementer(IPushProducer)
class StreamRelay:
    """One caller's stream, fed by consecutive answers of a target.

    A caller that does not read for `stall_timeout_s` is disconnected. A target that
    sends nothing for that long while the caller reads counts as stalled.
    """

    def __init__(
        self,
        request: Any,
        caller: Caller,
        scanner: EventScanner,
        clock: Any,
        stall_timeout_s: float,
    ) -> None:
        self.request = request
        self.caller = caller
        self.scanner = scanner
        self.clock = clock
        self._stall_timeout_s = stall_timeout_s
        self._body: _Body | None = None
        self._paused = False
        self._received = -1
        self._check: Any = None
        request.registerProducer(self, True)
        caller.when_gone(self.stopProducing)

    async def relay(self, response: IResponse) -> RelayEnd:
        """Relay one answer and return how it ended."""
        if self.caller.gone:
            return RelayEnd.CALLER_GONE
        self.scanner.restart()
        self._body = _Body(self)
        self._received = -1
        self._check = self.clock.callLater(self._stall_timeout_s, self._check_progress)
        response.deliverBody(self._body)
        if self._paused:
            self._body.transport.pauseProducing()
        end = await self._body.ended
        self._check.cancel()
        return end

    def close(self) -> None:
        """Detach from the caller's connection after the last answer."""
        if not self.caller.gone:
            self.request.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the target because the caller reads too slowly."""
        self._paused = True
        if self._body is not None and not self._body.ended.called:
            self._body.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the target."""
        self._paused = False
        if self._body is not None and not self._body.ended.called:
            self._body.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the answer because the caller disconnected."""
        if self._body is not None:
            self._body.drop(RelayEnd.CALLER_GONE)

    def _check_progress(self) -> None:
        """Drop the caller or the target if no data arrived since the last check.

        While reading is paused the caller is the cause, otherwise the target.
        """
        self._check = self.clock.callLater(self._stall_timeout_s, self._check_progress)
        received = self.scanner.received_chunks
        if received != self._received:
            self._received = received
            return
        if self._paused:
            self.caller.abort()
            return
        self._body.drop(RelayEnd.STALLED)
