"""Simulate load surges on modelled engines and print the value served in time by policy.

`python -m benchmarks.overload --seeds 1,2,3` prints a row for each pattern, load and
policy. Values are relative to an upper bound that no schedule reaches: for each half
second of the surge, the most valuable arrivals that fit into the engines' time, with
every shared prefix cached, no failures and the future known.
"""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from random import Random
from statistics import mean

import defopt

from benchmarks.overload.engines import EngineParameters
from benchmarks.overload.patterns import BEFORE_S, KINDS, PATTERNS, SURGE_S, Pattern, engine_time_s
from benchmarks.overload.simulation import Simulation, Totals

__all__ = ["main", "upper_bound"]

POLICIES = {"as it comes": False, "admission": True}
BUCKET_S = 0.5


def capacity_per_s(engines: int) -> float:
    """Return the highest rate of requests that the engines can sustain."""
    parameters = EngineParameters()
    per_request_s = sum(
        kind.share
        * engine_time_s(kind, parameters.step_per_request_s, parameters.prefill_tokens_per_s)
        for kind in KINDS
    )
    return engines / per_request_s


def upper_bound(pattern: Pattern, engines: int) -> float:
    """Return an upper bound of the value that the engines can serve during the surge."""
    parameters = EngineParameters()
    buckets = defaultdict(list)
    for arrival in pattern.arrivals:
        if BEFORE_S <= arrival.at_s < BEFORE_S + SURGE_S:
            buckets[int(arrival.at_s / BUCKET_S)].append(arrival.kind)
    total = 0.0
    for kinds in buckets.values():
        remaining_s = (engines - pattern.lost_engines) * BUCKET_S
        costs = [
            (
                engine_time_s(kind, parameters.step_per_request_s, parameters.prefill_tokens_per_s),
                kind.value,
            )
            for kind in kinds
        ]
        for cost, value in sorted(costs, key=lambda item: item[1] / item[0], reverse=True):
            if cost > remaining_s:
                break
            remaining_s -= cost
            total += value
    return total


def simulate(
    name: str, load: float, policy: str, seed: int, routers: int, engines: int
) -> tuple[Totals, float]:
    """Simulate one pattern, load and policy; return its totals and the upper bound."""
    pattern = PATTERNS[name](capacity_per_s(engines), load, Random(seed))
    simulation = Simulation(pattern, POLICIES[policy], seed, engines, routers)
    return simulation.run(), upper_bound(pattern, engines)


def _row(name: str, load: float, policy: str, results: list[tuple[Totals, float]]) -> str:
    shares = [totals.on_time_value / bound for totals, bound in results]
    totals = [item for item, _ in results]
    kinds = " ".join(
        f"{kind.name} {mean(item.on_time_by_kind[kind.name] for item in totals):.2f}"
        for kind in KINDS
    )
    asked = sum(item.asked for item in totals)
    return (
        f"{name:16} {load:3.0f} {policy:12} {mean(shares):5.2f}"
        f" ({min(shares):.2f}-{max(shares):.2f})"
        f"  {kinds}  in time/s {mean(item.on_time_per_s for item in totals):6.1f}"
        f"  refused {sum(item.refused for item in totals) / asked:.3f}"
        f"  left {sum(item.left_unanswered for item in totals) / asked:.3f}"
        f"  slow refusals {mean(item.slow_refusals for item in totals):.3f}"
        f"  read again {mean(item.recomputed_tokens for item in totals) / 1000:.0f}k"
    )


def main(
    *,
    seeds: str = "1,2,3",
    times: str = "1,2,4,8",
    patterns: str = ",".join(PATTERNS),
    routers: int = 8,
    engines: int = 6,
    policies: str = ",".join(POLICIES),
    plot: str = "",
) -> None:
    """Print a table of the requests served in time.

    :param seeds: seeds of the arrivals, separated by commas
    :param times: loads of the surge as multiples of the pool's capacity, separated by commas
    :param patterns: names of load patterns, separated by commas
    :param routers: number of routers that share the traffic
    :param engines: number of engines
    :param policies: names of policies, separated by commas
    :param plot: file for a plot of the value served in time over the load
    """
    curves: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for name in patterns.split(","):
        for load in map(float, times.split(",")):
            for policy in policies.split(","):
                results = [
                    simulate(name, load, policy, int(seed), routers, engines)
                    for seed in seeds.split(",")
                ]
                print(_row(name, load, policy, results), flush=True)
                mean_share = mean(totals.on_time_value / bound for totals, bound in results)
                curves[name, policy].append((load, mean_share))
    if plot:
        _plot(curves.items(), Path(plot))


def _plot(curves: Iterable[tuple[tuple[str, str], list[tuple[float, float]]]], path: Path) -> None:
    """Plot the value served in time, relative to the upper bound, over the load."""
    from matplotlib import pyplot

    for (name, policy), points in curves:
        style = "-" if POLICIES[policy] else ":"
        pyplot.plot(*zip(*points, strict=True), style, label=f"{name}, {policy}")
    pyplot.xlabel("load in the surge, times the capacity")
    pyplot.ylabel("value in time, part of the mark")
    pyplot.legend(fontsize=6)
    pyplot.savefig(path)


if __name__ == "__main__":
    defopt.run(main)
