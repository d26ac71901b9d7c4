"""Deliver one answer to a caller, which may be assembled from several attempts.

A resumable stream is forwarded in complete events only, so that another target can continue
the same answer after the last of them; events that were already forwarded are skipped. Any
other stream is forwarded as it arrives. No stream of events that ends inside one is complete,
however its target framed it.
"""

from damaskwind.router.forwarding.event_position import EventPosition
from damaskwind.router.forwarding.events import (
    EmptyLines,
    EventBoundary,
    EventSplitter,
    check_event,
    is_blank,
)
from damaskwind.runtime.http1.answer_errors import AnswerTooLongError
from damaskwind.runtime.http1.client import AnswerHead
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.held_memory import RequestAccount
from damaskwind.runtime.http1.messages import Answer, header, without

__all__ = ["Delivery"]

# An answer up to this size is sent in one write.
WHOLE_BYTES = 16_384
# Events that arrive together are written one by one up to this many; more are joined, since each
# write costs a system call, and a target may send thousands of small ones at once.
MAX_SINGLE_EVENTS = 64
EVENT_STREAM = b"text/event-stream"


def _has_events(head: AnswerHead) -> bool:
    """Return whether a stream consists of events.

    A body whose type isn't stated may be anything, so a frame that ends it is believed. Where
    there is no frame either, the ends of events are the only sign that it is whole. The bytes
    of a compressed stream show no ends of events.
    """
    if header(head.headers, b"content-encoding") not in (None, b"identity"):
        return False
    content_type = header(head.headers, b"content-type")
    if content_type is None:
        return head.is_unframed
    return content_type.lower().startswith(EVENT_STREAM)


def _states_events(head: AnswerHead) -> bool:
    """Return whether a stream is stated to consist of events, so that each has to end."""
    return _has_events(head) and header(head.headers, b"content-type") is not None


