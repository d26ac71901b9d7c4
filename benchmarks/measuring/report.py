"""Report the figures of all policies as text, JSON and one page of plots."""

import json
from pathlib import Path
from typing import Any

from benchmarks.measuring.control_traffic import RouterUsage
from benchmarks.measuring.first_token import slowest_by_part
from benchmarks.measuring.plots import draw_page
from benchmarks.measuring.run import RunFigures
from damaskwind.model.configuration_codec import to_table

__all__ = ["broken_promises", "write_reports"]

CONTROL_BUDGET_BYTES = 4096
GOAL_REUSE_STEADY = 0.95
GOAL_REUSE_CHURN = 0.85
_STEADY = ("quiet", "workshop", "deadline")


def _highest_figure(
    routers: list[RouterUsage], field: str = "highest_second_bytes"
) -> float | None:
    """Return the highest value of a figure over all routers, `None` if no router has it."""
    values = [getattr(usage, field) for usage in routers if getattr(usage, field) is not None]
    return round(max(values), 1) if values else None


def _highest_mean(routers: list[RouterUsage]) -> float | None:
    """Return the mean control traffic of the busiest router."""
    values = [usage.mean_bytes_per_s for usage in routers if usage.mean_bytes_per_s is not None]
    return round(max(values), 1) if values else None


def _percentiles(values: dict[str, float]) -> str:
    """Format percentiles on one line."""
    return "/".join(f"{value:g}" for value in values.values())


def _figure_rows(run: RunFigures) -> dict[str, Any]:
    """Return the figures of one run by label."""
    skew = run.skew
    cpu = [usage.cpu_share for usage in run.routers]
    memory = [usage.memory_bytes for usage in run.routers]
    return {
        **{f"cache reuse / all-knowing, {phase}": value for phase, value in run.reuse.items()},
        **{f"the same over refused turns too, {p}": v for p, v in run.reuse_of_all.items()},
        "skew: highest / mean, worst": skew.worst_ratio,
        "skew: highest / mean, 95 in 100": skew.p95_ratio,
        "skew: highest / mean, average": skew.mean_ratio,
        "skew: worst excess over bound + 1 request, tokens": skew.worst_excess_tokens,
        "skew: share of samples over that": skew.share_over_bound,
        "skew: worst account": max(skew.worst_ratio_by_account.values(), default=0.0),
        "control bytes/s, busiest router, mean": _highest_mean(run.routers),
        "control bytes/s, highest second since start": _highest_figure(run.routers),
        "the same, before this run": _highest_figure(run.routers, "before_run_bytes"),
        "the same, between polls of this run": _highest_figure(
            run.routers, "highest_polled_second_bytes"
        ),
        "control bytes/s, highest ten seconds of this run": _highest_figure(
            run.routers, "highest_ten_seconds_bytes_per_s"
        ),
        "first token, ms, 50/95/99": _percentiles(run.first_token_ms),
        **{
            f"slowest 1 in 20: {part.part}": f"{part.share:.0%} {part.mean_ms:g} ms {part.requests}"
            for part in slowest_by_part(run.slow_first_tokens)
        },
        "first token without router, ms": _percentiles(run.direct_first_token_ms),
        "between tokens added, ms, 50/95/99": _percentiles(run.between_tokens_ms),
        "between tokens without router, ms": _percentiles(run.direct_between_tokens_ms),
        "router processor share, highest": round(max(cpu), 3),
        "router memory, MB, highest": round(max(memory) / 1e6, 1),
        "leave taken by a router after, s": max(run.leave_taken_after_s.values(), default=None),
        "turns and calls": f"{run.turns}+{run.calls}",
        **{f"ended {end}": count for end, count in sorted(run.ends.items())},
        **{f"broken: {breach.promise}": breach.count for breach in run.breaches},
    }


def broken_promises(deployment: str, run: RunFigures) -> list[str]:
    """Return the guarantees that a run violated, with examples."""
    lines = [
        f"{breach.promise}: {breach.count} ({'; '.join(breach.examples)})"
        for breach in run.breaches
    ]
    if run.skew.worst_excess_tokens > 0:
        lines.append(
            f"load bound exceeded by {run.skew.worst_excess_tokens} tokens"
            f" in {run.skew.share_over_bound:.1%} of the samples"
        )
    highest = _highest_figure(run.routers)
    if highest is not None and highest > CONTROL_BUDGET_BYTES:
        lines.append(f"control traffic of {highest:.0f} bytes in a second")
    return lines


def _goal_lines(run: RunFigures) -> list[str]:
    """Return a line for each phase on whether its reuse goal is met."""
    goals = dict.fromkeys(_STEADY, GOAL_REUSE_STEADY) | {"churn": GOAL_REUSE_CHURN}
    return [
        f"goal: reuse in {phase} of {goals[phase]} or more:"
        f" {'met' if value >= goals[phase] else 'NOT met'} with {value}"
        for phase, value in run.reuse.items()
    ]


def _table(columns: dict[str, dict[str, Any]]) -> list[str]:
    """Format a table with a column for each policy."""
    labels = list(dict.fromkeys(label for rows in columns.values() for label in rows))
    width = max(map(len, labels))
    widths = [max(len(name), 14) for name in columns]
    lines = [" " * width + "".join(f"  {n:>{w}}" for n, w in zip(columns, widths, strict=True))]
    for label in labels:
        cells = [
            f"  {'-' if rows.get(label) is None else rows[label]!s:>{column_width}}"
            for rows, column_width in zip(columns.values(), widths, strict=True)
        ]
        lines.append(f"{label:<{width}}{''.join(cells)}")
    return lines


def _comparison(rows: dict[str, dict[str, Any]], earlier: dict[str, Any]) -> list[str]:
    """Format the figures that differ from an earlier report."""
    lines = ["", f"against the earlier run of {earlier['deployment']}, seed {earlier['seed']}:"]
    for policy, figures in rows.items():
        before = earlier["rows"].get(policy, {})
        for label, value in figures.items():
            if label in before and before[label] != value:
                lines.append(f"  {policy}: {label}: {before[label]} -> {value}")
    return lines


def write_reports(
    folder: Path, deployment: str, seed: int, runs: list[RunFigures], against: Path | None
) -> None:
    """Write the text, JSON and PNG reports and print the text."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = {run.policy: _figure_rows(run) for run in runs}
    lines = [f"{deployment}, seed {seed}", *_table(rows), *_goal_lines(runs[0])]
    if against is not None:
        lines += _comparison(rows, json.loads(against.read_text(encoding="utf-8")))
    text = "\n".join(lines)
    print(text)
    (folder / f"{deployment}.txt").write_text(f"{text}\n", encoding="utf-8")
    report = {"deployment": deployment, "seed": seed, "rows": rows, "runs": to_table(runs)}
    (folder / f"{deployment}.json").write_text(json.dumps(report), encoding="utf-8")
    draw_page(folder / f"{deployment}.png", deployment, runs)
    print(f"reports: {folder}/{deployment}.txt, .json, .png")
