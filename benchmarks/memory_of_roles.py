"""Measure the memory of each role: after its start, by import, and per stored object.

    .venv/bin/python -m benchmarks.memory_of_roles

Each measurement runs in separate processes. Resident memory includes file pages, which
the processes of a VM share; anonymous memory is private to a process. Slopes are the
bytes that Python allocates according to tracemalloc.
"""

import asyncio
import importlib
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from damaskwind.runtime.clock import read_clock

DEADLINE_S = 30.0
SETTLE_S = 3.0
NODE_SETTINGS = """[node]
node_id = "a"
cluster = "measured"
cluster_key = "k"
region = "r"
failure_domain = "d"
"""
ROLE_SETTINGS = {
    "control": """[control]
replica_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
data_folder = "{folder}/data"
ready_file = "{folder}/ready"
[[control.bootstrap_replicas]]
replica_id = "a"
address = "127.0.0.1:0"
failure_domain = "d"
""",
    "router": """[router]
http_address = "127.0.0.1:0"
datagram_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
announce_key = "k"
ready_file = "{folder}/ready"
""",
}
IMPORT_STEPS = (
    "loguru",
    "msgspec",
    "defopt",
    "damaskwind.commands.daemon",
    "@reactor",
    "grpclib.server",
    "google.protobuf.message",
    "twisted.web.server",
    "klein",
    "twisted.web.client",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
    "damaskwind.{role}.process",
)
UNNEEDED_PACKAGES = ("cryptography", "hypothesis", "openai", "pytest", "requests")
ACCOUNTS = 1400
TARGETS = 250
ROUTERS = 2100
SPILL_NOTES = 2000
CLAIMS = 2000
ANSWER_BYTES = 200


class Memory(NamedTuple):
    """Memory of a process in megabytes."""

    resident_mb: float
    anonymous_mb: float


