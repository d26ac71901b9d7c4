"""Compute the figures of one run from its observations."""

from collections import Counter
from typing import Any, NamedTuple

from benchmarks.measuring.driver import TurnOutcome

__all__ = ["SkewFigures", "reuse_by_phase", "skew_figures"]

_MIN_MEAN_REQUESTS = 1.0


class SkewFigures(NamedTuple):
    """Load skew over a run.

    `worst_ratio` and `p95_ratio` are the highest load over the mean while the engines
    have at least one request each on average. The bound is the load factor times the
    mean plus one request: `worst_excess_tokens` is the largest excess over it,
    `share_over_bound` the share of samples above it, and `over_bound` their times and
    excesses.
    """

    worst_ratio: float
    p95_ratio: float
    mean_ratio: float
    worst_excess_tokens: float
    share_over_bound: float
    worst_ratio_by_account: dict[str, float]
    series: list[tuple[float, float, float]]
    over_bound: list[tuple[float, float]]


def reuse_by_phase(outcomes: list[TurnOutcome], ideal: Counter[str]) -> dict[str, float]:
    """Return the reused prompt tokens relative to those of the oracle placement."""
    reused: Counter[str] = Counter()
    for outcome in outcomes:
        reused[outcome.turn.phase] += outcome.cached_tokens
    return {phase: round(reused[phase] / ideal[phase], 4) for phase in ideal if ideal[phase]}


def _up_loads(sample: dict[str, Any]) -> dict[str, float]:
    """Return the loads of the engines that are up."""
    down = set(sample["down"])
    return {name: load for name, load in sample["load_tokens"].items() if name not in down}


def _quantile(values: list[float], share: float) -> float:
    """Return a quantile of the values, 0 if there are none."""
    return sorted(values)[min(int(share * len(values)), len(values) - 1)] if values else 0.0


def skew_figures(
    samples: list[dict[str, Any]], load_factor: float, started_s: float
) -> SkewFigures:
    """Return the skew over the samples of a run that began at `from_s`."""
    ratios: list[float] = []
    excesses: list[float] = []
    series: list[tuple[float, float, float]] = []
    over_bound: list[tuple[float, float]] = []
    account_ratios: dict[str, float] = {}
    for sample in samples:
        loads = _up_loads(sample)
        if not loads:
            continue
        mean, highest = sum(loads.values()) / len(loads), max(loads.values())
        bound = load_factor * mean + sample["largest_request_tokens"]
        excesses.append(highest - bound)
        at_s = sample["time_s"] - started_s
        series.append((at_s, mean, highest))
        if highest > bound:
            over_bound.append((round(at_s, 1), round(highest - bound, 1)))
        requests = sum(sample["requests"].values())
        if requests >= _MIN_MEAN_REQUESTS * len(loads):
            ratios.append(highest / mean if mean else 0.0)
        _update_account_ratios(sample, len(loads), account_ratios)
    return SkewFigures(
        round(max(ratios, default=0.0), 3),
        round(_quantile(ratios, 0.95), 3),
        round(sum(ratios) / len(ratios), 3) if ratios else 0.0,
        round(max(excesses, default=0.0), 1),
        round(sum(excess > 0 for excess in excesses) / max(len(excesses), 1), 4),
        {account: round(ratio, 2) for account, ratio in sorted(account_ratios.items())},
        series,
        over_bound,
    )


def _update_account_ratios(
    sample: dict[str, Any], engines: int, worst_ratios: dict[str, float]
) -> None:
    """Update the worst ratio of highest to mean load of accounts that fill every engine."""
    largest = sample["largest_request_tokens"]
    for account, loads in sample["load_by_user"].items():
        mean = sum(loads.values()) / engines
        if mean >= largest > 0:
            worst_ratios[account] = max(worst_ratios.get(account, 0.0), max(loads.values()) / mean)
