"""Pass a caller's body on to a target while it still arrives, with backpressure."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = ["Upload"]


class CallerLeftError(Exception):
    """The caller went away in the middle of its body."""


@implementer(IBodyProducer)
class Upload:
    """A body that arrives piece by piece.

    `begun` is set once a target was given the first piece: from then on the
    body can't be sent to another one.
    """

    def __init__(
        self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.begun = False
        self.complete = False
        self._pause = pause
        self._resume = resume
        self._waiting: list[bytes] = []
        self._consumer: Any = None
        self._done: Deferred = Deferred()
        self._discarding = False

    def receive(self, data: bytes) -> None:
        """Take a piece from the caller."""
        if self._discarding:
            return
        if self._consumer is not None:
            self._consumer.write(data)
            return
        self._waiting.append(data)
        self._pause()

    def finish(self) -> None:
        """Note that the caller sent its last piece."""
        self.complete = True
        if self._consumer is not None:
            self._fire(None)

    def fail(self) -> None:
        """Note that the caller went away before its last piece."""
        if not self.complete:
            self._fire(CallerLeftError("the caller left in the middle of its body"))

    def startProducing(self, consumer: Any) -> Deferred:  # noqa: N802
        """Begin to pass the body on."""
        self.begun = True
        self._consumer = consumer
        waiting, self._waiting = self._waiting, []
        for data in waiting:
            consumer.write(data)
        if self.complete:
            self._fire(None)
        else:
            self._resume()
        return self._done

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no more from the caller: the target reads too slowly."""
        if not self.complete:
            self._pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read from the caller again."""
        if not self.complete:
            self._resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the rest: the target wants no more."""
        self._discarding = True
        self._consumer = None
        self._resume()

    def _fire(self, result: Any) -> None:
        """End the body, once."""
        done, self._consumer = self._done, None
        self._discarding = True
        if not done.called and self.begun:
            (done.errback if isinstance(result, Exception) else done.callback)(result)
