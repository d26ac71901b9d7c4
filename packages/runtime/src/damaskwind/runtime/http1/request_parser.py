"""Parse the requests of one connection, and encode the answers to them."""

import sys
from typing import Any

import h11

__all__ = ["EMPTY_LINES", "REQUEST_LINE_BYTES", "RequestParser", "header_bytes", "head_bytes"]

# Whether callers count the request line to the header bytes is not known. It may have this size on
# top of them, which RFC 9112, section 3, recommends to support.
REQUEST_LINE_BYTES = 8000
# What is read before a request line and ignored (RFC 9112, section 2.2): some callers end a body
# with an empty line that its length does not count.
EMPTY_LINES = b"\r\n"


def header_bytes(head: h11.Request) -> int:
    """Return the least size that the header fields of a request have on the wire.

    The space after a colon is optional, and is not known any more.
    """
    return sum(len(name) + len(value) + len(b":\r\n") for name, value in head.headers)


def head_bytes(head: h11.Request) -> int:
    """Return the size of the request line and the least size of the header fields."""
    line_bytes = len(head.method) + len(head.target) + len(b"  HTTP/1.1\r\n")
    return line_bytes + header_bytes(head)


def _open_connection() -> h11.Connection:
    """Return a connection of h11 that leaves it to its user to limit the size of a head."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)


class RequestParser:
    """The parser of one connection, which takes one request after the other."""

    def __init__(self) -> None:
        self._connection = _open_connection()

    @property
    def unparsed_bytes(self) -> int:
        """Return the size of what was received and is not parsed yet."""
        return len(self._connection.trailing_data[0])

    @property
    def has_request_ahead(self) -> bool:
        """Return whether any of another request was received."""
        return bool(self._connection.trailing_data[0].lstrip(EMPTY_LINES))

    @property
    def has_head(self) -> bool:
        """Return whether a head was read by the parser in use, which may have replaced another."""
        return self._connection.their_state is not h11.IDLE

    @property
    def is_finished(self) -> bool:
        """Return whether the whole answer to the present request was encoded."""
        return self._connection.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def is_continue_awaited(self) -> bool:
        """Return whether the caller waits for the status 100 before it sends a body."""
        return self._connection.they_are_waiting_for_100_continue

    def receive(self, data: bytes) -> None:
        """Add bytes, of which there is at least one."""
        self._connection.receive_data(data)

    def next_event(self) -> Any:
        """Return the next event of the present request, or that more bytes are needed."""
        return self._connection.next_event()

    def begin_next(self) -> bool:
        """Prepare for the next request; return `False` if the connection must close instead."""
        connection = self._connection
        if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        self._skip_empty_lines()
        return True

    def _skip_empty_lines(self) -> None:
        """Drop the empty lines before the next request, which h11 would refuse."""
        data, _ = self._connection.trailing_data
        rest = data.lstrip(EMPTY_LINES)
        if rest == data:
            return
        self._connection = _open_connection()
        if rest:
            self._connection.receive_data(rest)

    def recover(self) -> None:
        """Allow another answer in place of one that h11 refused, and of which nothing is sent."""
        if self._connection.our_state is h11.ERROR:
            self._connection = _open_connection()

    def encode_continue(self) -> bytes:
        """Return the answer that asks for a body."""
        return self._connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def encode(self, *events: Any) -> bytes:
        """Return the bytes of parts of an answer."""
        return b"".join(self._connection.send(event) or b"" for event in events)
