"""The settings, samples and figures of the placement benchmark."""

from collections import Counter
from collections.abc import Iterable
from statistics import fmean, pstdev
from typing import NamedTuple

__all__ = ["LOAD_FACTOR", "Sample", "Setting", "figures"]

LOAD_FACTOR = 1.25


class Setting(NamedTuple):
    """The size and the events of one run."""

    policy: str
    routers: int
    engines: int
    seconds: int
    warm_up_s: int
    requests_per_s_per_engine: float
    churn: bool
    surge: bool
    notes: bool
    report_every_s: float
    domains: int
    near: bool
    seed: int


class Sample(NamedTuple):
    """The true loads at one moment, relative to their mean."""

    mean_tokens: float
    max_ratio: float
    p99_ratio: float
    over_share: float
    large_request_ratio: float


def _quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    return sorted(values)[int(share * (len(values) - 1))]


def figures(
    setting: Setting,
    counts: Counter[str],
    samples: list[Sample],
    estimate_errors: list[tuple[float, float]],
    place_s: Iterable[float],
) -> dict[str, str]:
    """Format the figures of a run by name; each estimate error is paired with its stated sd."""
    maxima = [sample.max_ratio for sample in samples]
    slack = [sample.max_ratio - sample.large_request_ratio for sample in samples]
    errors = [error for error, _ in estimate_errors]
    measured_s = setting.seconds - setting.warm_up_s
    return {
        "reuse": f"{counts['reused'] / max(1, counts['prompt']):.3f}",
        "max/mean mean": f"{fmean(maxima):.3f}",
        "p99": f"{_quantile(maxima, 0.99):.3f}",
        "max": f"{max(maxima):.3f}",
        "less one large request mean": f"{fmean(slack):.3f}",
        "max less one": f"{max(slack):.3f}",
        "time over": f"{fmean([value > LOAD_FACTOR for value in slack]):.3f}",
        "engine-time over": f"{fmean([sample.over_share for sample in samples]):.5f}",
        "engine p99/mean": f"{fmean([sample.p99_ratio for sample in samples]):.3f}",
        "error bias": f"{fmean(errors):+.3f}",
        "error sd": f"{pstdev(errors):.3f}",
        "stated sd": f"{fmean([sd for _, sd in estimate_errors]):.3f}",
        "notes/s": f"{counts['notes'] / measured_s:.1f}",
        "queued": str(counts["queued"]),
        "retried": str(counts["retried"]),
        "place us": f"{1e6 * fmean([*place_s] or [0.0]):.0f}",
        "mean load": f"{fmean([sample.mean_tokens for sample in samples]):.0f}",
    }
