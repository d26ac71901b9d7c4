"""Space large sends, so that small ones that must not wait find the link free.

>>> pacer = BulkPacer(1000.0, now_s=0.0)
>>> pacer.reserve(100, now_s=0.0), pacer.reserve(300, now_s=0.0), pacer.reserve(10, now_s=0.0)
(0.0, 0.0, 0.3)
>>> pacer.reserve(10, now_s=9.0)
0.0
"""

__all__ = ["BulkPacer"]

# What may go at once after a pause, in seconds of the rate: a tenth of a lease.
CREDIT_S = 0.1


class BulkPacer:
    """A rate of bytes for all large sends of one process, first come, first served.

    No send waits longer than `max_wait_s`, and what goes sooner by that is forgotten.
    """

    def __init__(self, bytes_per_s: float, now_s: float, max_wait_s: float = float("inf")) -> None:
        self._bytes_per_s = bytes_per_s
        self._max_wait_s = max_wait_s
        self._free_s = now_s - CREDIT_S

    def reserve(self, size_bytes: int, now_s: float) -> float:
        """Book a send; return in how many seconds it may begin."""
        start_s = min(max(self._free_s, now_s - CREDIT_S), now_s + self._max_wait_s)
        self._free_s = start_s + size_bytes / self._bytes_per_s
        return round(max(start_s - now_s, 0.0), 6)

    def backlog_s(self, now_s: float) -> float:
        """Return how long a send booked now would wait."""
        return max(self._free_s - now_s, 0.0)

    def try_reserve(self, size_bytes: int, now_s: float) -> bool:
        """Book a send that can be left out, if it may go at once; tell whether it may.

        >>> pacer = BulkPacer(1000.0, now_s=0.0)
        >>> [pacer.try_reserve(150, now_s=0.0) for _ in range(2)], pacer.try_reserve(150, now_s=0.1)
        ([True, False], True)
        """
        if self._free_s > now_s:
            return False
        self.reserve(size_bytes, now_s)
        return True
