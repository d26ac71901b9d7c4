"""Draw one page of plots for all policies."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from benchmarks.measuring.run import RunFigures  # noqa: E402

__all__ = ["draw_page"]


def _mark_phases(axes: pyplot.Axes, run: RunFigures) -> None:
    """Mark where each phase begins."""
    for phase in run.phases:
        axes.axvline(phase.start_s, color="0.8", linewidth=0.8)
        axes.text(phase.start_s, axes.get_ylim()[1], f" {phase.name}", va="top", fontsize=7)


def _draw_reuse(axes: pyplot.Axes, runs: list[RunFigures]) -> None:
    """Plot the reuse of each policy by phase as bars."""
    width = 0.8 / len(runs)
    phases = list(runs[0].reuse)
    for index, run in enumerate(runs):
        positions = [number + index * width for number in range(len(phases))]
        axes.bar(positions, [run.reuse.get(name, 0) for name in phases], width, label=run.policy)
    group_center = (len(runs) - 1) * width / 2
    axes.set_xticks([number + group_center for number in range(len(phases))], phases)
    axes.axhline(0.95, color="0.5", linewidth=0.8, linestyle="--")
    axes.set_title("cache reuse / all-knowing placement")
    axes.legend(fontsize=7)


def _draw_skew(axes: pyplot.Axes, runs: list[RunFigures]) -> None:
    """Plot the ratio of the highest load to the mean over time."""
    last = runs[0].phases[-1]
    end_s = last.start_s + last.duration_s
    for run in runs:
        points = [
            (at_s, highest / mean)
            for at_s, mean, highest in run.skew.series
            if mean > 0 and at_s <= end_s
        ]
        axes.plot(*zip(*points, strict=True), linewidth=0.8, label=run.policy)
    axes.set_ylim(1, 6)
    axes.set_title("highest engine load / mean")
    axes.set_xlabel("s")
    _mark_phases(axes, runs[0])


def _draw_load(axes: pyplot.Axes, run: RunFigures) -> None:
    """Plot the mean and the highest load of one policy."""
    times, means, highest_loads = zip(*run.skew.series, strict=True)
    axes.plot(times, highest_loads, linewidth=0.8, label="highest")
    axes.plot(times, means, linewidth=0.8, label="mean")
    axes.set_title(f"engine load in tokens, {run.policy}")
    axes.set_xlabel("s")
    axes.legend(fontsize=7)
    _mark_phases(axes, run)


def _draw_control(axes: pyplot.Axes, run: RunFigures) -> None:
    """Plot the control traffic of each router under one policy."""
    for router, points in run.control_series.items():
        if points:
            axes.plot(*zip(*points, strict=True), linewidth=0.8, label=router)
    axes.axhline(4096, color="0.5", linewidth=0.8, linestyle="--")
    axes.set_title(f"control bytes/s per router, both directions, {run.policy}")
    axes.set_xlabel("s")


def draw_page(path: Path, deployment: str, runs: list[RunFigures]) -> None:
    """Write a PNG page with the plots of all runs."""
    figure, axes = pyplot.subplots(2, 2, figsize=(14, 9), layout="constrained")
    figure.suptitle(deployment)
    _draw_reuse(axes[0][0], runs)
    _draw_skew(axes[0][1], runs)
    _draw_load(axes[1][0], runs[0])
    _draw_control(axes[1][1], runs[0])
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
