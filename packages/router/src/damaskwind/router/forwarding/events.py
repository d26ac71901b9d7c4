"""Cut a stream of server-sent events into whole events and know their ids.

After the WHATWG HTML standard, section 9.2: an event ends with an empty line,
and the field `id` names it. Line ends are LF or CRLF.
"""

import re

__all__ = ["EventSplitter", "event_id"]

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


def event_id(event: bytes) -> int | None:
    r"""Return the id of an event, if it has one.

    >>> event_id(b"id: 12\ndata: x\n\n"), event_id(b"data: x\n\n")
    (12, None)
    """
    match = _ID.search(event)
    return int(match.group(1)) if match else None


class EventSplitter:
    r"""Gather pieces and return whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\n\nid: 2\n")
    [b'id: 1\n\n']
    >>> splitter.rest
    b'id: 2\n'
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take a piece and return the events that are whole now."""
        buffer = self.rest + data
        events = []
        start = 0
        for match in _END.finditer(buffer):
            events.append(buffer[start : match.end()])
            start = match.end()
        self.rest = buffer[start:]
        return events
