"""Space calls that fail over and over, so that their bytes stay within a rate.

>>> pace = CallPace(100.0, now_s=0.0)
>>> pace.spend(1500, now_s=0.0)
>>> pace.pause_s(now_s=0.0), pace.pause_s(now_s=3.0)
(5.0, 2.0)
"""

__all__ = ["CallPace"]

CREDIT_S = 10.0
LONGEST_PAUSE_S = 30.0


class CallPace:
    """A rate of bytes with `CREDIT_S` of it to spend at once; no pause is endless."""

    def __init__(self, bytes_per_s: float, now_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._paid_s = now_s - CREDIT_S

    def spend(self, size_bytes: int, now_s: float) -> None:
        """Count bytes of a call."""
        start_s = max(self._paid_s, now_s - CREDIT_S)
        self._paid_s = min(start_s + size_bytes / self._bytes_per_s, now_s + LONGEST_PAUSE_S)

    def pause_s(self, now_s: float) -> float:
        """Return how long the next call has to wait."""
        return max(self._paid_s - now_s, 0.0)
