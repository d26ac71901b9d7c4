"""Measure the time until a change is acknowledged and reaches each router.

Six replicas serve the routers in one process on loopback; the connections of each
replica share one link. A configuration grows to the given number of routes and then
changes six times, once every 0.44 s. Routers are reduced to their views.

    python -m benchmarks.confirmation_times
"""

import asyncio

from loguru import logger

from damaskwind.platform.tests.narrow_fleet import (
    NarrowFleet,
    VersionTimes,
    large_configuration,
    run_on_narrow_links,
)

REPLICAS = 6
CHANGES = 6
GAP_S = 0.44
BYTES_PER_MEGABIT = 125_000
# Routers, routes, megabits per second of each replica's link.
CASES = (
    (8, 240, 6.0),
    (75, 240, 3.0),
    (75, 1_500, 3.0),
    (75, 1_500, 6.0),
    (89, 1_500, 3.0),
    (200, 1_500, 3.0),
)


def _percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a `fraction` of the values lies.

    >>> _percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


async def _grow_and_change(fleet: NarrowFleet, routes: int) -> tuple[VersionTimes, list, int]:
    """Return the times of the growth and of the changes, and the number of leader changes."""
    term = fleet.terms()
    growth = await fleet.publish_timed(large_configuration(2, routes), limit_s=30.0)
    changes = []
    for version in range(3, 3 + CHANGES):
        content = large_configuration(version, routes)
        changes.append(asyncio.ensure_future(fleet.publish_timed(content, limit_s=30.0)))
        await asyncio.sleep(GAP_S)
    return growth, await asyncio.gather(*changes), fleet.terms() - term


def _row(name: str, times: list[VersionTimes]) -> str:
    """Format the figures of versions: acknowledgement, then arrival at the routers."""
    acknowledged_s = [item.acknowledged_s for item in times]
    routers_s = [at_s for item in times for at_s in item.routers_s]
    figures = (
        max(acknowledged_s),
        _percentile(routers_s, 0.5),
        _percentile(routers_s, 0.99),
        max(routers_s),
    )
    return f"  {name:8}" + "".join(f"{figure:10.2f}" for figure in figures)


def main() -> None:
    """Print a table."""
    logger.remove()
    print("seconds: acknowledged (highest), then to a router: p50, p99, highest")
    for routers, routes, megabits in CASES:

        async def scenario(fleet: NarrowFleet, routes: int = routes) -> tuple:
            return await _grow_and_change(fleet, routes)

        growth, changes, leaders_lost = run_on_narrow_links(
            lambda routers=routers: NarrowFleet(REPLICAS, routers),
            scenario,
            megabits * BYTES_PER_MEGABIT,
        )
        print(f"{routers} routers, {routes} routes, {megabits} Mbit/s; lost {leaders_lost} leaders")
        print(_row("growth", [growth]))
        print(_row("changes", changes), flush=True)


if __name__ == "__main__":
    main()
