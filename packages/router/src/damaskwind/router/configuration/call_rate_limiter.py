"""Space calls that fail over and over, so that their bytes stay within a rate.

>>> limiter = CallRateLimiter(100.0, now_s=0.0)
>>> limiter.spend(1500, now_s=0.0)
>>> limiter.pause_s(now_s=0.0), limiter.pause_s(now_s=3.0)
(5.0, 2.0)
"""

__all__ = ["CallRateLimiter"]

BURST_S = 10.0
MAX_PAUSE_S = 30.0


class CallRateLimiter:
    """A limiter of bytes per second with a burst of `BURST_S` seconds and a maximum pause."""

    def __init__(self, bytes_per_s: float, now_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._paid_until_s = now_s - BURST_S

    def spend(self, size_bytes: int, now_s: float) -> None:
        """Count bytes of a call."""
        start_s = max(self._paid_until_s, now_s - BURST_S)
        self._paid_until_s = min(start_s + size_bytes / self._bytes_per_s, now_s + MAX_PAUSE_S)

    def pause_s(self, now_s: float) -> float:
        """Return how long the next call has to wait."""
        return max(self._paid_until_s - now_s, 0.0)
