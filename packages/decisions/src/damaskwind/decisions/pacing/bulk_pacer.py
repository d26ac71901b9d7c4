"""Pace large sends, so that the link is free for small ones that must not wait.

>>> pacer = BulkPacer(1000.0, now_s=0.0)
>>> pacer.reserve(100, now_s=0.0), pacer.reserve(300, now_s=0.0), pacer.reserve(10, now_s=0.0)
(0.0, 0.0, 0.3)
>>> pacer.reserve(10, now_s=9.0)
0.0
"""

__all__ = ["BulkPacer"]

# The burst that may be sent at once after a pause, in seconds of the rate: a tenth of a lease.
CREDIT_S = 0.1


class BulkPacer:
    """A rate limit in bytes for all large sends of one process, in order of arrival.

    No send waits longer than `max_wait_s`; the excess over the rate that results from
    this is not carried over to later sends.
    """

    def __init__(self, bytes_per_s: float, now_s: float, max_wait_s: float = float("inf")) -> None:
        self._bytes_per_s = bytes_per_s
        self._max_wait_s = max_wait_s
        self._free_s = now_s - CREDIT_S

    def reserve(self, size_bytes: int, now_s: float) -> float:
        """Reserve capacity for a send; return after how many seconds it may start."""
        start_s = min(max(self._free_s, now_s - CREDIT_S), now_s + self._max_wait_s)
        self._free_s = start_s + size_bytes / self._bytes_per_s
        return round(max(start_s - now_s, 0.0), 6)

    def backlog_s(self, now_s: float) -> float:
        """Return how long a send reserved now would wait."""
        return max(self._free_s - now_s, 0.0)

    def try_reserve(self, size_bytes: int, now_s: float) -> bool:
        """Reserve capacity for an optional send if it may start at once; return whether it may.

        >>> pacer = BulkPacer(1000.0, now_s=0.0)
        >>> [pacer.try_reserve(150, now_s=0.0) for _ in range(2)], pacer.try_reserve(150, now_s=0.1)
        ([True, False], True)
        """
        if self._free_s > now_s:
            return False
        self.reserve(size_bytes, now_s)
        return True
