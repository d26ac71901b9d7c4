"""Requests and answers as the rest of the project sees them."""

from typing import NamedTuple

__all__ = ["Answer", "Headers", "Request", "header", "without"]

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: these concern one connection and are never passed on.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class Request(NamedTuple):
    """A whole request: names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes = b""


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or `None`.

    >>> header([(b"host", b"a")], b"host")
    b'a'
    """
    return next((value for key, value in headers if key == name), None)


def without(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers that concern both ends, less the dropped ones.

    A header that `Connection` names concerns one connection too.
    """
    named = {
        item.strip().lower()
        for key, value in headers
        if key == b"connection"
        for item in value.split(b",")
    }
    leave_out = CONNECTION_HEADERS | dropped | named
    return [(key, value) for key, value in headers if key not in leave_out]
