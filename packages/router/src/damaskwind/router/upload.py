"""Stream a caller's body to a target while it still arrives, with backpressure."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = ["Upload"]


class CallerLeftError(Exception):
    """The caller disconnected before the end of its body."""


@implementer(IBodyProducer)
class Upload:
    """A body that arrives piece by piece.

    `begun` is set when a target starts to receive the body: from then on the body
    can't be sent to another target.
    """

    def __init__(
        self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.begun = False
        self.complete = False
        self._pause = pause
        self._resume = resume
        self._buffered: list[bytes] = []
        self._consumer: Any = None
        self._done: Deferred = Deferred()
        self._discarding = False

    def receive(self, data: bytes) -> None:
        """Forward a piece from the caller, or buffer it until a target is connected."""
        if self._discarding:
            return
        if self._consumer is not None:
            self._consumer.write(data)
            return
        self._buffered.append(data)
        self._pause()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        if self._consumer is not None:
            self._finish(None)

    def fail(self) -> None:
        """Fail the body if the caller disconnected before its last piece."""
        if not self.complete:
            self._finish(CallerLeftError("the caller left in the middle of its body"))

    def startProducing(self, consumer: Any) -> Deferred:  # noqa: N802
        """Start to send the body to a target."""
        self.begun = True
        self._consumer = consumer
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            consumer.write(data)
        if self.complete:
            self._finish(None)
        else:
            self._resume()
        return self._done

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the caller because the target reads too slowly."""
        if not self.complete:
            self._pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the caller."""
        if not self.complete:
            self._resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the rest of the body because the target stopped reading."""
        self._discarding = True
        self._consumer = None
        self._resume()

    def _finish(self, result: Any) -> None:
        """Fire the Deferred of the body once, and discard what still arrives."""
        done, self._consumer = self._done, None
        self._discarding = True
        if not done.called and self.begun:
            (done.errback if isinstance(result, Exception) else done.callback)(result)
