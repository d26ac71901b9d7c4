"""HTTP requests and answers, independent of the parser."""

from typing import NamedTuple

__all__ = ["Answer", "Headers", "Request", "header", "is_bodiless", "stated_length", "without"]

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

# RFC 9110, sections 15.3.5 and 15.4.5: such answers have no body.
NO_CONTENT = 204
BODILESS_STATUSES = (NO_CONTENT, 304)


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


def is_bodiless(method: bytes, status: int) -> bool:
    """Return whether the answer to a request has no body, whatever its headers state.

    >>> is_bodiless(b"HEAD", 200), is_bodiless(b"GET", 304), is_bodiless(b"GET", 200)
    (True, True, False)
    """
    return method == b"HEAD" or status in BODILESS_STATUSES


def stated_length(status: int, headers: Headers) -> Headers:
    """Return the length that an answer without a body states, which is that of another's body.

    RFC 9110, section 8.6: it is the length of the body that a GET would get; a 204 has none.

    >>> stated_length(200, [(b"content-length", b"12"), (b"x", b"y")])
    [(b'content-length', b'12')]
    """
    if status == NO_CONTENT:
        return []
    return [(name, value) for name, value in headers if name == b"content-length"]
