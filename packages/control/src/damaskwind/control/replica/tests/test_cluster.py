import asyncio
import errno
import shutil

from twisted.trial.unittest import TestCase

from damaskwind.control.operator_api.ports import CommitVerdict
from damaskwind.control.replica.tests.cluster import ReplicaCluster
from damaskwind.control.storage.files import FileSystem
from damaskwind.model.exception import StorageError
from damaskwind.runtime.bridge import asyncio_test

COMMITTED = CommitVerdict.COMMITTED


class BreakableFileSystem(FileSystem):
    """A disk that can break: from then on every sync fails."""

    broken = False

    def sync(self, descriptor):
        if self.broken:
            raise StorageError(errno.errorcode[errno.EIO])
        super().sync(descriptor)


class ClusterTest(TestCase):
    timeout = 60

    def make(self, **options):
        return ReplicaCluster(self, **options)

    async def confirm(self, cluster, name, payload):
        outcome = await cluster.running[name].access.propose(payload, 10.0)
        self.assertEqual(outcome.verdict, COMMITTED, outcome)
        return outcome

    @asyncio_test
    async def test_every_replica_confirms_and_reads_what_others_confirmed(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            for number, name in enumerate("abc", 1):
                outcome = await self.confirm(cluster, name, name.encode())
                self.assertEqual(outcome.result, b"%d" % number)
            for item in cluster.running.values():
                self.assertTrue(await item.access.read_current(10.0))
                self.assertEqual(item.machine.payloads, [b"a", b"b", b"c"])
                self.assertEqual(len(item.access.status()["voters"]), 3)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_confirms_go_on_after_the_leader_stopped_and_it_catches_up(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            first = await cluster.leader()
            await self.confirm(cluster, first, b"before")
            await cluster.stop(first)
            second = await cluster.leader()
            self.assertNotEqual(second, first)
            await self.confirm(cluster, second, b"after")
            back = await cluster.start(first)
            self.assertTrue(await back.access.read_current(10.0))
            self.assertEqual(back.machine.payloads, [b"before", b"after"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_without_a_majority_nothing_is_confirmed_or_read_as_current(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            lone = await cluster.leader()
            for name in set("abc") - {lone}:
                await cluster.stop(name)
            item = cluster.running[lone]
            outcome = await item.access.propose(b"lost", 1.5)
            self.assertNotEqual(outcome.verdict, COMMITTED)
            self.assertFalse(await item.access.read_current(1.0))
            self.assertFalse(item.replica.is_current)
            refused = await item.access.propose(b"again", 0.5)
            self.assertEqual(refused.verdict, CommitVerdict.REFUSED)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_leader_that_is_cut_off_silently_stops_confirming_and_loses_nothing(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            old = await cluster.leader()
            await self.confirm(cluster, old, b"before")
            cluster.isolate(old)
            cut_off = cluster.running[old]
            lost = asyncio.ensure_future(cut_off.access.propose(b"lost", 3.0))
            stepped_down = await cut_off.replica.wait_until(
                lambda: not cut_off.replica.is_leader and not cut_off.replica.is_current, 3.0
            )
            self.assertTrue(stepped_down)
            self.assertFalse(await cut_off.access.read_current(0.5))
            other = next(name for name in "abc" if name != old)
            await self.confirm(cluster, other, b"after")
            self.assertNotEqual((await lost).verdict, COMMITTED)
            cluster.heal(old)
            self.assertTrue(await cut_off.access.read_current(10.0))
            self.assertEqual(cut_off.machine.payloads, [b"before", b"after"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_all_restart_after_a_thousand_changes_with_snapshots(self):
        cluster = self.make(snapshot_every_entries=150)
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            payloads = [b"%d" % number for number in range(1000)]
            for first in range(0, 1000, 50):
                some = payloads[first : first + 50]
                await asyncio.gather(*(self.confirm(cluster, leader, item) for item in some))
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
    async def test_lost_disk_comes_back_under_a_new_identity_and_a_second_loss_is_borne(self):
        cluster = self.make(snapshot_every_entries=5)
        await cluster.start_all()
        try:
            for number in range(12):
                await self.confirm(cluster, "a", b"%d" % number)
            old = cluster.running["c"].replica.member
            await cluster.stop("c")
            shutil.rmtree(cluster.path / "c")
            new = (await cluster.start("c")).replica
            keeps = cluster.running["a"].replica

            def replaced():
                voters = keeps.core.membership.voters
                return new.member in voters and old not in voters

            self.assertNotEqual(new.member, old)
            self.assertTrue(await keeps.wait_until(replaced, 15.0), keeps.core.membership)
            await cluster.stop("b")
            await self.confirm(cluster, "a", b"after the second loss")
            self.assertTrue(await cluster.running["c"].access.read_current(10.0))
            self.assertEqual(len(cluster.running["c"].machine.payloads), 13)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_founder_without_its_disk_founds_no_second_cluster(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            await self.confirm(cluster, "b", b"kept")
            await cluster.stop("a")
            shutil.rmtree(cluster.path / "a")
            back = await cluster.start("a")
            self.assertTrue(await back.access.read_current(15.0))
            self.assertEqual(back.machine.payloads, [b"kept"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_failed_fsync_stops_that_replica_and_no_other(self):
        cluster = self.make()
        files = BreakableFileSystem()
        await cluster.start("a", files)
        await cluster.start("b")
        await cluster.start("c")
        await cluster.settled(3)
        try:
            files.broken = True
            # When the broken replica led, whether this is committed is not known.
            first = await cluster.running["b"].access.propose(b"one", 5.0)
            self.assertIn(first.verdict, (COMMITTED, CommitVerdict.UNKNOWN))
            broken = cluster.running["a"]
            await broken.replica.wait_until(lambda: broken.replica.failure is not None, 10.0)
            self.assertEqual(broken.access.status()["role"], "failed")
            self.assertFalse(broken.replica.is_current)
            outcome = await broken.access.propose(b"two", 1.0)
            self.assertEqual(outcome.verdict, CommitVerdict.REFUSED)
            await self.confirm(cluster, "c", b"three")
            held = cluster.running["c"].machine.payloads
            self.assertEqual(held[-1], b"three")
            if first.verdict is COMMITTED:
                self.assertEqual(held, [b"one", b"three"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_operator_adds_and_removes_a_replica(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            await self.confirm(cluster, "a", b"one")
            new = await cluster.start("d")
            address = cluster.addresses["d"]
            access = cluster.running["b"].access
            outcome = await access.change_membership("add", "d", address, "domain-d", 10.0)
            self.assertEqual(outcome.verdict, COMMITTED, outcome)
            await cluster.settled(4)
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
    async def test_replica_with_a_wrong_key_is_not_heard(self):
        cluster = self.make()
        await cluster.start("a", cluster_key="other")
        await cluster.start("b")
        await cluster.start("c")
        try:
            lone = cluster.running["a"].replica
            self.assertFalse(await lone.wait_until(lambda: lone.has_log, 2.0))
        finally:
            await cluster.stop_all()
