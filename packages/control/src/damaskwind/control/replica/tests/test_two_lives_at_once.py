"""Tests of two processes that run as one replica, such as a machine and its replacement.

They guard against a leader that is taken for ended, and loses the votes that its lease counts
on, because its address was given to another process of its name.
"""

import asyncio
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from grpclib.server import Server

from damaskwind.control.replica.node import open_replica
from damaskwind.control.replica.tests.cluster import (
    ClusterTestCase,
    ListMachine,
    RunningReplica,
    free_address,
)
from damaskwind.control.storage.files import FileSystem
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.settings import ControlSettings, NodeSettings, parse_address

WATCHED_S = 3.0


class TwoLivesTest(ClusterTestCase):
    async def start_beside(self, cluster, name):
        """Start another process of a replica that runs, with a disk and an address of its own."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        address = free_address()
        node = NodeSettings(name, "kl", "key", "kl-central", f"domain-{name}")
        path = str(Path(folder.name) / "disk")
        control = ControlSettings(address, "127.0.0.1:0", path, cluster.bootstrap)
        machine = ListMachine()
        opened = open_replica(node, control, machine, FileSystem(), Random(1))
        server = Server([opened.service])
        await server.start(*parse_address(address))
        opened.start(node, control, address)
        return RunningReplica(opened, machine, server)

    @asyncio_test
    async def test_leader_that_runs_is_not_put_out_by_another_process_of_its_name(self):
        cluster = self.make()
        await cluster.start_all()
        other = None
        try:
            name = await cluster.leader()
            leader = cluster.running[name].replica
            follower = next(item for key, item in cluster.running.items() if key != name)
            term = leader.core.term
            other = await self.start_beside(cluster, name)
            for _ in range(int(WATCHED_S)):
                await follower.access.propose(b"x", 1.0)
                await asyncio.sleep(1.0)
            addresses = follower.replica.state.addresses
            known_address = str(addresses.address_of(name))
            self.assertEqual((leader.is_leader, leader.core.term), (True, term))
            self.assertEqual(known_address, cluster.addresses[name])
        finally:
            if other is not None:
                await other.stop()
            await cluster.stop_all()
