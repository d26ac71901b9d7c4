"""Track the highest recent router count, for rates that too low a count would exceed."""

from collections import deque

__all__ = ["COUNT_WINDOW_S", "MaxRouterCount"]

# A restarted replica counts routers only as they call, which takes some seconds; a partitioned one
# counts few for as long as the partition lasts.
COUNT_WINDOW_S = 30.0
# After its own start a router receives too low counts for this long if all replicas start with it.
MIN_OBSERVED_S = 2.0


class MaxRouterCount:
    """The maximum of the recent router counts; `None` before the counts are reliable.

    >>> maximum = MaxRouterCount()
    >>> maximum.observe(3, 0.0); maximum.value(1.0) is None
    True
    >>> maximum.observe(57, 1.0); maximum.observe(9, 20.0); maximum.value(20.0), maximum.value(40.0)
    (57, 9)
    """

    def __init__(self) -> None:
        self._first_s: float | None = None
        self._counts: deque[tuple[float, int]] = deque()

    def observe(self, routers: int, now_s: float) -> None:
        """Record a count received from a replica."""
        if self._first_s is None:
            self._first_s = now_s
        while self._counts and self._counts[-1][1] <= routers:
            self._counts.pop()
        self._counts.append((now_s, routers))

    def value(self, now_s: float) -> int | None:
        """Return the maximum count of the window; `None` within `MIN_OBSERVED_S` of the first."""
        if self._first_s is None or now_s - self._first_s < MIN_OBSERVED_S:
            return None
        while len(self._counts) > 1 and self._counts[0][0] < now_s - COUNT_WINDOW_S:
            self._counts.popleft()
        return self._counts[0][1]