class Delivery:
    """The answer to one caller, as far as it was delivered."""

    def __init__(self, exchange: Exchange, is_resumable: bool) -> None:
        self._exchange = exchange
        self._is_resumable = is_resumable
        self._splitter = EventSplitter()
        self._boundary = EventBoundary()
        self._empty_lines = EmptyLines()
        self._has_events = True
        self._is_bounded = True
        self._is_unframed = False
        self._has_event = False
        self._is_skipping = False
        self._position = EventPosition()
        self.events = 0
        self.bytes = 0

    @property
    def account(self) -> RequestAccount | None:
        """Return the account of held bytes, `None` if they are not accounted for."""
        return self._exchange.account

    @property
    def has_begun(self) -> bool:
        """Tell whether the head of an answer was sent to the caller."""
        return self._exchange.has_begun

    @property
    def open_bytes(self) -> int:
        """Return how much of an event has arrived whose end has not; 0 between two events."""
        if self._is_resumable:
            return self._splitter.open_bytes
        return self._boundary.open_bytes if self._has_events else 0

    @property
    def held_bytes(self) -> int:
        """Return what is held of an event until it is complete."""
        return self._splitter.open_bytes

    @property
    def can_go_on(self) -> bool:
        """Return whether another attempt can go on after the events that were sent."""
        return self._position.can_go_on

    def resume_after(self, asked: bytes | None) -> bytes | None:
        """Return the id of the event to resume after; `asked` is what the caller requested."""
        last_id = self._position.last_id
        return asked if last_id is None else last_id

    def send_whole(self, answer: Answer) -> None:
        """Send a complete answer."""
        self.bytes += len(answer.body)
        self._exchange.pass_on(answer)

    def send_pieces(self, head: AnswerHead, pieces: list[bytes]) -> None:
        """Send a complete answer whose body is held in pieces, which are freed one by one."""
        size_bytes = sum(map(len, pieces))
        if size_bytes <= WHOLE_BYTES:
            self.send_whole(Answer(head.status, head.headers, b"".join(pieces)))
            return
        self.bytes += size_bytes
        headers = without(head.headers, frozenset())
        self._exchange.begin(head.status, [*headers, (b"content-length", b"%d" % size_bytes)])
        for piece in pieces:
            self._exchange.write(piece)
        self._exchange.finish()

    def begin_stream(self, head: AnswerHead) -> None:
        """Send the head of the first attempt's stream; those of later attempts are dropped."""
        self._drop_partial()
        self._position.begin_attempt()
        self._boundary = EventBoundary()
        self._empty_lines = EmptyLines()
        self._has_events = _has_events(head)
        self._is_bounded = self._is_resumable or _states_events(head)
        self._is_unframed = head.is_unframed
        if not self.has_begun:
            self._exchange.begin(head.status, without(head.headers, frozenset()))

    def write_stream(self, data: bytes) -> None:
        """Forward a chunk of a stream.

        Raise `AnswerTooLongError` if an event, or a run of empty lines, exceeds its bound. Where
        a stream isn't stated to consist of events, and passes as it comes, there is no bound.
        """
        if self._is_bounded:
            self._empty_lines.feed(data)
        if not self._is_resumable:
            self._write_chunk(data)
            return
        before_bytes = self._splitter.open_bytes
        events = self._splitter.feed(data)
        self._hold_partial(self._splitter.open_bytes - before_bytes)
        try:
            self._write_events(events)
            check_event(self._splitter.open_bytes)
        except AnswerTooLongError:
            self._drop_partial()
            raise

    def _write_chunk(self, data: bytes) -> None:
        """Forward a chunk of a stream that can't be resumed, whatever it contains."""
        open_bytes = self._boundary.feed(data)
        if self._is_bounded:
            check_event(open_bytes)
        self.bytes += len(data)
        self._has_event = self._has_event or not is_blank(data)
        self._exchange.write(data)

    def _drop_partial(self) -> None:
        """Drop the start of an event that won't be completed."""
        self._hold_partial(-self._splitter.open_bytes)
        self._splitter = EventSplitter()

    def _hold_partial(self, size_bytes: int) -> None:
        """Account for the start of an event, which is held until the event is complete."""
        if self.account is not None and size_bytes:
            self.account.hold(size_bytes)

    def _write_events(self, events: list[bytes]) -> None:
        """Send the events that the caller doesn't have yet."""
        passed = []
        try:
            for event in events:
                check_event(len(event))
                if self._may_pass(event):
                    passed.append(event)
        finally:
            if len(passed) > MAX_SINGLE_EVENTS:
                passed = [b"".join(passed)]
            for data in passed:
                self.bytes += len(data)
                self._exchange.write(data)

    def _may_pass(self, event: bytes) -> bool:
        """Return whether to send an event, or the empty lines after one, and count the event."""
        if is_blank(event):
            return not self._is_skipping
        self._is_skipping = not self._position.passes(event)
        if self._is_skipping:
            return False
        self._has_event = True
        self.events += 1
        return True

    def find_gap(self, asked: bytes | None) -> str:
        """Return what shows that a stream which has ended is not whole, if anything does.

        `asked` is the id of the event after which the caller asked for the rest. A stream without
        a frame that brings no event most likely failed before its first one; the rest of a stream
        may be empty.
        """
        if self.open_bytes:
            return "the stream ended inside an event"
        if self._position.is_behind:
            return "the stream ended before the last event that was sent"
        has_begun = self._has_event or bool(self.resume_after(asked))
        if self._is_unframed and self._has_events and not has_begun:
            return "the stream ended without a frame before its first event"
        return ""

    def end_stream(self) -> None:
        """Finish a stream that is whole."""
        self._exchange.finish()

    async def drained(self) -> None:
        """Wait until the caller has read most of what was written, unless the rest is held."""
        if self.account is None:
            await self._exchange.drained()

    async def flushed(self) -> bool:
        """Wait until the socket has accepted a held answer; return `False` if it was cut off."""
        return await self._exchange.flushed()
