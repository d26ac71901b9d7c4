"""Estimate each target's load from lagged reports, own placements and peers' drift.

A report is already old when it arrives. What this router has placed since the
measurement is known exactly and added. What the peers placed, less what the target
completed, is modelled as a random walk with drift. Its drift and its variance per
second are learned from successive reports, after subtracting own placements. The
error of an estimate then grows with the square root of the report's age:

    estimate = report + own placements since then + drift * age
    error sd = sqrt(variance per second * age)
"""

from collections import deque
from collections.abc import Sequence
from math import exp, sqrt

from damaskwind.model.targets import LoadReport

__all__ = ["LoadModel", "LoadTable"]

DRIFT_WINDOW_S = 30.0
VARIANCE_WINDOW_S = 20.0
MAX_EXTRAPOLATION_S = 2.0
SILENT_AFTER_S = 15.0
MIN_LEARNING_STEP_S = 0.7


class LoadModel:
    """One router's model of one target's load.

    `capacity_tokens` is 0 until the target has reported it.
    """

    __slots__ = (
        "_base_s",
        "_base_tokens",
        "_drift_tokens_per_s",
        "_learned_s",
        "_measured_s",
        "_own_in_flight",
        "_own_since_report",
        "_own_since_report_tokens",
        "_own_tokens",
        "_report_tokens",
        "_variance_per_s",
        "capacity_tokens",
    )

    def __init__(self) -> None:
        self._report_tokens = 0.0
        self._measured_s: float | None = None
        self._base_tokens = 0.0
        self._base_s = 0.0
        self.capacity_tokens = 0
        self._drift_tokens_per_s = 0.0
        self._variance_per_s = 0.0
        self._learned_s = 0.0
        self._own_in_flight: dict[str, float] = {}
        self._own_tokens = 0.0
        self._own_since_report: deque[tuple[float, float]] = deque()
        self._own_since_report_tokens = 0.0

    def observe(self, report: LoadReport, now_s: float) -> None:
        """Process a report; one that was measured before the last one is ignored."""
        measured_s = now_s - report.age_s
        if self._measured_s is not None and measured_s <= self._measured_s:
            return
        placed_tokens = self._drop_covered_placements(measured_s)
        self._learn_from(float(report.load_tokens), measured_s, placed_tokens)
        self._report_tokens = float(report.load_tokens)
        self._measured_s = measured_s
        if report.capacity_tokens > 0:
            self.capacity_tokens = report.capacity_tokens

    def _learn_from(self, load_tokens: float, measured_s: float, placed_tokens: float) -> None:
        """Update the model once enough time has passed since the last update.

        Loads and ages are rounded in transit. Over a short step the rounding errors
        would be mistaken for work of the peers.
        """
        self._base_tokens += placed_tokens
        step_s = measured_s - self._base_s if self._measured_s is not None else 0.0
        if step_s >= MIN_LEARNING_STEP_S:
            self._update_model(load_tokens - self._base_tokens, step_s)
        if step_s >= MIN_LEARNING_STEP_S or self._measured_s is None:
            self._base_tokens = load_tokens
            self._base_s = measured_s

    def _update_model(self, moved_tokens: float, step_s: float) -> None:
        """Update the peers' drift and its variance from the step between two reports."""
        innovation_tokens = moved_tokens - self._drift_tokens_per_s * step_s
        self._learned_s += step_s
        drift_gain = _gain(step_s, self._learned_s, DRIFT_WINDOW_S)
        variance_gain = _gain(step_s, self._learned_s, VARIANCE_WINDOW_S)
        self._drift_tokens_per_s += drift_gain * innovation_tokens / step_s
        self._variance_per_s += variance_gain * (
            innovation_tokens * innovation_tokens / step_s - self._variance_per_s
        )

    def _drop_covered_placements(self, measured_s: float) -> float:
        """Drop own placements that a report includes; return their tokens."""
        covered_tokens = 0.0
        while self._own_since_report and self._own_since_report[0][0] <= measured_s:
            covered_tokens += self._own_since_report.popleft()[1]
        self._own_since_report_tokens = sum(tokens for _, tokens in self._own_since_report)
        return covered_tokens

    def record_started(self, request_id: str, need_tokens: float, now_s: float) -> None:
        """Add work that this router just sent."""
        self._own_in_flight[request_id] = need_tokens
        self._own_tokens += need_tokens
        self._own_since_report.append((now_s, need_tokens))
        self._own_since_report_tokens += need_tokens

    def record_finished(self, request_id: str, done: bool, now_s: float) -> None:
        """Remove ended work from what this router has in flight.

        Work that was not done is subtracted from the target's load, whatever the last
        report contained; work that was done is part of the drift.
        """
        need_tokens = self._own_in_flight.pop(request_id, 0.0)
        self._own_tokens = self._own_tokens - need_tokens if self._own_in_flight else 0.0
        if not done:
            self._own_since_report.append((now_s, -need_tokens))
            self._own_since_report_tokens -= need_tokens

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the last report's measurement, or `None` without a report."""
        return None if self._measured_s is None else now_s - self._measured_s

    def estimate_tokens(self, now_s: float, router_count: int) -> float:
        """Return the estimated outstanding work.

        A target that never reported, or not for a long time, is assumed to have as much
        work from every router as from this one.
        """
        if self._measured_s is None or now_s - self._measured_s > SILENT_AFTER_S:
            return self._own_tokens * router_count
        ahead_s = min(now_s - self._measured_s, MAX_EXTRAPOLATION_S)
        estimate = (
            self._report_tokens + self._own_since_report_tokens + self._drift_tokens_per_s * ahead_s
        )
        return estimate if estimate > 0.0 else 0.0

    def error_sd_tokens(self, now_s: float) -> float:
        """Return the standard deviation of the estimate's error."""
        if self._measured_s is None:
            return 0.0
        return sqrt(self._variance_per_s * (now_s - self._measured_s))


