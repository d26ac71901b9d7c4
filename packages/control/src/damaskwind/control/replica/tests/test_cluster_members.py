import asyncio
import shutil

from damaskwind.control.operator_api.ports import CommitVerdict
from damaskwind.control.replica.tests.cluster import COMMITTED, ClusterTestCase
from damaskwind.runtime.bridge import asyncio_test


class MembersTest(ClusterTestCase):
    @asyncio_test
    async def test_all_replicas_restart_from_snapshots_after_a_thousand_changes(self):
        cluster = self.make(snapshot_every_entries=150)
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            payloads = [b"%d" % number for number in range(1000)]
            for first in range(0, 1000, 50):
                batch = payloads[first : first + 50]
                await asyncio.gather(*(self.commit(cluster, leader, item) for item in batch))
            await cluster.stop_all()
            for name in "abc":
                await cluster.start(name)
            for item in cluster.running.values():
                self.assertTrue(await item.access.read_current(15.0))
                self.assertEqual(sorted(item.machine.payloads), sorted(payloads))
                self.assertTrue(item.node.journal.snapshot.index > 0)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_replica_with_lost_disk_gets_a_new_identity_and_a_second_loss_is_tolerated(self):
        cluster = self.make(snapshot_every_entries=5)
        await cluster.start_all()
        try:
            for number in range(12):
                await self.commit(cluster, "a", b"%d" % number)
            old = cluster.running["c"].replica.member
            await cluster.stop("c")
            shutil.rmtree(cluster.path / "c")
            new = (await cluster.start("c")).replica
            remaining = cluster.running["a"].replica

            def is_replaced():
                voters = remaining.core.membership.voters
                return new.member in voters and old not in voters

            self.assertNotEqual(new.member, old)
            self.assertTrue(
                await remaining.wait_until(is_replaced, 15.0), remaining.core.membership
            )
            await cluster.stop("b")
            await self.commit(cluster, "a", b"after the second loss")
            self.assertTrue(await cluster.running["c"].access.read_current(10.0))
            self.assertEqual(len(cluster.running["c"].machine.payloads), 13)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_founder_that_lost_its_disk_founds_no_second_cluster(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            await self.commit(cluster, "b", b"kept")
            await cluster.stop("a")
            shutil.rmtree(cluster.path / "a")
            restarted = await cluster.start("a")
            self.assertTrue(await restarted.access.read_current(15.0))
            self.assertEqual(restarted.machine.payloads, [b"kept"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_operator_adds_and_removes_a_replica(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            await self.commit(cluster, "a", b"one")
            new = await cluster.start("d")
            address = cluster.addresses["d"]
            access = cluster.running["b"].access
            outcome = await access.change_membership("add", "d", address, "domain-d", 10.0)
            self.assertEqual(outcome.verdict, COMMITTED, outcome)
            await cluster.wait_for_voters(4)
            self.assertTrue(await new.access.read_current(10.0))
            self.assertEqual(new.machine.payloads, [b"one"])
            outcome = await access.change_membership("remove", "c", "", "", 10.0)
            self.assertEqual(outcome.verdict, COMMITTED, outcome)
            voters = {item["replica_id"] for item in access.status()["voters"]}
            self.assertEqual(voters, {"a", "b", "d"})
            refused = await access.change_membership("remove", "c", "", "", 5.0)
            self.assertEqual(refused.verdict, CommitVerdict.REFUSED)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_replica_with_a_wrong_key_cannot_join(self):
        cluster = self.make()
        await cluster.start("a", cluster_key="other")
        await cluster.start("b")
        await cluster.start("c")
        try:
            rejected = cluster.running["a"].replica
            self.assertFalse(await rejected.wait_until(lambda: rejected.has_log, 2.0))
        finally:
            await cluster.stop_all()
