import asyncio
import errno

from damaskwind.control.operator_api.ports import CommitVerdict
from damaskwind.control.replica.tests.cluster import COMMITTED, ClusterTestCase
from damaskwind.control.storage.files import FileSystem
from damaskwind.model.exception import StorageError
from damaskwind.runtime.bridge import asyncio_test


class BreakableFileSystem(FileSystem):
    """A file system whose syncs fail once `broken` is set."""

    broken = False

    def sync(self, descriptor):
        if self.broken:
            raise StorageError(errno.errorcode[errno.EIO])
        super().sync(descriptor)


class ClusterTest(ClusterTestCase):
    @asyncio_test
    async def test_every_replica_commits_and_reads_commits_of_the_others(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            for number, name in enumerate("abc", 1):
                outcome = await self.commit(cluster, name, name.encode())
                self.assertEqual(outcome.result, b"%d" % number)
            for item in cluster.running.values():
                self.assertTrue(await item.access.read_current(10.0))
                self.assertEqual(item.machine.payloads, [b"a", b"b", b"c"])
                self.assertEqual(len(item.access.status()["voters"]), 3)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_commits_continue_after_the_leader_stops_and_it_catches_up(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            first = await cluster.leader()
            await self.commit(cluster, first, b"before")
            await cluster.stop(first)
            second = await cluster.leader()
            self.assertNotEqual(second, first)
            await self.commit(cluster, second, b"after")
            restarted = await cluster.start(first)
            self.assertTrue(await restarted.access.read_current(10.0))
            self.assertEqual(restarted.machine.payloads, [b"before", b"after"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_without_a_majority_nothing_is_committed_or_read_as_current(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            remaining = await cluster.leader()
            for name in set("abc") - {remaining}:
                await cluster.stop(name)
            item = cluster.running[remaining]
            outcome = await item.access.propose(b"lost", 1.5)
            self.assertNotEqual(outcome.verdict, COMMITTED)
            self.assertFalse(await item.access.read_current(1.0))
            self.assertFalse(item.replica.is_current)
            refused = await item.access.propose(b"again", 0.5)
            self.assertEqual(refused.verdict, CommitVerdict.REFUSED)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_silently_partitioned_leader_stops_committing_and_loses_nothing(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            old = await cluster.leader()
            await self.commit(cluster, old, b"before")
            cluster.isolate(old)
            isolated = cluster.running[old]
            lost = asyncio.ensure_future(isolated.access.propose(b"lost", 10.0))
            stepped_down = await isolated.replica.wait_until(
                lambda: not isolated.replica.is_leader and not isolated.replica.is_current, 10.0
            )
            self.assertTrue(stepped_down)
            self.assertFalse(await isolated.access.read_current(0.5))
            other = next(name for name in "abc" if name != old)
            await self.commit(cluster, other, b"after")
            self.assertNotEqual((await lost).verdict, COMMITTED)
            cluster.heal(old)
            self.assertTrue(await isolated.access.read_current(10.0))
            self.assertEqual(isolated.machine.payloads, [b"before", b"after"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_failed_fsync_stops_only_that_replica(self):
        cluster = self.make()
        files = BreakableFileSystem()
        await cluster.start("a", files)
        await cluster.start("b")
        await cluster.start("c")
        await cluster.wait_for_voters(3)
        try:
            files.broken = True
            # The outcome is unknown if the broken replica was the leader.
            first = await cluster.running["b"].access.propose(b"one", 5.0)
            self.assertIn(first.verdict, (COMMITTED, CommitVerdict.UNKNOWN))
            broken = cluster.running["a"]
            await broken.replica.wait_until(lambda: broken.replica.failure is not None, 10.0)
            self.assertEqual(broken.access.status()["role"], "failed")
            self.assertFalse(broken.replica.is_current)
            outcome = await broken.access.propose(b"two", 1.0)
            self.assertEqual(outcome.verdict, CommitVerdict.REFUSED)
            await self.commit(cluster, "c", b"three")
            payloads = cluster.running["c"].machine.payloads
            self.assertEqual(payloads[-1], b"three")
            if first.verdict is COMMITTED:
                self.assertEqual(payloads, [b"one", b"three"])
        finally:
            await cluster.stop_all()
