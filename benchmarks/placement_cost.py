"""Measure the processor time of one placement at several sizes.

.venv/bin/python -m benchmarks.placement_cost
"""

import time
from random import Random

import xxhash

from benchmarks.placement_engines import DOMAIN, POOL, engine_view
from damaskwind.decisions.placement.messages import PlacementQuery
from damaskwind.decisions.placement.placer import Placer
from damaskwind.model.targets import LoadReport, TargetState

__all__ = ["placement_cost_us"]

LOAD_FACTOR = 1.25
CAPACITY_TOKENS = 200_000
SIZES = ((10, 1), (250, 1), (1000, 1), (10_000, 40), (10_000, 1))
REQUESTS_PER_S = 37


def placement_cost_us(target_count: int, domain_count: int) -> float:
    """Return the processor time of one placement without spills, in microseconds."""
    placer = Placer("bounded_rendezvous", "r", "domain-0", LOAD_FACTOR, Random(1))
    for number in range(target_count):
        view = engine_view(f"engine-{number}", TargetState.SERVING)
        placer.update_target(
            view._replace(failure_domain=f"domain-{number % domain_count}"), now_s=0.0
        )
        report = LoadReport(20_000, CAPACITY_TOKENS, 1, 0, 0.1)
        placer.observe_report(view.target_id, report, now_s=0.0)
    queries = [
        PlacementQuery(xxhash.xxh3_128_hexdigest(str(i).encode()), (), "a", 300, DOMAIN, POOL)
        for i in range(2000)
    ]
    placer.place(queries[0], 0.0)
    started_s = time.process_time()
    for number, query in enumerate(queries):
        placer.place(query, 0.2 + number / REQUESTS_PER_S)
    return (time.process_time() - started_s) / len(queries) * 1e6


def main() -> None:
    """Print a line for each size."""
    for targets, domains in SIZES:
        cost_us = placement_cost_us(targets, domains)
        print(f"{targets} targets in {domains} failure domains: {cost_us:.0f} us per placement")


if __name__ == "__main__":
    main()
