"""Bring the requests of callers into the form in which an origin server takes them."""

from damaskwind.decisions.routing.request_target import read_absolute
from damaskwind.runtime.http1.messages import Request

__all__ = ["in_origin_form"]


def in_origin_form(request: Request) -> Request:
    """Return a request with a path as its target, and with the host that its target named.

    RFC 9112, section 3.2.2: the host of a target in absolute form replaces that of the field.

    >>> in_origin_form(Request(b"GET", b"http://h/a?b", [(b"host", b"x"), (b"n", b"1")]))[1:3]
    (b'/a?b', [(b'host', b'h'), (b'n', b'1')])
    """
    absolute = read_absolute(request.target)
    if absolute is None:
        return request
    others = [(name, value) for name, value in request.headers if name != b"host"]
    headers = [(b"host", absolute.host), *others]
    return request._replace(target=absolute.origin_form, headers=headers)
