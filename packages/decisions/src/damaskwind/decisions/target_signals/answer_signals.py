"""Parse the signals of a target from the header of an answer.

Both forms of Retry-After in RFC 9110, section 10.2.3, are accepted, and fractions of a second.
Retry-After counts as a signal of the target only with status 503: with 429 it may concern a
single client account.
"""

from math import isfinite
from typing import NamedTuple

__all__ = ["NO_SIGNALS", "AnswerSignals", "parse_brittleness", "parse_signals"]

_UNAVAILABLE = 503
# Longer numbers are no counts of refusals.
_MAX_DIGITS = 10


class AnswerSignals(NamedTuple):
    """What one answer asks for: a pause of `rest_s` seconds, or no more requests at all."""

    rest_s: float = 0.0
    is_leaving: bool = False


NO_SIGNALS = AnswerSignals()


def parse_signals(
    status: int,
    retry_after: bytes | None = None,
    leaving: bytes | None = None,
    date: bytes | None = None,
) -> AnswerSignals:
    """Return the signals of an answer; a malformed value is ignored.

    `date` is the answer's Date header. An HTTP date in Retry-After is measured from it, since
    the clocks of the two VMs may differ by seconds.

    >>> parse_signals(503, b"1.5")
    AnswerSignals(rest_s=1.5, is_leaving=False)
    >>> parse_signals(503, b"-3")
    AnswerSignals(rest_s=0.0, is_leaving=False)
    >>> parse_signals(503, b"soon")
    AnswerSignals(rest_s=0.0, is_leaving=False)
    >>> parse_signals(200, b"3", b"1")
    AnswerSignals(rest_s=0.0, is_leaving=True)
    >>> at, until = b"Thu, 03 Dec 2026 12:00:00 GMT", b"Thu, 03 Dec 2026 12:00:03 GMT"
    >>> parse_signals(503, until, date=at).rest_s, parse_signals(503, until).rest_s
    (3.0, 0.0)
    """
    rest_s = 0.0
    if status == _UNAVAILABLE and retry_after:
        rest_s = _seconds(retry_after)
        if rest_s is None:
            rest_s = _seconds_between(date, retry_after)
    return AnswerSignals(rest_s, leaving is not None and leaving.strip() == b"1")


def parse_brittleness(value: bytes | None) -> int | None:
    """Return how many refusals a second a target bears, `None` if it does not say or badly.

    >>> parse_brittleness(b"3"), parse_brittleness(b"-1"), parse_brittleness(None)
    (3, None, None)
    """
    digits = (value or b"").strip()
    return int(digits) if digits.isdigit() and len(digits) < _MAX_DIGITS else None


def _seconds(value: bytes) -> float | None:
    """Parse a number of seconds; 0 if it is not positive and finite, `None` if not a number."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if isfinite(seconds) and seconds > 0 else 0.0


def _seconds_between(date: bytes | None, until: bytes) -> float:
    """Return the seconds from one HTTP date to another; 0 if either is malformed."""
    if date is None:
        return 0.0
    # Imported here: rarely needed, and it takes a tenth of a small process's start time.
    from email.utils import parsedate_to_datetime

    try:
        times = [parsedate_to_datetime(value.decode("latin-1")) for value in (date, until)]
        return max((times[1] - times[0]).total_seconds(), 0.0)
    except (TypeError, ValueError):
        return 0.0
