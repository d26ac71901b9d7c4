"""Measure the cost of a follower at a control replica and the delay of a change to all.

    .venv/bin/python -m benchmarks.capacity_streams [--streams 8,50,200,400]

The replica's follow service runs in this process over a configuration of 1,400
accounts; the followers run in a child process, so that the processor time of the two
sides is separate. They verify and report each update as routers do; the cost of
applying one is measured by `capacity_apply`.
"""

import argparse
import asyncio
import subprocess
import sys
import time
from typing import NamedTuple

from grpclib.server import Server

from benchmarks.capacity_apply import changed_account
from benchmarks.configuration_costs import large_configuration
from damaskwind.model.configuration import Configuration
from damaskwind.model.targets import Address
from damaskwind.router.configuration.upstream import Upstream
from damaskwind.wire.authentication import CallSigner, CallVerifier
from damaskwind.wire.follow_service import HEARTBEAT_S, FollowService

__all__ = ["StreamCosts", "measure_streams"]

CLUSTER = "measured"
KEY = "cluster-key"
STREAM_COUNTS = (8, 50, 200, 400)
CHANGES = 10
IDLE_S = 2 * HEARTBEAT_S
WAIT_S = 60.0
STREAM_TIMEOUT_S = 60.0
STARTS_PER_S = 200


class StreamCosts(NamedTuple):
    """Costs of streams at one replica; times are processor times except for the delays."""

    streams: int
    start_ms_per_stream: float
    idle_us_per_stream_s: float
    change_us_per_stream: float
    in_force_p50_s: float
    in_force_max_s: float
    sent_bytes_per_change: float


class _Progress:
    """Track the revision that each follower reported."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.revisions: dict[str, int] = {}
        self.changed = asyncio.Event()

    def record_report(self, router_id: str, domain: str, revision: int) -> None:
        """Record the report of a follower."""
        self.revisions[router_id] = revision
        self.changed.set()

    async def wait_for_all(self, revision: int) -> None:
        """Wait until every follower has reported a revision or a later one."""
        async with asyncio.timeout(WAIT_S):
            while sum(reported >= revision for reported in self.revisions.values()) < self.count:
                self.changed.clear()
                await self.changed.wait()


async def _measure(count: int) -> StreamCosts:
    """Serve `count` followers in a child process and measure the replica."""
    progress = _Progress(count)
    service = FollowService(CallVerifier(CLUSTER, KEY), lambda: True, progress.record_report)
    full = large_configuration()
    service.publish(full)
    server = Server([service])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    command = [sys.executable, "-m", "benchmarks.capacity_streams", "--follow", f"{port}:{count}"]
    started_s = time.process_time()
    child = subprocess.Popen(command, stdout=subprocess.PIPE, stdin=subprocess.PIPE)
    try:
        await progress.wait_for_all(full.revision)
        start_s = time.process_time() - started_s
        idle_s = await _measure_idle()
        delays_s, change_s = await _measure_changes(service, progress, full)
    finally:
        received, _ = child.communicate(b"\n", timeout=WAIT_S)
        server.close()
        await server.wait_closed()
    delays_s.sort()
    return StreamCosts(
        count,
        start_s / count * 1e3,
        idle_s / count * 1e6,
        max(0.0, change_s / CHANGES) / count * 1e6,
        delays_s[len(delays_s) // 2],
        delays_s[-1],
        int(received) / count / CHANGES,
    )


async def _measure_idle() -> float:
    """Return the processor time per second while nothing changes."""
    await asyncio.sleep(1.0)
    started_s = time.process_time()
    await asyncio.sleep(IDLE_S)
    return (time.process_time() - started_s) / IDLE_S


async def _measure_changes(
    service: FollowService, progress: _Progress, full: Configuration
) -> tuple[list[float], float]:
    """Publish changes sequentially; return their delays and the processor time."""
    delays_s = []
    spent_s = 0.0
    for number in range(CHANGES):
        full = changed_account(full, number)
        started_s, cpu_s = time.perf_counter(), time.process_time()
        service.publish(full)
        await progress.wait_for_all(full.revision)
        delays_s.append(time.perf_counter() - started_s)
        spent_s += time.process_time() - cpu_s
    return delays_s, spent_s


async def _follow(port: int, count: int) -> None:
    """Keep streams open until a line is read; print the bytes of the updates."""
    received = [0]
    tasks = [asyncio.ensure_future(_follow_stream(port, i, received)) for i in range(count)]
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.readline)
    print(received[0])
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _follow_stream(port: int, number: int, received: list[int]) -> None:
    """Follow one stream as a router does, without applying the updates."""
    name = f"router-{number:04d}"
    upstream = Upstream(name, f"domain-{number % 40:02d}", CallSigner(CLUSTER, KEY, name))
    # Starts are spread out, so that no stream times out while the others open.
    await asyncio.sleep(number / STARTS_PER_S)
    revision = 0
    async with upstream.watch(Address("127.0.0.1", port), revision) as stream:
        while True:
            before = upstream.received_bytes
            update = await stream.next(STREAM_TIMEOUT_S)
            if update.encoded.is_delta:
                received[0] += upstream.received_bytes - before
            revision = max(revision, update.encoded.revision)
            await stream.report(revision)


def measure_streams(count: int) -> StreamCosts:
    """Measure the cost of `count` streams at one replica."""
    return asyncio.run(_measure(count))


def main() -> None:
    """Print a line for each number of streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default=",".join(map(str, STREAM_COUNTS)))
    parser.add_argument("--follow", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.follow:
        port, count = map(int, options.follow.split(":"))
        asyncio.run(_follow(port, count))
        return
    for count in map(int, options.streams.split(",")):
        costs = measure_streams(count)
        print("; ".join(f"{name} {value:.4g}" for name, value in costs._asdict().items()))


if __name__ == "__main__":
    main()
