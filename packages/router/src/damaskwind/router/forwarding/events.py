"""Split a stream of server-sent events into complete events, read their ids, find its open end.

Following the WHATWG HTML standard, section 9.2, an event ends with an empty line, and its
field `id` identifies it. Line ends are LF, CRLF or CR. Further empty lines belong to no event.
"""

import re

__all__ = ["EventBoundary", "EventSplitter", "event_id", "is_blank"]

_LINE_ENDS = b"\r\n"
# The end of an event, with the empty lines that follow. A lone CR after another kind of line end
# is most likely a CRLF whose LF is missing yet, so that the event is still open.
_END = re.compile(rb"(?:\r?\n\r?\n|\r\r)[\r\n]*")
# An end that a chunk completes may begin in this many bytes before it.
_KEPT_BYTES = 3
_ID = re.compile(rb"(?:^|[\r\n])id: ?(\d+)(?:[\r\n]|$)")


def is_blank(data: bytes) -> bool:
    r"""Return whether data consists of line ends alone.

    >>> is_blank(b"\r\n"), is_blank(b"id")
    (True, False)
    """
    return not data.strip(_LINE_ENDS)


def event_id(event: bytes) -> int | None:
    r"""Return the numeric id of an event, or `None`.

    >>> event_id(b"id: 12\ndata: x\n\n"), event_id(b"data: x\n\n")
    (12, None)
    """
    match = _ID.search(event)
    return int(match.group(1)) if match else None


class EventSplitter:
    r"""Buffers chunks of a stream and returns complete events.

    `partial` is the start of an event that is still incomplete.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\n\nid: 2\n")
    [b'id: 1\n\n']
    >>> splitter.partial
    b'id: 2\n'
    """

    def __init__(self) -> None:
        self.partial = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add a chunk and return the events that are complete now."""
        scanned_bytes = max(0, len(self.partial) - _KEPT_BYTES)
        buffer = self.partial + data
        events = []
        start = 0
        for match in _END.finditer(buffer, scanned_bytes):
            events.append(buffer[start : match.end()])
            start = match.end()
        self.partial = buffer[start:]
        if self.partial and is_blank(self.partial):
            events.append(self.partial)
            self.partial = b""
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
