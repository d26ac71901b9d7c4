"""HTTP requests and answers, independent of the parser."""

from typing import NamedTuple

__all__ = ["Answer", "Headers", "Request", "header", "without"]

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: these apply to one connection and are never forwarded.
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
    """A whole request; the names of its headers are in lower case."""

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
    """Return the end-to-end headers, without the dropped ones.

    The headers that `Connection` names apply to one connection and are left out too.
    """
    named = {
        item.strip().lower()
        for key, value in headers
        if key == b"connection"
        for item in value.split(b",")
    }
    leave_out = CONNECTION_HEADERS | dropped | named
    return [(key, value) for key, value in headers if key not in leave_out]
