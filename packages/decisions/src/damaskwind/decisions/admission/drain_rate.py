"""How fast a queue with a backlog drains, as a moving average of the gaps."""

__all__ = ["DrainRate"]

SMOOTHING = 0.1
MIN_SAMPLES = 5


class DrainRate:
    """Estimate requests a second from the gaps between departures.

    Gaps count only while requests are waiting: those of an idle queue say
    nothing of how fast targets free up.

    >>> rate = DrainRate()
    >>> for number in range(7):
    ...     rate.record_departure(number * 0.5, backlog=True)
    >>> rate.per_s()
    2.0
    """

    def __init__(self) -> None:
        self._gap_s: float | None = None
        self._last_s: float | None = None
        self._samples = 0

    def record_departure(self, now_s: float, backlog: bool) -> None:
        """Count a departure; `backlog` tells whether others still wait."""
        if self._last_s is not None:
            gap_s = now_s - self._last_s
            previous_s = gap_s if self._gap_s is None else self._gap_s
            self._gap_s = previous_s + SMOOTHING * (gap_s - previous_s)
            self._samples += 1
        self._last_s = now_s if backlog else None

    def per_s(self) -> float | None:
        """Return the estimate, or `None` before there are enough departures."""
        if self._samples < MIN_SAMPLES or not self._gap_s:
            return None
        return 1.0 / self._gap_s
