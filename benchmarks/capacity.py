"""Measure the cost slopes of each role and extrapolate them to the target size.

    .venv/bin/python -m benchmarks.capacity [--json FILE]
    .venv/bin/python -m benchmarks.capacity --slopes FILE...

It prints tables for docs/CAPACITY.md: the measured slopes and the figures derived
from them. Some slopes are measured here, others are parsed from the output of another
benchmark. At most three processes are busy at once. The second form uses the medians
of earlier runs and shows their spread.
"""

import argparse
import io
import json
import re
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import redirect_stdout
from os import getloadavg
from pathlib import Path
from statistics import mean, median
from typing import NamedTuple

from benchmarks import control_state
from benchmarks.capacity_apply import measure_apply
from benchmarks.capacity_claims import measure_claims
from benchmarks.capacity_streams import measure_streams
from benchmarks.capacity_worked import derive
from benchmarks.control_bytes import Fleet
from benchmarks.placement_cost import placement_cost_us
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.runtime.clock import read_clock

__all__ = ["Slope", "main", "measure_all"]

ROUTERS_IN_DOMAIN = 52
TARGETS_IN_DOMAIN = 250
NEAR_TARGETS = 1000
SETTLE_S = 60.0
BUDGET_BYTES_PER_S = 14_000
MEASURE_S = 10.0
FEW_STREAMS = 50
MANY_STREAMS = 400
HOLDERS = 5
NUMBER = r"([\d.]+)"
MEMORY_PATTERNS = {
    "control_start_mb": rf"(?m)^control: {NUMBER} MB",
    "router_start_mb": rf"(?m)^router: {NUMBER} MB",
    "target_bytes": rf"(?m)^target: {NUMBER} B",
    "note_bytes": rf"(?m)^chat served away from home: {NUMBER} B",
    "account_bytes": rf"(?m)^client account: {NUMBER} B",
    "peer_bytes": rf"(?m)^router of the fleet: {NUMBER} B",
}
LIMIT_ROWS = {"small": r"slice 28 units", "large": r"slice 640 units"}
PATH_PATTERNS = {
    "tokens_per_core_s": rf"relay, router\s+{NUMBER} tokens/s",
    "requests_per_core_s": rf"requests, router\s+{NUMBER} requests/s",
    "latency_p50_ms": rf"latency, router\s+p50 {NUMBER} ms",
    "latency_p99_ms": rf"latency, router .*p99 {NUMBER} ms",
    "engine_p50_ms": rf"latency, engine alone\s+p50 {NUMBER} ms",
    "engine_p99_ms": rf"latency, engine alone .*p99 {NUMBER} ms",
    "stream_mb_per_thousand": rf"memory, router\s+{NUMBER} MB",
    "resident_mb": rf"resident after start\s+router {NUMBER} MB",
}


class Slope(NamedTuple):
    """One measured figure and the command that produced it."""

    name: str
    value: float
    command: str


def _find(pattern: str, text: str) -> float:
    """Return the number that a pattern matches in the output of a benchmark."""
    found = re.search(pattern, text)
    if found is None:
        raise RuntimeError(f"no {pattern!r} in:\n{text}")
    return float(found[1])


def _slopes(command: str, figures: dict[str, float]) -> list[Slope]:
    """Return figures as slopes of one command."""
    return [Slope(name, float(value), command) for name, value in figures.items()]


def placement_slopes() -> list[Slope]:
    """Measure the cost of placements."""
    figures = {
        "placement_us_250_near": placement_cost_us(TARGETS_IN_DOMAIN, 1),
        "placement_us_1000_near": placement_cost_us(NEAR_TARGETS, 1),
        "placement_us_all": placement_cost_us(10_000, 40),
    }
    return _slopes("-m benchmarks.placement_cost", figures)


def state_slopes() -> list[Slope]:
    """Measure the memory and processor time of a node that knows the whole fleet."""
    text = io.StringIO()
    with redirect_stdout(text):
        control_state.main()
    figures = {
        "fleet_state_mb": _find(rf"memory {NUMBER} MB", text.getvalue()),
        "fleet_ticks_core_percent": _find(rf"ticks {NUMBER}%", text.getvalue()),
        "fleet_probe_us": _find(rf"answered {NUMBER} us", text.getvalue()),
    }
    return _slopes("-m benchmarks.control_state", figures)


def gossip_slopes() -> list[Slope]:
    """Measure the gossip of one failure domain."""
    parameters = MembershipParameters(control_bytes_per_s=BUDGET_BYTES_PER_S)
    fleet = Fleet(ROUTERS_IN_DOMAIN, TARGETS_IN_DOMAIN, 1, seed=1, parameters=parameters)
    fleet.run(SETTLE_S)
    fleet.reset_counters()
    fleet.run(SETTLE_S + MEASURE_S)
    counters = [node.pacer.counters(fleet.now_s) for node in fleet.nodes.values()]
    figures = {
        "gossip_bytes_per_s": mean(counter.mean_bytes_per_s for counter in counters),
        "gossip_worst_bytes_per_s": max(counter.mean_bytes_per_s for counter in counters),
        "gossip_core_percent": 100 * mean(fleet.cpu_s.values()) / MEASURE_S,
    }
    return _slopes(
        "-m benchmarks.control_bytes --routers 52 --bytes-per-s 14000 --settle-s 60", figures
    )


