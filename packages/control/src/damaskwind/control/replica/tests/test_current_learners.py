"""Tests of what a replica without its disk says of itself while it gets the log again.

They guard against one that calls itself current though it has a part of the committed state
alone, so that a router that starts beside it takes an older configuration for the newest.
"""

import shutil

from damaskwind.control.replica.tests.cluster import ClusterTestCase
from damaskwind.runtime.bridge import asyncio_test

ENTRIES = 60
ENTRY_BYTES = 20_000


class CurrentLearnerTest(ClusterTestCase):
    async def premature(self, cluster, name, least_index):
        """Let a replica return without its disk; return where it was called current too early."""
        await cluster.stop(name)
        shutil.rmtree(cluster.path / name)
        returned = (await cluster.start(name)).replica
        indexes = []
        receive = returned.receive

        def check(*_):
            applied_index = returned.state.applied_index
            if returned.is_current and applied_index < least_index:
                indexes.append(applied_index)

        def receive_and_check(envelope):
            receive(envelope)
            check()

        returned.receive = receive_and_check
        returned.on_applied.append(check)
        is_complete = await returned.wait_until(
            lambda: returned.is_current and returned.state.applied_index >= least_index, 15.0
        )
        self.assertTrue(is_complete)
        return indexes

    async def check(self, **options):
        cluster = self.make(**options)
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            for number in range(ENTRIES):
                await self.commit(cluster, leader, b"%05d" % number * (ENTRY_BYTES // 5))
            least_index = cluster.running[leader].replica.core.commit_index
            follower = next(name for name in cluster.running if name != leader)
            indexes = await self.premature(cluster, follower, least_index)
        finally:
            await cluster.stop_all()
        self.assertEqual(indexes, [])

    @asyncio_test
    async def test_replica_that_gets_entries_is_not_current_before_it_has_them(self):
        await self.check()

    @asyncio_test
    async def test_replica_that_gets_a_snapshot_is_not_current_before_it_has_it(self):
        await self.check(snapshot_every_entries=20)
