"""Histograms of the delay added by the path through a router."""

from hdrh.histogram import HdrHistogram

__all__ = ["DelayHistogram"]

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3
_PERCENTILES = (50, 95, 99)


class DelayHistogram:
    """Record delays in seconds and give percentiles in milliseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    def record(self, delay_s: float) -> None:
        """Record a delay; a negative delay is recorded as the lowest value."""
        delay_us = min(max(round(delay_s * 1e6), _LOWEST_US), _HIGHEST_US)
        self._histogram.record_value(delay_us)

    def percentiles_ms(self) -> dict[str, float]:
        """Return the 50th, 95th and 99th percentile."""
        return {
            f"p{share}": round(self._histogram.get_value_at_percentile(share) / 1000, 3)
            for share in _PERCENTILES
        }
