"""Metrics through OpenTelemetry, rendered in the Prometheus text format.

A process makes one `Metrics`. A counter `requests` becomes
`damaskwind_requests_total` in the text that a scraper reads.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Counter, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

__all__ = ["LATENCY_BUCKETS_S", "Metrics", "Sample"]

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
_PREFIX = "damaskwind"


class Sample(NamedTuple):
    """One value of a gauge with its labels."""

    value: float
    labels: Mapping[str, str] = {}


def _observer(read: Callable[[], Iterable[Sample]]) -> Callable[[CallbackOptions], Any]:
    """Turn a function that returns samples into an OpenTelemetry callback."""

    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(sample.value, dict(sample.labels)) for sample in read()]

    return observe


class Metrics:
    """The instruments of one process and their text for a scraper.

    >>> metrics = Metrics("router-1")
    >>> metrics.counter("requests", "1", "Requests taken.").add(2, {"verdict": "ran"})
    >>> "damaskwind_requests_total" in metrics.render().decode()
    True
    """

    def __init__(self, node_id: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, prefix=_PREFIX, registry=self._registry
        )
        latencies = View(
            instrument_name="*_duration",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S),
        )
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource({"service.instance.id": node_id}),
            views=[latencies],
        )
        self._meter = self._provider.get_meter(_PREFIX)

    def counter(self, name: str, unit: str, description: str) -> Counter:
        """Make a counter that only grows."""
        return self._meter.create_counter(name, unit, description)

    def histogram(self, name: str, unit: str, description: str) -> Histogram:
        """Make a histogram; names that end in `_duration` get latency buckets."""
        return self._meter.create_histogram(name, unit, description)

    def gauge(
        self, name: str, unit: str, description: str, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Make a gauge whose samples `read` returns at each scrape."""
        self._meter.create_observable_gauge(name, [_observer(read)], unit, description)

    def total(
        self, name: str, unit: str, description: str, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Make a counter whose samples `read` returns at each scrape."""
        self._meter.create_observable_counter(name, [_observer(read)], unit, description)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def shutdown(self) -> None:
        """Release the provider."""
        self._provider.shutdown()
