"""Run control replicas and followers in this process for measurements."""

import asyncio
import hashlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from grpclib.server import Server

from damaskwind.control.operator_api.intent_service import IntentLimits, IntentService
from damaskwind.control.replica.node import ReplicaNode, open_replica
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.control.storage.files import FileSystem
from damaskwind.router.configuration.follower import ConfigurationFollower
from damaskwind.runtime.settings import ControlSettings, NodeSettings, ReplicaSettings
from damaskwind.wire.authentication import CallSigner, CallVerifier
from damaskwind.wire.follow_service import FollowService

__all__ = [
    "BOOTSTRAP",
    "ORIGIN",
    "RunningReplica",
    "account_table",
    "base_intent",
    "make_follower",
    "running_replicas",
    "start_replica",
]

BOOTSTRAP = "bootstrap"
ORIGIN = "127.0.0.1"
CLUSTER = "measured"
KEY = "cluster-key"
WAIT_S = 30.0


class RunningReplica(NamedTuple):
    """One replica with its services and the time that recovering its files took."""

    node: ReplicaNode
    machine: ConfigurationMachine
    intents: IntentService
    server: Server
    recovery_s: float

    async def stop(self) -> None:
        """Stop the replica."""
        await self.node.stop()
        self.server.close()
        await self.server.wait_closed()


def _free_address() -> str:
    """Return a currently free address on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def start_replica(
    folder: Path, name: str, bootstrap: tuple[ReplicaSettings, ...], snapshot_every_entries: int
) -> RunningReplica:
    """Start one replica of the configuration's log."""
    own = next(item for item in bootstrap if item.replica_id == name)
    node = NodeSettings(name, CLUSTER, KEY, "region", own.failure_domain)
    control = ControlSettings(
        own.address,
        "127.0.0.1:0",
        str(folder / name),
        bootstrap,
        snapshot_every_entries=snapshot_every_entries,
    )
    machine = ConfigurationMachine()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    opened = open_replica(node, control, machine, FileSystem(), Random(name))
    recovery_s = loop.time() - started_s
    replica = opened.replica
    verifier = CallVerifier(CLUSTER, KEY)
    follow = FollowService(verifier, lambda: replica.is_current, lambda *report: None)
    replica.on_applied.append(lambda: follow.publish(machine.configuration))
    server = Server([opened.service, follow])
    host, _, port = own.address.partition(":")
    await server.start(host, int(port))
    opened.start(node, control, own.address)
    intents = IntentService(opened.access, machine, IntentLimits())
    return RunningReplica(opened, machine, intents, server, recovery_s)


@asynccontextmanager
async def running_replicas(
    folder: Path, count: int, snapshot_every_entries: int = 1000
) -> AsyncIterator[tuple[list[RunningReplica], tuple[ReplicaSettings, ...]]]:
    """Run a cluster until all replicas vote and one leads; yield the leader first."""
    bootstrap = tuple(
        ReplicaSettings(f"replica-{i}", _free_address(), f"domain-{i}") for i in range(count)
    )
    running: list[RunningReplica] = []
    try:
        for item in bootstrap:
            running.append(
                await start_replica(folder, item.replica_id, bootstrap, snapshot_every_entries)
            )
        await _wait_until_settled(running)
        running.sort(key=lambda item: not item.node.replica.is_leader)
        yield running, bootstrap
    finally:
        for replica in running:
            await replica.stop()


async def _wait_until_settled(running: list[RunningReplica]) -> None:
    """Wait until all replicas vote and one leads."""

    def is_settled() -> bool:
        cores = [item.node.replica.core for item in running]
        all_vote = all(len(core.membership.voters) == len(running) for core in cores)
        return all_vote and any(core.role == "leader" for core in cores)

    if not await running[0].node.replica.wait_until(is_settled, WAIT_S):
        raise RuntimeError("the cluster did not elect a leader in time")


def make_follower(
    name: str, bootstrap: tuple[ReplicaSettings, ...], domain: str
) -> ConfigurationFollower:
    """Return a follower that is not started."""
    return ConfigurationFollower(name, domain, CallSigner(CLUSTER, KEY, name), bootstrap, Random(1))


def account_table(name: str, concurrent: int) -> dict[str, Any]:
    """Return a client account as in an operator's intent."""
    return {
        "key_hashes": [hashlib.sha256(f"{name}-{i}".encode()).hexdigest() for i in range(2)],
        "priority_class": "interactive",
        "max_concurrent_requests": concurrent,
        "max_tokens_per_s": 20000.0,
        "models": [{"model": "damask", "version": "1"}],
    }


def base_intent(account_count: int) -> dict[str, Any]:
    """Return the first intent of a fleet: a model, its pool and client accounts."""
    return {
        "priority_classes": {"interactive": {"rank": 0, "weight": 4}},
        "models": {
            "damask": {
                "service": "pool",
                "default_version": "1",
                "versions": [{"version": "1"}],
            }
        },
        "services": {"pool": {"kind": "engine"}},
        "accounts": {
            f"account-{i}": account_table(f"account-{i}", 32) for i in range(account_count)
        },
    }
