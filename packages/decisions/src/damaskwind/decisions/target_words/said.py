"""Read what a target asks for in the head of an answer.

Of a Retry-After both forms of RFC 9110, section 10.2.3, are read, and fractions of a second.
Only 503 makes it a wish of the target: 429 may speak of one client account.
"""

from math import isfinite
from typing import NamedTuple

__all__ = ["SAID_NOTHING", "Said", "read_said"]

_UNAVAILABLE = 503


class Said(NamedTuple):
    """What one answer asks for: no requests for `rest_s` seconds, or none any more."""

    rest_s: float = 0.0
    is_leaving: bool = False


SAID_NOTHING = Said()


def read_said(
    status: int,
    retry_after: bytes | None = None,
    leaving: bytes | None = None,
    date: bytes | None = None,
) -> Said:
    """Return what an answer asks for; what can't be read counts as not said.

    `date` is the answer's own, from which an HTTP date in Retry-After counts: the clocks of the
    two VMs may differ by seconds.

    >>> read_said(503, b"1.5"), read_said(503, b"-3"), read_said(503, b"soon")
    (Said(rest_s=1.5, is_leaving=False), Said(rest_s=0.0, is_leaving=False), Said(rest_s=0.0, \
is_leaving=False))
    >>> read_said(200, b"3", b"1")
    Said(rest_s=0.0, is_leaving=True)
    >>> at, until = b"Thu, 03 Dec 2026 12:00:00 GMT", b"Thu, 03 Dec 2026 12:00:03 GMT"
    >>> read_said(503, until, date=at).rest_s, read_said(503, until).rest_s
    (3.0, 0.0)
    """
    rest_s = 0.0
    if status == _UNAVAILABLE and retry_after:
        rest_s = _seconds(retry_after)
        if rest_s is None:
            rest_s = _seconds_between(date, retry_after)
    return Said(rest_s, leaving is not None and leaving.strip() == b"1")


def _seconds(value: bytes) -> float | None:
    """Return a number of seconds, 0 for one that names no time to come, `None` for no number."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if isfinite(seconds) and seconds > 0 else 0.0


def _seconds_between(date: bytes | None, until: bytes) -> float:
    """Return the seconds from one HTTP date to another; 0 where either can't be read."""
    if date is None:
        return 0.0
    # Rare, and a tenth of a small process's start.
    from email.utils import parsedate_to_datetime

    try:
        times = [parsedate_to_datetime(value.decode("latin-1")) for value in (date, until)]
        return max((times[1] - times[0]).total_seconds(), 0.0)
    except (TypeError, ValueError):
        return 0.0
