"""Split a stream of server-sent events into complete events, read their ids, find its open end.

Following the WHATWG HTML standard, section 9.2, an event ends with an empty line, and its
field `id` identifies it. Line ends may be LF or CRLF.
"""

import re

__all__ = ["EventBoundary", "EventSplitter", "event_id"]

# The ends of an event; two line ends of which the first may be CRLF or LF.
_END_MARKS = (b"\n\n", b"\n\r\n")
_MARK_BYTES = max(map(len, _END_MARKS))
_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


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
        # An end of up to 4 bytes may begin in the partial event, whose other bytes contain none.
        scanned_bytes = max(0, len(self.partial) - 3)
        buffer = self.partial + data
        events = []
        start = 0
        for match in _END.finditer(buffer, scanned_bytes):
            events.append(buffer[start : match.end()])
            start = match.end()
        self.partial = buffer[start:]
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
        self._tail = b""

    def feed(self, data: bytes) -> int:
        """Add a chunk and return the bytes since the last end of an event."""
        buffer = self._tail + data
        found = [(buffer.rfind(mark), len(mark)) for mark in _END_MARKS]
        ends = [start + size for start, size in found if start >= 0]
        self.open_bytes = len(buffer) - max(ends) if ends else self.open_bytes + len(data)
        self._tail = buffer[1 - _MARK_BYTES :]
        return self.open_bytes
