"""Monitor the control traffic and the resources of every router during a run."""

import asyncio
import os
import re
from pathlib import Path
from typing import NamedTuple

from benchmarks.measuring.deployment import Deployment, call_http
from damaskwind.runtime.clock import read_clock

__all__ = ["ControlSample", "RouterUsage", "TrafficMonitor", "highest_rate"]

INTERVAL_S = 1.0
LONG_SPAN_S = 10.0
_METRIC = re.compile(r"^damaskwind_(control_\w+)(\{.*\})? ([0-9.e+-]+)$")
_BYTES = "control_bytes_total"
_HIGHEST = "control_highest_second_bytes"
_LABEL = re.compile(r'(\w+)="([^"]*)"')
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class RouterUsage(NamedTuple):
    """The resources one router used in a run; control figures are `None` without metrics.

    `highest_second_bytes` is the router's own metric since its start, and
    `before_run_bytes` its value at the beginning of the run. The polled figures are
    computed between polls of this run and exclude the start.
    """

    router: str
    mean_bytes_per_s: float | None
    highest_second_bytes: float | None
    cpu_share: float
    memory_bytes: int
    before_run_bytes: float | None = None
    highest_polled_second_bytes: float | None = None
    highest_ten_seconds_bytes_per_s: float | None = None
    highest_polled_kinds: dict[str, float] | None = None


class ControlSample(NamedTuple):
    """The cumulative control bytes of one router at a time."""

    time_s: float
    total_bytes: float
    highest_second_bytes: float
    bytes_by_kind: dict[str, float] = {}


def _parse_bytes_by_kind(text: str) -> dict[str, float]:
    """Return the control bytes on a metrics page by direction and kind."""
    bytes_by_kind: dict[str, float] = {}
    for match in filter(None, map(_METRIC.match, text.splitlines())):
        if match[1] == _BYTES:
            labels = dict(_LABEL.findall(match[2] or ""))
            name = f"{labels.get('direction', '')} {labels.get('kind', '')}"
            bytes_by_kind[name] = bytes_by_kind.get(name, 0.0) + float(match[3])
    return bytes_by_kind


def _parse_counters(text: str) -> dict[str, float]:
    """Return the control metrics on a metrics page, each summed over its labels."""
    counters: dict[str, float] = {}
    for match in filter(None, map(_METRIC.match, text.splitlines())):
        counters[match[1]] = counters.get(match[1], 0.0) + float(match[3])
    return counters


def _cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def busiest_window(
    samples: list[ControlSample], span_s: float
) -> tuple[ControlSample, ControlSample] | None:
    """Return the first and last poll of the busiest window of at least `span_s`."""
    windows = []
    start = 0
    for end, sample in enumerate(samples):
        while start + 1 < end and sample.time_s - samples[start + 1].time_s >= span_s:
            start += 1
        if sample.time_s - samples[start].time_s >= span_s:
            windows.append((samples[start], sample))
    return max(windows, key=lambda ends: _rate(*ends), default=None)


def _rate(before: ControlSample, after: ControlSample) -> float:
    """Return the bytes per second between two polls."""
    return (after.total_bytes - before.total_bytes) / (after.time_s - before.time_s)


def highest_rate(samples: list[ControlSample], span_s: float) -> float | None:
    """Return the highest bytes per second over any window of polls of at least `span_s`.

    >>> highest_rate(
    ...     [ControlSample(0, 0, 0), ControlSample(1, 10, 0), ControlSample(2, 90, 0)], 2.0
    ... )
    45.0
    """
    ends = busiest_window(samples, span_s)
    return _rate(*ends) if ends else None


def _bytes_by_kind_between(ends: tuple[ControlSample, ControlSample] | None) -> dict[str, float]:
    """Return the bytes by kind between two polls, largest first."""
    if ends is None:
        return {}
    before, after = (sample.bytes_by_kind for sample in ends)
    increase = {kind: after[kind] - before.get(kind, 0.0) for kind in after}
    ordered = sorted(increase.items(), key=lambda item: item[1], reverse=True)
    return {kind: size_bytes for kind, size_bytes in ordered if size_bytes > 0}


class TrafficMonitor:
    """Poll the metrics of all routers once a second."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._samples: dict[str, list[ControlSample]] = {}
        self._initial_cpu_s: dict[str, float] = {}
        self._started_s = read_clock()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start polling."""
        self._started_s = read_clock()
        self._initial_cpu_s = {
            router.name: _cpu_s(router.pid) for router in self._deployment.routers
        }
        self._task = asyncio.ensure_future(self._poll())

    async def stop(self) -> list[RouterUsage]:
        """Stop polling and return each router's usage."""
        self._task.cancel()
        duration_s = read_clock() - self._started_s
        return [self._usage(router, duration_s) for router in self._deployment.routers]

    def series(self) -> dict[str, list[tuple[float, float]]]:
        """Return each router's bytes per second over time."""
        return {
            name: [
                (after.time_s, (after.total_bytes - before.total_bytes) / span_s)
                for before, after in zip(samples, samples[1:], strict=False)
                if (span_s := after.time_s - before.time_s) > 0
            ]
            for name, samples in self._samples.items()
        }

    async def _poll(self) -> None:
        """Read the metrics page of every router at intervals."""
        while True:
            for router in self._deployment.routers:
                page = await call_http("GET", f"{router.ready['http_address']}/metrics")
                counters = _parse_counters(page)
                if _BYTES in counters:
                    self._samples.setdefault(router.name, []).append(_make_sample(counters, page))
            await asyncio.sleep(INTERVAL_S)

    def _usage(self, router, duration_s: float) -> RouterUsage:
        """Return the usage of one router."""
        cpu_share = (_cpu_s(router.pid) - self._initial_cpu_s[router.name]) / duration_s
        memory_bytes = _memory_bytes(router.pid)
        samples = self._samples.get(router.name, [])
        if len(samples) < 2:
            return RouterUsage(router.name, None, None, cpu_share, memory_bytes)
        span_s = samples[-1].time_s - samples[0].time_s
        mean = (samples[-1].total_bytes - samples[0].total_bytes) / span_s
        highest = samples[-1].highest_second_bytes
        return RouterUsage(
            router.name,
            mean,
            highest,
            cpu_share,
            memory_bytes,
            samples[0].highest_second_bytes,
            highest_rate(samples, INTERVAL_S),
            highest_rate(samples, LONG_SPAN_S),
            _bytes_by_kind_between(busiest_window(samples, INTERVAL_S)),
        )


def _make_sample(counters: dict[str, float], page: str) -> ControlSample:
    """Return a sample from one metrics page and its counters."""
    highest = counters.get(_HIGHEST, 0.0)
    return ControlSample(read_clock(), counters[_BYTES], highest, _parse_bytes_by_kind(page))
