"""Read the target of a request that is written in absolute form."""

import re
from typing import NamedTuple

__all__ = ["AbsoluteTarget", "read_absolute"]

# RFC 9112, section 3.2.2: the target of a request that a caller sends as to a proxy.
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?]+)(.*)", re.IGNORECASE | re.DOTALL)


class AbsoluteTarget(NamedTuple):
    """The host that a target in absolute form names, and the same target in origin form."""

    host: bytes
    origin_form: bytes


def read_absolute(target: bytes) -> AbsoluteTarget | None:
    """Return the parts of a target in absolute form, `None` if it has another form.

    >>> read_absolute(b"http://h.example:80?c"), read_absolute(b"/http://h/")
    (AbsoluteTarget(host=b'h.example:80', origin_form=b'/?c'), None)
    """
    absolute = _ABSOLUTE_FORM.fullmatch(target)
    if absolute is None:
        return None
    host, rest = absolute.groups()
    return AbsoluteTarget(host, rest if rest.startswith(b"/") else b"/" + rest)
