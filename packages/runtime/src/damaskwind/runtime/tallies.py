"""Metrics with a small footprint, rendered in the Prometheus text format.

Counts are plain numbers. The library that renders the text is loaded at the first
request for it, since it accounts for a fifth of a small process's memory and start
time. Names and units follow `runtime.metrics`.
"""

import sys
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

__all__ = ["LATENCY_BOUNDS_S", "Gauge", "Tallies"]

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
_PREFIX = "damaskwind_"

Labels = tuple[tuple[str, str], ...]


class Gauge(NamedTuple):
    """A value that is read at each scrape."""

    name: str
    description: str
    read: Callable[[], float]


class _Histogram:
    """Counts of durations by the bounds `LATENCY_BOUNDS_S`, and their sum."""

    __slots__ = ("counts", "sum_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0


class Tallies:
    """The counters, histograms and gauges of one process.

    >>> tallies = Tallies()
    >>> tallies.count("requests", outcome="delivered")
    >>> tallies.observe("request_duration", 0.02, kind="streaming")
    >>> text = tallies.render().decode()
    >>> 'damaskwind_requests_total{outcome="delivered"} 1.0' in text
    True
    >>> 'request_duration_seconds_bucket{kind="streaming",le="0.025"} 1.0' in text
    True
    """

    def __init__(self) -> None:
        self.gauges: list[Gauge] = []
        self._counters: dict[str, Counter[Labels]] = {}
        self._histograms: dict[str, dict[Labels, _Histogram]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counters.setdefault(name, Counter())[tuple(labels.items())] += amount

    def totals(self, name: str) -> dict[Labels, int]:
        """Return a counter's values so far.

        >>> tallies = Tallies()
        >>> tallies.count("sent_bytes", 40, kind="news")
        >>> tallies.totals("sent_bytes")
        {(('kind', 'news'),): 40}
        """
        return dict(self._counters.get(name, {}))

    def observe(self, name: str, duration_s: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        series = self._histograms.setdefault(name, {})
        histogram = series.setdefault(tuple(labels.items()), _Histogram())
        histogram.counts[bisect_left(LATENCY_BOUNDS_S, duration_s)] += 1
        histogram.sum_s += duration_s

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value `read` returns."""
        self.gauges.append(Gauge(name, description, read))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # A process may have blocked the import of TLS, without which the library doesn't load.
        if sys.modules.get("ssl", sys) is None:
            del sys.modules["ssl"]
        from prometheus_client.exposition import generate_latest

        return generate_latest(self)

    def collect(self) -> Iterable[Any]:
        """Yield the families of metrics, as the library requires of a collector."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, counter in self._counters.items():
            names = [key for key, _ in next(iter(counter))]
            family = CounterMetricFamily(_PREFIX + name, name, labels=names)
            for labels, value in counter.items():
                family.add_metric([text for _, text in labels], value)
            yield family
        for name, series in self._histograms.items():
            names = [key for key, _ in next(iter(series))]
            full_name = f"{_PREFIX}{name}_seconds"
            family = HistogramMetricFamily(full_name, name, labels=names)
            for labels, histogram in series.items():
                values = [text for _, text in labels]
                family.add_metric(values, _cumulative(histogram.counts), histogram.sum_s)
            yield family
        for gauge in self.gauges:
            yield GaugeMetricFamily(_PREFIX + gauge.name, gauge.description, gauge.read())


def _cumulative(counts: list[int]) -> list[tuple[str, float]]:
    """Return the counts at or below each bound."""
    total, buckets = 0, []
    for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), counts, strict=True):
        total += count
        buckets.append((str(bound), total))
    return buckets
