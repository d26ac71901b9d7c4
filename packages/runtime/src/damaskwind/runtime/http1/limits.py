"""The limits on what callers may send, where these change while requests are being read."""

from collections import deque
from typing import NamedTuple

__all__ = ["GRACE_S", "READ_AHEAD_BYTES", "LimitHistory", "ServerLimits"]

# A request that was sent under limits which have been replaced since may still be on its way for
# this time, which is that of the first retransmission of a lost packet (RFC 6298).
GRACE_S = 1.0
# Replaced limits that are remembered; a request during which there are more of them is held to
# the latest.
MAX_REPLACED = 64


# An ordinary caller sends nothing before the answer to its last request has ended.
READ_AHEAD_BYTES = 16_384


class ServerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle.

    Of the requests behind the present one, `read_ahead_bytes` are read before its answer has ended.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    read_ahead_bytes: int = READ_AHEAD_BYTES


class _Replaced(NamedTuple):
    """Limits that were in force until a monotonic time."""

    limits: ServerLimits
    until_s: float


class LimitHistory:
    """The limits in force and those before them. Times are monotonic seconds."""

    def __init__(self, limits: ServerLimits) -> None:
        self.present = limits
        self._replaced: deque[_Replaced] = deque(maxlen=MAX_REPLACED)

    def replace(self, limits: ServerLimits, now_s: float) -> None:
        """Put other limits in force."""
        if limits != self.present:
            self._replaced.append(_Replaced(self.present, now_s))
            self.present = limits

    def largest_since(self, begun_s: float) -> ServerLimits:
        """Return the largest sizes allowed at any time since a request was sent.

        `begun_s` is when its first byte was received. A caller can't know that limits have
        changed since it sent a request, so that the limits then still apply.

        >>> history = LimitHistory(ServerLimits(body_bytes=200))
        >>> history.replace(ServerLimits(body_bytes=100), 5.0)
        >>> [history.largest_since(begun_s).body_bytes for begun_s in (4.0, 5.5, 6.5)]
        [200, 200, 100]
        """
        largest = self.present
        for replaced in reversed(self._replaced):
            if replaced.until_s + GRACE_S < begun_s:
                break
            largest = largest._replace(
                header_bytes=max(largest.header_bytes, replaced.limits.header_bytes),
                body_bytes=max(largest.body_bytes, replaced.limits.body_bytes),
            )
        return largest
