"""Give a caller one answer, though it may come from several runs in turn.

A resumable stream is passed on in whole events only, so that another target
can go on after the last of them inside the same answer; events that were
already passed on are left out. Any other stream is passed on as it comes.
"""

from damaskwind.router.forwarding.events import EventSplitter, event_id
from damaskwind.runtime.http1.client import AnswerHead
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer, without

__all__ = ["Delivery"]


class Delivery:
    """What one caller has got so far."""

    def __init__(self, exchange: Exchange, is_resumable: bool) -> None:
        self._exchange = exchange
        self._is_resumable = is_resumable
        self._splitter = EventSplitter()
        self.last_event: int | None = None
        self.events = 0
        self.bytes = 0

    @property
    def has_begun(self) -> bool:
        """Tell whether the caller has the head of an answer."""
        return self._exchange.has_begun

    def resume_after(self, asked: int | None) -> int | None:
        """Return the event after which a run has to go on; `asked` is the caller's own."""
        return asked if self.last_event is None else self.last_event

    def send_whole(self, answer: Answer) -> None:
        """Pass on a whole answer."""
        headers = without(answer.headers, frozenset())
        self.bytes += len(answer.body)
        self._exchange.respond(Answer(answer.status, headers, answer.body))

    def begin_stream(self, head: AnswerHead) -> None:
        """Pass on the head of the first run; those of later runs are left out."""
        self._splitter = EventSplitter()
        if not self.has_begun:
            self._exchange.begin(head.status, without(head.headers, frozenset()))

    def write_stream(self, data: bytes) -> None:
        """Pass on a piece of a stream."""
        if not self._is_resumable:
            self.bytes += len(data)
            self._exchange.write(data)
            return
        for event in self._splitter.feed(data):
            self._write_event(event)

    def _write_event(self, event: bytes) -> None:
        """Pass on an event that the caller does not have."""
        number = event_id(event)
        if number is not None:
            if self.last_event is not None and number <= self.last_event:
                return
            self.last_event = number
        self.events += 1
        self.bytes += len(event)
        self._exchange.write(event)

    def end_stream(self) -> bool:
        """End the answer as complete, unless the run ended inside an event."""
        if self._is_resumable and self._splitter.rest:
            return False
        self._exchange.finish()
        return True

    async def drained(self) -> None:
        """Wait until the caller has taken most of it."""
        await self._exchange.drained()
