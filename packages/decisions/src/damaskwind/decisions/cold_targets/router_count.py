"""Reckon with as many routers as may be there, where counting too few breaks a rate."""

from collections import deque

__all__ = ["COUNT_WINDOW_S", "MaxRouterCount"]

# A replica that has started again counts routers as they ask, some seconds long; one behind a
# cut counts few for as long as that lasts.
COUNT_WINDOW_S = 30.0
# After its own start a router hears of few for so long, when all replicas start with it.
WARM_UP_S = 2.0


class MaxRouterCount:
    """The maximum routers that were told lately; none before enough may have been counted.

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
        """Take a count."""
        if self._first_s is None:
            self._first_s = now_s
        while self._counts and self._counts[-1][1] <= routers:
            self._counts.pop()
        self._counts.append((now_s, routers))

    def value(self, now_s: float) -> int | None:
        """Return the maximum routers of the last time, or `None` while that is not sure."""
        if self._first_s is None or now_s - self._first_s < WARM_UP_S:
            return None
        while len(self._counts) > 1 and self._counts[0][0] < now_s - COUNT_WINDOW_S:
            self._counts.popleft()
        return self._counts[0][1]
