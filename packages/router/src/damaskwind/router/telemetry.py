"""The router's metrics: requests, attempts, queues, and control traffic."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from damaskwind.model.targets import TargetKind
from damaskwind.model.verdict import Verdict
from damaskwind.router.explain import RequestRecord
from damaskwind.router.work import WorkItem
from damaskwind.runtime.metrics import Metrics, Sample

__all__ = ["Telemetry"]

_DIRECTIONS = {"sent_bytes.": "sent", "received_bytes.": "received"}
_SENDS = {"deferred_sends": "deferred", "dropped_sends": "dropped", "oversized_sends": "oversized"}
_FAULT_PREFIX = "faults."


class _Gauge(NamedTuple):
    """A gauge of the control traffic: the counter that it reads, and its metric."""

    counter: str
    metric: str
    unit: str
    description: str


_GAUGES = (
    _Gauge("mean_bytes_per_s", "control_mean", "By/s", "Mean since the start."),
    _Gauge("highest_second_bytes", "control_highest_second", "By", "Most in any second."),
    _Gauge(
        "highest_ten_seconds_bytes_per_s",
        "control_highest_ten_seconds",
        "By/s",
        "Highest mean over any ten seconds.",
    ),
    _Gauge("routers", "routers", "1", "Routers held alive, this one among them."),
    _Gauge("targets", "targets_held", "1", "Targets on record, leaving and lapsed ones too."),
)
Counters = Callable[[], Mapping[str, float]]


class Telemetry:
    """The instruments of one router. Gauges read the components at each scrape."""

    def __init__(self, node_id: str) -> None:
        self.metrics = Metrics(node_id)
        self.tokens = 0
        self.streams_resumed = 0
        make = self.metrics
        self._requests = make.counter("requests", "1", "Requests answered, by end.")
        self._attempts = make.counter("attempts", "1", "Attempts at targets, by end.")
        self._duration = make.histogram("request_duration", "s", "Time to answer a request.")
        make.total("tokens", "1", "Tokens relayed.", lambda: [Sample(self.tokens)])
        make.total(
            "streams_resumed", "1", "Streams resumed.", lambda: [Sample(self.streams_resumed)]
        )

    def watch_components(self, gateway: Any, queues: Any, directory: Any, explain: Any) -> None:
        """Register gauges of the current state of the router's components."""
        gauge = self.metrics.gauge
        gauge(
            "requests_in_progress",
            "1",
            "Requests in progress.",
            lambda: [Sample(gateway.in_progress)],
        )
        gauge(
            "requests_queued", "1", "Requests waiting for a target.", lambda: [Sample(len(queues))]
        )
        gauge(
            "configuration_revision",
            "1",
            "Revision in force.",
            lambda: [Sample(gateway.configuration.revision)],
        )
        gauge("explain_records", "1", "Explain records kept.", lambda: [Sample(len(explain))])
        gauge("targets", "1", "Live targets known, by kind.", lambda: _targets(directory))

    def watch_control(self, counters: Counters) -> None:
        """Register the metrics of the control traffic, read from `counters` by name."""
        total = self.metrics.total
        total(
            "control",
            "By",
            "Control bytes with headers, by direction and kind.",
            lambda: _control_bytes(counters()),
        )
        total(
            "control_sends",
            "1",
            "Sends that did not go at once: deferred, dropped or oversized.",
            lambda: _control_sends(counters()),
        )
        total(
            "control_faults",
            "1",
            "Datagrams refused, by fault.",
            lambda: _control_faults(counters()),
        )
        total(
            "suspicions",
            "1",
            "Routers that this one suspected to be dead.",
            lambda: [Sample(counters()["suspicions"])],
        )
        for gauge in _GAUGES:
            self._watch_gauge(gauge, counters)

    def watch_claims(self, claims: Any) -> None:
        """Register the bytes of calls to claim holders, which grow with keyed requests."""
        self.metrics.total(
            "claim",
            "By",
            "Bytes of calls to claim holders with headers, by direction.",
            lambda: [
                Sample(claims.sent_bytes, {"direction": "sent"}),
                Sample(claims.received_bytes, {"direction": "received"}),
            ],
        )

    def _watch_gauge(self, gauge: _Gauge, counters: Counters) -> None:
        """Register a gauge for a value of the control traffic that may decrease."""
        self.metrics.gauge(
            gauge.metric,
            gauge.unit,
            gauge.description,
            lambda: [Sample(counters()[gauge.counter])],
        )

    def request_ended(self, record: RequestRecord) -> None:
        """Count an ended request, with labels and duration from its record."""
        end = record.ended or {}
        labels = {
            "verdict": str(end.get("verdict", "")),
            "reason": str(end.get("reason", "")),
        }
        self._requests.add(1, labels)
        self._duration.record(end.get("duration_ms", 0.0) / 1000, labels)

    def attempt_ended(self, work: WorkItem, verdict: Verdict, reason: str) -> None:
        """Count an ended attempt at a target."""
        labels = {"kind": str(work.kind), "verdict": str(verdict), "reason": reason}
        self._attempts.add(1, labels)


def _control_bytes(counters: Mapping[str, float]) -> list[Sample]:
    """Return the bytes by direction and kind."""
    return [
        Sample(value, {"direction": direction, "kind": name.removeprefix(prefix)})
        for name, value in counters.items()
        for prefix, direction in _DIRECTIONS.items()
        if name.startswith(prefix)
    ]


def _control_sends(counters: Mapping[str, float]) -> list[Sample]:
    """Return the sends that were not sent immediately, by outcome."""
    return [Sample(counters[name], {"outcome": outcome}) for name, outcome in _SENDS.items()]


def _control_faults(counters: Mapping[str, float]) -> list[Sample]:
    """Return the rejected datagrams by fault."""
    return [
        Sample(value, {"fault": name.removeprefix(_FAULT_PREFIX)})
        for name, value in counters.items()
        if name.startswith(_FAULT_PREFIX)
    ]


def _targets(directory: Any) -> list[Sample]:
    """Count the live targets of each kind."""
    kinds = [view.kind for view in directory.views()]
    return [Sample(kinds.count(kind), {"kind": str(kind)}) for kind in TargetKind]
