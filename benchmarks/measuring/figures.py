"""Work the figures of one run out of what was seen."""

from collections import Counter
from typing import Any, NamedTuple

from benchmarks.measuring.driver import TurnOutcome

__all__ = ["SkewFigures", "reuse_by_phase", "skew_figures"]

_MIN_MEAN_REQUESTS = 1.0


class SkewFigures(NamedTuple):
    """Load skew over a run.

    `worst_ratio` and `p95_ratio` are highest load over mean while the engines
    have at least a request each on average. `worst_excess_tokens` is how far
    the highest load was over the factor times the mean plus one request, and
    `share_over_bound` how many of the samples were; `over_bound` has their times
    and excesses.
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
    """Return the reused prompt tokens over those an all-knowing placement reuses."""
    reused: Counter[str] = Counter()
    for outcome in outcomes:
        reused[outcome.turn.phase] += outcome.cached_tokens
    return {phase: round(reused[phase] / ideal[phase], 4) for phase in ideal if ideal[phase]}


def _up_loads(sample: dict[str, Any]) -> dict[str, float]:
    """Return the loads of the engines that are up."""
    down = set(sample["down"])
    return {name: load for name, load in sample["load_tokens"].items() if name not in down}


def _quantile(values: list[float], share: float) -> float:
    """Return the value that a share of the values stay within."""
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
    """Note each account's highest load over its mean, in requests it can fill."""
    largest = sample["largest_request_tokens"]
    for account, loads in sample["load_by_user"].items():
        mean = sum(loads.values()) / engines
        if mean >= largest > 0:
            worst_ratios[account] = max(worst_ratios.get(account, 0.0), max(loads.values()) / mean)
