"""Measure the control plane: confirms, restarts, time until in force, bytes and memory.

    .venv/bin/python -m benchmarks.control_plane

Three replicas and the followers share one process and one event loop, so latencies
are upper bounds. Memory is measured on a separate `damaskwindd control` process.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import quantiles

from loguru import logger

from benchmarks.control_cluster import (
    BOOTSTRAP,
    ORIGIN,
    RunningReplica,
    account_table,
    base_intent,
    make_follower,
    running_replicas,
    start_replica,
)
from damaskwind.control.state.command import Actor, RecordCommand, encode_command
from damaskwind.router.configuration.follower import ConfigurationFollower
from damaskwind.runtime.clock import read_clock

FSYNC_BYTES = 600
DEADLINE_S = 30.0
SNAPSHOT_NEVER = 10**9
SNAPSHOT_EVERY = 900
BATCH_SIZE = 64


def summarize(values_s: list[float]) -> str:
    """Format the median and the 99th percentile in milliseconds."""
    cuts = quantiles(values_s, n=100)
    return f"p50 {cuts[49] * 1000:.2f} ms, p99 {cuts[98] * 1000:.2f} ms (n={len(values_s)})"


def fsync_times(folder: Path, count: int) -> list[float]:
    """Append and fsync repeatedly; return the duration of each."""
    durations_s = []
    descriptor = os.open(folder / "probe", os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    try:
        for _ in range(count):
            started_s = time.perf_counter()
            os.write(descriptor, b"x" * FSYNC_BYTES)
            os.fsync(descriptor)
            durations_s.append(time.perf_counter() - started_s)
    finally:
        os.close(descriptor)
    return durations_s


def make_record(number: int) -> bytes:
    """Return an encoded command that only adds to the audit trail."""
    actor = Actor(BOOTSTRAP, ORIGIN, float(number))
    return encode_command(RecordCommand(actor, "measure", f"change {number}", "noted"))


async def apply_intent(replica: RunningReplica, intent: dict) -> tuple[float, float]:
    """Plan and confirm an intent; return the duration of each step in seconds."""
    await replica.intents.read_current()
    started_s = time.perf_counter()
    plan = await replica.intents.plan(BOOTSTRAP, ORIGIN, intent)
    planned_s = time.perf_counter()
    await replica.intents.confirm(BOOTSTRAP, ORIGIN, plan["plan"]["id"])
    return planned_s - started_s, time.perf_counter() - planned_s


async def measure_confirms(folder: Path, sequential: int, parallel: int) -> None:
    """Print the latency of confirms next to that of fsync, and the commit rate."""
    print(f"fsync of {FSYNC_BYTES} appended bytes: {summarize(fsync_times(folder, sequential))}")
    async with running_replicas(folder, 3) as (running, _):
        await apply_intent(running[0], base_intent(10))
        await time_confirms(running, sequential)
        await time_commits(running[0], parallel)


async def time_confirms(running: list[RunningReplica], count: int) -> None:
    """Print the latency of confirms at the leader and at another replica."""
    for label, replica in (("the leader", running[0]), ("another replica", running[1])):
        times = []
        for number in range(count // 2):
            intent = {"accounts": {"account-1": account_table("account-1", number % 7 + 1)}}
            times.append((await apply_intent(replica, intent))[1])
        print(f"confirm at {label}, one at a time: {summarize(times)}")
    syncs_s = running[0].node.replica.writer.sync_durations_s
    print(f"journal write with fsync in that run: {summarize(syncs_s)}")


async def time_commits(leader: RunningReplica, count: int) -> None:
    """Print the commit rate of concurrent commands."""
    writer = leader.node.replica.writer
    groups = writer.group_count
    started_s = time.perf_counter()
    for first in range(0, count, BATCH_SIZE):
        calls = [
            leader.node.access.propose(make_record(first + i), DEADLINE_S)
            for i in range(BATCH_SIZE)
        ]
        await asyncio.gather(*calls)
    seconds = time.perf_counter() - started_s
    groups = writer.group_count - groups
    total = -(-count // BATCH_SIZE) * BATCH_SIZE
    print(
        f"commits, {BATCH_SIZE} at a time: {total / seconds:.0f} a second,"
        f" {total / groups:.1f} to one fsync"
    )


async def measure_restart(folder: Path, changes: int, snapshot_every_entries: int) -> None:
    """Print the restart time of a replica after some changes."""
    async with running_replicas(folder, 1, snapshot_every_entries) as (running, bootstrap):
        replica = running[0]
        await apply_intent(replica, base_intent(10))
        for first in range(0, changes, 100):
            calls = [
                replica.node.access.propose(make_record(first + i), DEADLINE_S) for i in range(100)
            ]
            await asyncio.gather(*calls)
        last_index = replica.node.replica.state.applied_index
    started_s = time.perf_counter()
    restarted = await start_replica(folder, "replica-0", bootstrap, snapshot_every_entries)
    replayed = await restarted.node.replica.wait_until(
        lambda: restarted.node.replica.state.applied_index >= last_index, DEADLINE_S
    )
    seconds = time.perf_counter() - started_s
    kind = (
        "no snapshot"
        if snapshot_every_entries == SNAPSHOT_NEVER
        else f"a snapshot every {SNAPSHOT_EVERY}"
    )
    size_bytes = sum(path.stat().st_size for path in (folder / "replica-0").glob("*.*"))
    print(
        f"restart after {changes} changes, {kind}: files {restarted.recovery_s * 1000:.0f} ms,"
        f" state current after {seconds * 1000:.0f} ms with the election of 1 to 2 s,"
        f" {size_bytes / 1024:.0f} KiB on disk, complete: {replayed}"
    )
    await restarted.stop()


async def measure_in_force(
    folder: Path, accounts: int, followers: int, changes: int, idle_s: float
) -> None:
    """Print the time from a confirm until it is in force, and the bytes of a follower."""
    async with running_replicas(folder, 3) as (running, bootstrap):
        await apply_intent(running[0], base_intent(accounts))
        routers = [
            make_follower(f"router-{i}", bootstrap, f"domain-{i % 3}") for i in range(followers)
        ]
        try:
            await time_in_force(running[0], routers, accounts, changes, idle_s)
        finally:
            for follower in routers:
                await follower.stop()


def transferred_bytes(follower: ConfigurationFollower) -> int:
    """Return the bytes that a follower transferred in both directions."""
    return follower.received_bytes + follower.sent_bytes


async def time_in_force(
    leader: RunningReplica,
    routers: list[ConfigurationFollower],
    accounts: int,
    changes: int,
    idle_s: float,
) -> None:
    """Print delays and bytes of changes of one account each."""
    applied: dict[int, list[float]] = {}
    for follower in routers:
        follower.subscribe(
            lambda full: applied.setdefault(full.revision, []).append(time.perf_counter())
        )
        await follower.start()
    while not all(follower.is_ready for follower in routers):
        await asyncio.sleep(0.05)
    initial_bytes = transferred_bytes(routers[0])
    await asyncio.sleep(idle_s)
    before, started_s = transferred_bytes(routers[0]), time.perf_counter()
    idle = (before - initial_bytes) / idle_s
    delays_s: list[float] = []
    for number in range(changes):
        intent = {"accounts": {"account-1": account_table("account-1", number % 7 + 1)}}
        await apply_intent(leader, intent)
        confirmed_s = time.perf_counter()
        revision = leader.machine.configuration.revision
        while len(applied.get(revision, ())) < len(routers):
            await asyncio.sleep(0.001)
        delays_s += [max(at_s - confirmed_s, 0.0) for at_s in applied[revision]]
    spent = transferred_bytes(routers[0]) - before
    per_change = (spent - idle * (time.perf_counter() - started_s)) / changes
    print(
        f"{accounts} accounts, {len(routers)} followers: confirm to in force {summarize(delays_s)},"
        f" most {max(delays_s) * 1000:.1f} ms"
    )
    print(
        f"{accounts} accounts: first configuration {initial_bytes} bytes, idle {idle:.0f} bytes a"
        f" second, {per_change:.0f} bytes a change (both directions, heads estimated)"
    )


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise RuntimeError("no VmRSS")


def measure_memory(folder: Path) -> None:
    """Print the memory of a separate control process after its start."""
    ready = folder / "ready"
    settings = folder / "control.toml"
    settings.write_text(
        '[node]\nnode_id = "a"\ncluster = "measured"\ncluster_key = "k"\n'
        'region = "r"\nfailure_domain = "d"\n'
        '[control]\nreplica_address = "127.0.0.1:0"\noperator_address = "127.0.0.1:0"\n'
        f'data_folder = "{folder / "data"}"\nready_file = "{ready}"\n'
        '[[control.bootstrap_replicas]]\nreplica_id = "a"\naddress = "127.0.0.1:0"\n'
        'failure_domain = "d"\n',
        encoding="utf-8",
    )
    daemon = Path(sys.executable).with_name("damaskwindd")
    process = subprocess.Popen(
        [daemon, "control", str(settings)], stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL
    )
    try:
        deadline_s = read_clock() + DEADLINE_S
        while not ready.exists() and read_clock() < deadline_s:
            time.sleep(0.05)
        time.sleep(3.0)
        print(
            f"memory of one control process after start: {resident_kib(process.pid) / 1024:.0f} MiB"
        )
    finally:
        process.terminate()
        process.wait(timeout=DEADLINE_S)


def main() -> None:
    """Run all measurements with the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sequential", type=int, default=400)
    parser.add_argument("--parallel", type=int, default=3200)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--followers", type=int, default=8)
    parser.add_argument("--idle-s", type=float, default=30.0)
    parser.add_argument("--accounts", type=int, nargs="*", default=[10, 1400])
    parser.add_argument("--folder", type=Path, default=None, help="a folder on the disk to measure")
    options = parser.parse_args()
    logger.remove()
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        base = Path(name)

        def fresh(subfolder: str) -> Path:
            path = base / subfolder
            path.mkdir()
            return path

        asyncio.run(measure_confirms(fresh("confirms"), options.sequential, options.parallel))
        for changes in (1000, 10_000):
            for every in (SNAPSHOT_EVERY, SNAPSHOT_NEVER):
                subfolder = fresh(f"restart-{changes}-{every}")
                asyncio.run(measure_restart(subfolder, changes, every))
        for accounts in options.accounts:
            subfolder = fresh(f"force-{accounts}")
            scenario = measure_in_force(
                subfolder, accounts, options.followers, options.changes, options.idle_s
            )
            asyncio.run(scenario)
        measure_memory(fresh("memory"))


if __name__ == "__main__":
    main()
