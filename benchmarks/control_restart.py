"""Kill every replica and router with SIGKILL after many changes and measure the restart.

    .venv/bin/python -m benchmarks.control_restart [--changes 1000] [--routers 8]

It runs real processes: three `damaskwindd control` and routers that store their
revision in a file. After the restart each replica must have every confirmation that
was acknowledged to an operator, in order and with a valid audit trail, and no router
may have gone back to an older revision. The exit code is non-zero otherwise.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from statistics import quantiles

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.reactor import install_reactor

WAIT_S = 60.0


async def measure(changes: int, router_count: int, folder: Path) -> int:
    """Make the changes, kill and restart everything, check; return the exit code."""

    from damaskwind.commands.tests.fault_cluster import REPLICAS, FaultCluster
    from damaskwind.standins.harness import wait_until

    cluster = FaultCluster(folder)
    try:
        await cluster.start_replicas()
        routers = await cluster.start_routers(router_count)
        durations_s = []
        for number in range(changes):
            started_s = read_clock()
            await cluster.add_viewer(REPLICAS[number % 3], f"viewer-{number}")
            durations_s.append(read_clock() - started_s)
        last = cluster.confirmed[-1].revision
        propagation_s = await cluster.wait_in_force(routers, last)
        percentiles = quantiles(durations_s, n=100)
        print(
            f"{changes} changes planned and confirmed, one at a time, through each replica in turn:"
        )
        print(f"  each p50 {percentiles[49] * 1000:.0f} ms, p99 {percentiles[98] * 1000:.0f} ms")
        print(
            f"  the last one in force on {router_count} routers after another {propagation_s:.2f} s"
        )
        await cluster.kill(*REPLICAS, *routers)
        started_s = read_clock()
        await cluster.restart(*REPLICAS, *routers)
        ready_s = read_clock() - started_s
        await wait_until(lambda: cluster.all_vote(REPLICAS), WAIT_S, "a leader")
        leader_s = read_clock() - started_s
        await cluster.wait_in_force(routers, last)
        in_force_s = read_clock() - started_s
        faults = await cluster.find_faults()
        final = await cluster.add_viewer_anywhere(REPLICAS, "after-the-restart")
        await cluster.wait_in_force(routers, final.revision)
        faults += await cluster.find_faults()
        print(f"kill -9 of {len(REPLICAS) + router_count} processes and restart at once:")
        print(f"  all started after {ready_s:.1f} s, a leader after {leader_s:.1f} s")
        print(f"  revision {last} in force on all routers after {in_force_s:.1f} s")
        print(f"  faults: {faults or 'none'}")
        return 1 if faults else 0
    finally:
        await cluster.stop()


def main() -> int:
    """Parse the command line and run on the reactor's loop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--routers", type=int, default=8)
    options = parser.parse_args()
    reactor = install_reactor()
    exit_codes = [1]

    async def run() -> None:
        try:
            with tempfile.TemporaryDirectory() as folder:
                exit_codes[0] = await measure(options.changes, options.routers, Path(folder))
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run()
    return exit_codes[0]


if __name__ == "__main__":
    sys.exit(main())
