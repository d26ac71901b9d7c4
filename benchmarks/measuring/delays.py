"""Histograms of the delay that the path through a router adds."""

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
        """Record a delay; a negative one counts as none."""
        delay_us = min(max(round(delay_s * 1e6), _LOWEST_US), _HIGHEST_US)
        self._histogram.record_value(delay_us)

    def percentiles_ms(self) -> dict[str, float]:
        """Return the delay that 50, 95 and 99 in 100 stay within."""
        return {
            f"p{share}": round(self._histogram.get_value_at_percentile(share) / 1000, 3)
            for share in _PERCENTILES
        }
