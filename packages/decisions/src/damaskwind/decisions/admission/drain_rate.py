"""The drain rate of a queue with a backlog, as a moving average of departure gaps."""

__all__ = ["DrainRate"]

SMOOTHING = 0.1
MIN_SAMPLES = 5


class DrainRate:
    """Estimate the departures per second from the gaps between them.

    Gaps count only while requests are waiting: those of an idle queue do not show
    how fast targets become free.

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
        """Record a departure; `backlog` is true if other requests still wait."""
        if self._last_s is not None:
            gap_s = now_s - self._last_s
            previous_s = gap_s if self._gap_s is None else self._gap_s
            self._gap_s = previous_s + SMOOTHING * (gap_s - previous_s)
            self._samples += 1
        self._last_s = now_s if backlog else None

    def per_s(self) -> float | None:
        """Return the departures per second, or `None` if there are too few samples."""
        if self._samples < MIN_SAMPLES or not self._gap_s:
            return None
        return 1.0 / self._gap_s