def read_memory(pid: int | str) -> Memory:
    """Return the memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    sizes = (int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon"))
    return Memory(*sizes)


def measure_start(role: str) -> None:
    """Print the memory of a role's daemon a few seconds after its start."""
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.toml"
        settings.write_text(
            NODE_SETTINGS + ROLE_SETTINGS[role].format(folder=folder), encoding="utf-8"
        )
        daemon = Path(sys.executable).with_name("damaskwindd")
        process = subprocess.Popen(
            [daemon, role, settings], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        try:
            end_s = read_clock() + DEADLINE_S
            while not (Path(folder) / "ready").exists():
                if read_clock() > end_s or process.poll() is not None:
                    raise RuntimeError(f"{role} did not start")
                time.sleep(0.05)
            time.sleep(SETTLE_S)
            used = read_memory(process.pid)
            print(f"{role}: {used.resident_mb:.1f} MB, anonymous {used.anonymous_mb:.1f} MB")
        finally:
            process.terminate()
            process.wait()


def print_imports(role: str) -> None:
    """Import the packages of a role step by step and print the memory that each step adds."""
    before = read_memory("self")
    print(f"{role}, interpreter with asyncio: {before.resident_mb:.1f} MB")
    for step in IMPORT_STEPS:
        name = step.format(role=role)
        if name == "@reactor":
            importlib.import_module("damaskwind.runtime.reactor").install_reactor()
        else:
            importlib.import_module(name)
        after = read_memory("self")
        print(
            f"  {name:<36} +{after.resident_mb - before.resident_mb:5.1f}"
            f" = {after.resident_mb:5.1f} MB, anonymous {after.anonymous_mb:5.1f}"
        )
        before = after
    loaded = [name for name in UNNEEDED_PACKAGES if name in sys.modules]
    print(f"  needless packages loaded: {', '.join(loaded) or 'none'}")


def allocated_bytes(action: Callable[[], Any]) -> int:
    """Return the bytes that the result of an action occupies."""
    before, _ = tracemalloc.get_traced_memory()
    result = action()
    after, _ = tracemalloc.get_traced_memory()
    del result
    return after - before


def make_node_with_peers() -> Any:
    """Return a gossip node that knows many routers."""
    from random import Random

    from benchmarks.control_state import record
    from damaskwind.decisions.membership.messages import News
    from damaskwind.router.membership.node import GossipNode

    node = GossipNode(record(0, 40), "benchmark", "key", (), Random(1), 0.0)
    for start in range(1, ROUTERS, 10):
        group = tuple(record(i, 40) for i in range(start, min(start + 10, ROUTERS)))
        sender = record(1, 40)
        node.core.receive(sender.router_id, 1, sender.address, News(group, repair=True), 0.0)
    return node


def make_holder_with_claims() -> Any:
    """Return a claim holder that stores many keys with small answers."""
    from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
    from damaskwind.decisions.claims.messages import (
        Accepted,
        Ballot,
        ClaimValue,
        Order,
        Outcome,
        Promise,
        Record,
        StoredAnswer,
        Write,
    )
    from damaskwind.model.verdict import Verdict

    holder = ClaimHolder("h", 1, ("h",), HolderPolicy(), 0.0, is_first_start=True)
    for index in range(CLAIMS):
        key, request_id = f"{index:032x}", f"router-1.{index:016x}"
        ballot, value = Ballot(1, request_id), ClaimValue(request_id, f"{index:032x}")
        holder.order(Order(key, ballot), 0.0)
        holder.write(Write(key, ballot, value, (Promise("h", 1),)), 0.0)
        answer = StoredAnswer(200, "application/json", bytes(ANSWER_BYTES), f"{index:032x}")
        holder.record(Record(key, Accepted(ballot, value), Outcome(Verdict.RAN, answer)), 0.0)
    return holder


def make_history_with_configuration() -> Any:
    """Return the history that a replica keeps for followers after sending a configuration."""
    from benchmarks.call_bytes import configuration
    from damaskwind.wire.configuration_history import ConfigurationHistory

    history = ConfigurationHistory()
    history.set(configuration(ACCOUNTS, 2))
    history.encode_for(0)
    return history


async def print_slopes() -> None:
    """Fill a router without peers and print the memory of each kind of object."""
    from benchmarks.call_bytes import configuration
    from damaskwind.decisions.membership.outputs import SpillHeard
    from damaskwind.decisions.membership.tests.samples import announcement
    from damaskwind.decisions.placement.messages import SpillNote
    from damaskwind.router.process import RouterProcess
    from damaskwind.runtime.settings import read_settings

    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.toml"
        settings.write_text(
            NODE_SETTINGS + ROLE_SETTINGS["router"].format(folder=folder), encoding="utf-8"
        )
        from twisted.internet import reactor

        router = RouterProcess(read_settings(settings), reactor)
        await router.start()
        router.apply(configuration(1, 1))
        tracemalloc.start()

        def announce() -> None:
            for index in range(TARGETS):
                router.membership.announce(
                    announcement(f"target-{index:05d}", domain="d", lease_s=60.0), 400
                )

        def observe_spills() -> None:
            notes = [
                SpillNote(f"{index:012x}", f"target-{index % TARGETS:05d}")
                for index in range(SPILL_NOTES)
            ]
            router.directory.handle_event(SpillHeard(tuple(notes)))

        def apply_configuration() -> None:
            router.links.follower._apply(configuration(ACCOUNTS, 2), "benchmark")

        for name, count, action in (
            ("target", TARGETS, announce),
            ("chat served away from home", SPILL_NOTES, observe_spills),
            ("client account", ACCOUNTS, apply_configuration),
            ("router of the fleet", ROUTERS, make_node_with_peers),
            (
                "control: client account, in the configuration",
                ACCOUNTS,
                make_history_with_configuration,
            ),
            ("control: claim with an answer of 200 B", CLAIMS, make_holder_with_claims),
        ):
            size_bytes = allocated_bytes(action)
            print(f"{name}: {size_bytes / count:.0f} B (n={count}, {size_bytes / 1e6:.2f} MB)")
        await router.stop()


def main() -> None:
    """Run all measurements, or the one named on the command line in this process."""
    part, *rest = sys.argv[1:] or [""]
    if part == "imports":
        print_imports(*rest)
        return
    if part == "slopes":
        from loguru import logger

        from damaskwind.runtime.reactor import install_reactor

        logger.remove()
        install_reactor()
        asyncio.get_event_loop().run_until_complete(print_slopes())
        return
    for role in ROLE_SETTINGS:
        measure_start(role)
        subprocess.run([sys.executable, "-m", "benchmarks.memory_of_roles", "imports", role])
    subprocess.run([sys.executable, "-m", "benchmarks.memory_of_roles", "slopes"])


if __name__ == "__main__":
    main()