def _gain(step_s: float, learned_s: float, window_s: float) -> float:
    """Return the weight of a step: of a plain mean at first, then of a windowed mean."""
    return max(1.0 - exp(-step_s / window_s), step_s / learned_s)


class LoadTable:
    """The load models of all targets that one router knows.

    >>> table = LoadTable()
    >>> table.observe("a", LoadReport(100, 1000, 1, 0, 0.5), now_s=10.0)
    >>> table.record_started("r1", "a", 30.0, now_s=10.1)
    >>> table.estimate_tokens("a", now_s=10.2)
    130.0
    """

    def __init__(self) -> None:
        self._loads: dict[str, LoadModel] = {}
        self._target_of_request: dict[str, str] = {}
        self.router_count = 1

    def load(self, target_id: str) -> LoadModel:
        """Return a target's model, created on first use."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = LoadModel()
        return load

    def forget(self, target_id: str) -> None:
        """Remove a target's model; ends of its requests in flight are then ignored."""
        self._loads.pop(target_id, None)

    def observe(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Process a report on a target."""
        self.load(target_id).observe(report, now_s)

    def record_started(
        self, request_id: str, target_id: str, need_tokens: float, now_s: float
    ) -> None:
        """Record a request sent to a target."""
        self._target_of_request[request_id] = target_id
        self.load(target_id).record_started(request_id, need_tokens, now_s)

    def record_finished(self, request_id: str, done: bool, now_s: float) -> None:
        """Record the end of a request; an unknown request is ignored."""
        target_id = self._target_of_request.pop(request_id, None)
        load = self._loads.get(target_id) if target_id is not None else None
        if load is not None:
            load.record_finished(request_id, done, now_s)

    def estimate_tokens(self, target_id: str, now_s: float) -> float:
        """Return the estimated outstanding work at a target."""
        return self.load(target_id).estimate_tokens(now_s, self.router_count)

    def mean_tokens(self, target_ids: Sequence[str], now_s: float) -> float:
        """Return the mean estimated outstanding work of some targets."""
        router_count = self.router_count
        loads = map(self.load, target_ids)
        total_tokens = sum([load.estimate_tokens(now_s, router_count) for load in loads])
        return total_tokens / len(target_ids)
