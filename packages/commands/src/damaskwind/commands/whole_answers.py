"""Read whole answers of HTTP endpoints.

The standard library's client takes the end of a connection for the end of a head, and returns
what there is of a body: an answer that was cut looks whole.
"""

import socket
from typing import Any, NamedTuple

import h11

from damaskwind.model.exception import DamaskwindError

__all__ = ["AnswerCutError", "WholeAnswer", "read_whole_answer"]

_READ_BYTES = 65_536
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# RFC 9110, section 15.3.5: such an answer has no body.
_NO_CONTENT = 204
# The last valid status code (RFC 9110, section 15); the parser refuses those below 100.
_MAX_STATUS = 599
# An endpoint sends one or two informational answers before its answer, if any.
_MAX_INFORMATIONAL = 32


class AnswerCutError(DamaskwindError):
    """An answer ended early, or nothing tells where it ends."""


class WholeAnswer(NamedTuple):
    """The status and the body of an answer that has ended."""

    status: int
    body: bytes


def read_whole_answer(connection: socket.socket, method: str, limit_bytes: int) -> WholeAnswer:
    """Return the answer to a request that was sent; raise `AnswerCutError` if it is not whole.

    The socket's own errors, such as a timeout, are raised as they are.
    """
    reader = _Reader(connection, method)
    try:
        status = reader.read_status()
        return WholeAnswer(status, reader.read_body(limit_bytes))
    except h11.RemoteProtocolError as error:
        raise AnswerCutError(str(error)) from error


class _Reader:
    """The parser of one answer, and the socket that it comes from."""

    def __init__(self, connection: socket.socket, method: str) -> None:
        self._connection = connection
        self._parser = h11.Connection(h11.CLIENT)
        # Of the request that was sent, only its method matters to the parser.
        self._parser.send(h11.Request(method=method, target="/", headers=[("host", "-")]))
        self._parser.send(h11.EndOfMessage())

    def read_status(self) -> int:
        """Return the status in the head of the answer, after informational ones."""
        for _ in range(_MAX_INFORMATIONAL + 1):
            if not isinstance(head := self._next_event(), h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            raise AnswerCutError("there was no answer before the end or a bound")
        if head.status_code > _MAX_STATUS:
            raise AnswerCutError(f"status {head.status_code} is none")
        is_framed = any(name in _FRAMING_HEADERS for name, _ in head.headers)
        if not is_framed and head.status_code != _NO_CONTENT:
            raise AnswerCutError("the answer has neither a length nor chunks")
        return head.status_code

    def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body."""
        body = bytearray()
        while isinstance(event := self._next_event(), h11.Data):
            body += event.data
            if len(body) > limit_bytes:
                raise AnswerCutError(f"the answer has more than {limit_bytes} bytes")
        return bytes(body)

    def _next_event(self) -> Any:
        """Return the next event of the answer."""
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            self._parser.receive_data(self._connection.recv(_READ_BYTES))
        return event
