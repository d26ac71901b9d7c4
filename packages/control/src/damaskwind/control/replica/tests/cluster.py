"""Run clusters of replicas with a small state machine in this process, on loopback."""

import asyncio
import tempfile
from pathlib import Path
from random import Random

import msgspec
from grpclib.server import Server
from twisted.trial.unittest import TestCase

from damaskwind.control.operator_api.ports import CommitVerdict
from damaskwind.control.replica.node import open_replica
from damaskwind.control.storage.files import FileSystem
from damaskwind.runtime.settings import (
    ControlSettings,
    NodeSettings,
    ReplicaSettings,
    parse_address,
)
from damaskwind.standins.harness import free_addresses

COMMITTED = CommitVerdict.COMMITTED


def free_address():
    """Return a loopback address whose port is free now."""
    return free_addresses(1)[0]


class ListMachine:
    """A state machine that keeps the list of applied payloads."""

    def __init__(self):
        self.payloads = []

    def apply(self, index, payload):
        self.payloads.append(payload)
        return b"%d" % len(self.payloads)

    def snapshot(self):
        return msgspec.msgpack.encode(self.payloads)

    def restore(self, payload):
        self.payloads = msgspec.msgpack.decode(payload)


class RunningReplica:
    """One replica with its server."""

    def __init__(self, node, machine, server):
        self.node = node
        self.machine = machine
        self.server = server

    @property
    def access(self):
        return self.node.access

    @property
    def replica(self):
        return self.node.replica

    async def stop(self):
        self.server.close()
        await self.node.stop()
        await self.server.wait_closed()


class ReplicaCluster:
    """Replicas named a, b, c that can be stopped and started individually."""

    def __init__(self, case, names="abc", snapshot_every_entries=1000):
        folder = tempfile.TemporaryDirectory()
        case.addCleanup(folder.cleanup)
        self.path = Path(folder.name)
        self.snapshot_every_entries = snapshot_every_entries
        self.addresses = dict(zip(names, free_addresses(len(names)), strict=True))
        # Where a replica listens, if others reach it through a link at its address.
        self.listening = {}
        self.files = FileSystem()
        self.list_replicas()
        self.running = {}
        self.standing_still = set()

    def list_replicas(self):
        """List the replicas that have addresses as those that found the cluster."""
        self.bootstrap = tuple(
            ReplicaSettings(name, address, f"domain-{name}")
            for name, address in self.addresses.items()
        )

    async def start(self, name, files=None, cluster_key="key"):
        node = NodeSettings(name, "kl", cluster_key, "kl-central", f"domain-{name}")
        address = self.addresses.setdefault(name, free_address())
        control = ControlSettings(
            address,
            "127.0.0.1:0",
            str(self.path / name),
            self.bootstrap,
            snapshot_every_entries=self.snapshot_every_entries,
        )
        machine = ListMachine()
        opened = open_replica(node, control, machine, files or self.files, Random(name))
        server = Server([opened.service])
        await server.start(*parse_address(self.listening.get(name, address)))
        opened.start(node, control, address)
        self.running[name] = RunningReplica(opened, machine, server)
        return self.running[name]

    async def start_all(self):
        for item in self.bootstrap:
            await self.start(item.replica_id)
        await self.wait_for_voters(len(self.bootstrap))

    async def stop(self, name):
        await self.running.pop(name).stop()

    def isolate(self, name):
        """Partition a replica silently: its messages are dropped and no call fails."""
        replica = self.running[name].replica
        replica.transport.send = lambda envelope: None
        replica.receive = lambda envelope: None

    def stand_still(self, name):
        """Let a replica accept calls, answer none and send no message, until it is stopped."""

        async def never_receive(stream, method):
            await asyncio.Event().wait()

        self.isolate(name)
        self.running[name].node.service._receive = never_receive
        self.standing_still.add(name)

    def heal(self, name):
        """Undo `isolate`."""
        replica = self.running[name].replica
        del replica.transport.send
        del replica.receive

    async def stop_all(self):
        for name in list(self.running):
            await self.stop(name)

    async def leader(self, timeout_s=15.0):
        """Wait for a leader with a valid lease and return its name."""
        leaders = []

        def has_leader():
            leaders.append(self._leader())
            return leaders[-1] is not None

        first = next(iter(self.running.values()))
        if not await first.replica.wait_until(has_leader, timeout_s):
            raise AssertionError("no replica leads")
        return leaders[-1]

    def _leader(self):
        for name, item in self.running.items():
            if item.replica.is_leader and item.replica.is_current:
                return name
        return None

    async def wait_for_voters(self, voters, timeout_s=15.0):
        """Wait until every running replica has this number of voters."""
        for item in self.running.values():
            replica = item.replica
            is_reached = await replica.wait_until(
                lambda replica=replica: len(replica.core.membership.voters) == voters, timeout_s
            )
            if not is_reached:
                raise AssertionError(f"voters: {replica.core.membership}")


class ClusterTestCase(TestCase):
    """A base class for tests on small clusters."""

    timeout = 60

    def make(self, **options):
        return ReplicaCluster(self, **options)

    async def commit(self, cluster, name, payload):
        outcome = await cluster.running[name].access.propose(payload, 10.0)
        self.assertEqual(outcome.verdict, COMMITTED, outcome)
        return outcome