def apply_slopes() -> list[Slope]:
    """Measure the cost of configuration changes at a router."""
    return _slopes("-m benchmarks.capacity_apply", measure_apply()._asdict())


def stream_slopes() -> list[Slope]:
    """Measure the cost of followers at a replica."""
    found = []
    for count in (FEW_STREAMS, MANY_STREAMS):
        costs = measure_streams(count)._asdict()
        del costs["streams"]
        named = {f"{name}_{count}_streams": value for name, value in costs.items()}
        found += _slopes("-m benchmarks.capacity_streams", named)
    return found


def claim_slopes() -> list[Slope]:
    """Measure the cost of claims."""
    costs = measure_claims(HOLDERS)._asdict()
    del costs["holders"]
    named = {f"claim_{name}": value for name, value in costs.items()}
    return _slopes("-m benchmarks.capacity_claims", named)


def _run_and_parse(command: str, patterns: dict[str, str]) -> list[Slope]:
    """Run a benchmark and parse its output."""
    result = subprocess.run(
        [sys.executable, *command.split()], capture_output=True, text=True, check=True
    )
    figures = {name: _find(pattern, result.stdout) for name, pattern in patterns.items()}
    return _slopes(command, figures)


def path_slopes() -> list[Slope]:
    """Measure the data path."""
    return _run_and_parse("benchmarks/router_path.py --seconds 2", PATH_PATTERNS)


def memory_slopes() -> list[Slope]:
    """Measure the memory of processes and of their state."""
    return _run_and_parse("-m benchmarks.memory_of_roles", MEMORY_PATTERNS)


def limit_slopes(text: str) -> list[Slope]:
    """Parse the cost of the limits of 1,400 accounts at a router."""
    figures = {}
    for name, pattern in LIMIT_ROWS.items():
        (line,) = [line for line in text.splitlines() if re.search(pattern, line)]
        figures[f"limits_{name}_bytes_per_s"] = _find(rf"mean {NUMBER}", line)
        figures[f"limits_{name}_core_percent"] = _find(rf"{NUMBER} ms/s", line) / 10
    return _slopes("benchmarks/limits.py", figures)


MEASURES: tuple[Callable[[], list[Slope]], ...] = (
    placement_slopes,
    state_slopes,
    gossip_slopes,
    apply_slopes,
    stream_slopes,
    claim_slopes,
    path_slopes,
    memory_slopes,
)


def measure_all() -> list[Slope]:
    """Measure every slope; the limits run in a parallel process."""
    limits = subprocess.Popen(
        [sys.executable, "benchmarks/limits.py"], stdout=subprocess.PIPE, text=True
    )
    try:
        found = [slope for measure in MEASURES for slope in measure()]
        text, _ = limits.communicate()
    finally:
        limits.kill()
        limits.wait()
    return found + limit_slopes(text)


def print_tables(runs: list[list[Slope]]) -> None:
    """Print the medians and spreads of the slopes and the derived figures."""
    print("| measured | median | least to most | `.venv/bin/python ...` |\n|---|---|---|---|")
    values = {}
    commands = {slope.name: slope.command for run in runs for slope in run}
    for name, command in commands.items():
        found = [slope.value for run in runs for slope in run if slope.name == name]
        values[name] = median(found)
        spread = f"{min(found):,.4g} to {max(found):,.4g}"
        print(f"| {name} | {values[name]:,.4g} | {spread} | `{command}` |")
    print("\n| worked out | figure | limit |\n|---|---|---|")
    for row in derive(values):
        print(f"| {row.label} | {row.value:,.4g} {row.unit} | {row.limit} |")


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path, help="file to which the slopes are also written")
    parser.add_argument("--slopes", type=Path, nargs="+", help="files written before by --json")
    options = parser.parse_args()
    if options.slopes:
        files = [json.loads(path.read_text()) for path in options.slopes]
        print_tables([[Slope(*item) for item in file] for file in files])
        return
    started_s = read_clock()
    load_before = getloadavg()[0]
    slopes = measure_all()
    day, duration_s = time.strftime("%Y-%m-%d"), read_clock() - started_s
    print(
        f"{day}, load {load_before:.1f} before, {getloadavg()[0]:.1f} after, {duration_s:.0f} s\n"
    )
    print_tables([slopes])
    if options.json:
        options.json.write_text(json.dumps(slopes, indent=1))


if __name__ == "__main__":
    main()
