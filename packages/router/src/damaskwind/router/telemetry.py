"""The router's metrics: what was asked, how it ended, and what is in hand."""

from typing import Any

from damaskwind.model.targets import TargetKind
from damaskwind.model.verdict import Verdict
from damaskwind.router.explain import RequestRecord
from damaskwind.router.work import Work
from damaskwind.runtime.metrics import Metrics, Sample

__all__ = ["Telemetry"]


class Telemetry:
    """The instruments of one router. Gauges read the parts when a scraper asks."""

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

    def watch_parts(self, gateway: Any, room: Any, directory: Any, explain: Any) -> None:
        """Show what the parts of the router have in hand."""
        gauge = self.metrics.gauge
        gauge(
            "requests_in_progress",
            "1",
            "Requests in progress.",
            lambda: [Sample(gateway.in_progress)],
        )
        gauge("requests_queued", "1", "Requests waiting for a target.", lambda: [Sample(len(room))])
        gauge(
            "configuration_revision",
            "1",
            "Revision in force.",
            lambda: [Sample(gateway.configuration.revision)],
        )
        gauge("explain_records", "1", "Explain records kept.", lambda: [Sample(len(explain))])
        gauge("targets", "1", "Live targets known, by kind.", lambda: _targets(directory))

    def watch_control(self, counters: Any) -> None:
        """Show the counters of the control traffic, as `counters` gives them."""
        self.metrics.total(
            "control_traffic",
            "1",
            "Counters of the control traffic, by name.",
            lambda: [Sample(value, {"name": name}) for name, value in counters().items()],
        )

    def request_ended(self, record: RequestRecord) -> None:
        """Count a request from its record."""
        end = record.ended or {}
        labels = {
            "verdict": str(end.get("verdict", "")),
            "reason": str(end.get("reason", "")),
        }
        self._requests.add(1, labels)
        self._duration.record(end.get("duration_ms", 0.0) / 1000, labels)

    def attempt_ended(self, work: Work, verdict: Verdict, reason: str) -> None:
        """Count an attempt at a target."""
        labels = {"kind": str(work.kind), "verdict": str(verdict), "reason": reason}
        self._attempts.add(1, labels)


def _targets(directory: Any) -> list[Sample]:
    """Count the live targets of each kind."""
    kinds = [view.kind for view in directory.views()]
    return [Sample(kinds.count(kind), {"kind": str(kind)}) for kind in TargetKind]
