"""Split a stream of server-sent events into complete events, read their ids, find its open end.

Following the WHATWG HTML standard, section 9.2, an event ends with an empty line, and its
field `id` identifies it. Line ends are LF, CRLF or CR. Further empty lines belong to no event.
Neither an event nor a run of empty lines may exceed `MAX_EVENT_BYTES`, since it may have no end.
"""

import re

from damaskwind.runtime.http1.answer_errors import AnswerTooLongError

__all__ = [
    "MAX_EVENT_BYTES",
    "EmptyLines",
    "EventBoundary",
    "EventSplitter",
    "check_event",
    "event_id",
    "has_data",
    "is_blank",
]

# An event is held until it is complete where its stream may be resumed. Events of sound targets
# have some KB.
MAX_EVENT_BYTES = 1024 * 1024

_LINE_ENDS = b"\r\n"
_NOT_BLANK = re.compile(rb"[^\r\n]")
# The end of an event, with the empty lines that follow. A lone CR after another kind of line end
# is most likely a CRLF whose LF is missing yet, so that the event is still open.
_END = re.compile(rb"(?:\r?\n\r?\n|\r\r)[\r\n]*")
# An end that a chunk completes may begin in this many bytes before it.
_KEPT_BYTES = 3
_ID = re.compile(rb"(?:^|[\r\n])id(?:: ?([^\r\n]*))?(?=[\r\n]|$)")
_DATA = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n]|$)")


def is_blank(data: bytes | bytearray) -> bool:
    r"""Return whether data consists of line ends alone.

    >>> is_blank(b"\r\n"), is_blank(b"id")
    (True, False)
    """
    return _NOT_BLANK.search(data) is None


def event_id(event: bytes) -> bytes | None:
    r"""Return the bytes of an event's id, `None` if it has no field `id`.

    The last field counts. One with a NUL is ignored, as the standard has it.

    >>> event_id(b"id: 7-1\ndata: x\n\n"), event_id(b"id\n\n"), event_id(b"data: x\n\n")
    (b'7-1', b'', None)
    """
    values = [match.group(1) or b"" for match in _ID.finditer(event)]
    values = [value for value in values if b"\0" not in value]
    return values[-1] if values else None


def has_data(event: bytes) -> bool:
    r"""Return whether an event has a field `data`; others are not dispatched.

    >>> has_data(b"data: x\n\n"), has_data(b": still there\n\n")
    (True, False)
    """
    return _DATA.search(event) is not None


def check_event(size_bytes: int) -> None:
    """Raise `AnswerTooLongError` if an event, or what has come of one, exceeds its bound."""
    if size_bytes > MAX_EVENT_BYTES:
        raise AnswerTooLongError("event", MAX_EVENT_BYTES)


class EmptyLines:
    r"""Counts the bytes of the line ends at the end of a stream.

    >>> lines = EmptyLines()
    >>> [lines.feed(data) for data in (b"data: x\n\n", b"\r\n", b"data: y", b"\n")]
    [2, 4, 0, 1]
    """

    def __init__(self) -> None:
        self.size_bytes = 0

    def feed(self, data: bytes) -> int:
        """Add a chunk and return the bytes of the run that it ends with.

        Raise `AnswerTooLongError` if the run exceeds the bound of an event.
        """
        run_bytes = len(data) - len(data.rstrip(_LINE_ENDS))
        self.size_bytes = run_bytes + (self.size_bytes if run_bytes == len(data) else 0)
        if self.size_bytes > MAX_EVENT_BYTES:
            raise AnswerTooLongError("run of empty lines", MAX_EVENT_BYTES)
        return self.size_bytes


class EventSplitter:
    r"""Buffers chunks of a stream and returns complete events.

    `partial` is the start of an event that is still incomplete, of `open_bytes`. A chunk costs
    time by its own length, whatever is held.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\n\nid: 2\n")
    [b'id: 1\n\n']
    >>> splitter.partial
    b'id: 2\n'
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def open_bytes(self) -> int:
        """Return how much of an event has come whose end has not."""
        return len(self._buffer)

    @property
    def partial(self) -> bytes:
        """Return a copy of the start of an event that is still incomplete."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add a chunk and return the events that are complete now."""
        buffer = self._buffer
        scanned_bytes = max(0, len(buffer) - _KEPT_BYTES)
        buffer += data
        ends = [match.end() for match in _END.finditer(buffer, scanned_bytes)]
        starts = [0, *ends[:-1]]
        events = [bytes(buffer[start:end]) for start, end in zip(starts, ends, strict=False)]
        if ends:
            del buffer[: ends[-1]]
        if buffer and is_blank(buffer):
            events.append(bytes(buffer))
            buffer.clear()
        return events


class EventBoundary:
    r"""Tells how many bytes of a stream follow the end of its last complete event.

    It keeps no bytes of the stream beyond what an end may begin with.

    >>> boundary = EventBoundary()
    >>> [boundary.feed(data) for data in (b"id: 1\n", b"\nid: 2", b"\r\n\r", b"\n")]
    [6, 5, 8, 0]
    """

    def __init__(self) -> None:
        self.open_bytes = 0
        # Line ends at the start of a stream belong to no event, like those after one.
        self._tail = b"\n\n"

    def feed(self, data: bytes) -> int:
        """Add a chunk and return the bytes since the last end of an event."""
        buffer = self._tail + data
        end = None
        for match in _END.finditer(buffer):
            end = match.end()
        self.open_bytes = self.open_bytes + len(data) if end is None else len(buffer) - end
        self._tail = buffer[-_KEPT_BYTES:]
        return self.open_bytes
