import asyncio
import errno

from damaskwind.control.operator_api.ports import CommitVerdict
from damaskwind.control.replica.tests.cluster import COMMITTED, ClusterTestCase
from damaskwind.control.storage.files import FileSystem
from damaskwind.model.exception import StorageError
from damaskwind.runtime.bridge import asyncio_test


class BreakableFileSystem(FileSystem):
    """A disk that can break: from then on every sync fails."""

    broken = False

    def sync(self, descriptor):
        if self.broken:
            raise StorageError(errno.errorcode[errno.EIO])
        super().sync(descriptor)


class ClusterTest(ClusterTestCase):
    @asyncio_test
    async def test_every_replica_confirms_and_reads_what_others_confirmed(self):
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
    async def test_confirms_go_on_after_the_leader_stopped_and_it_catches_up(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            first = await cluster.leader()
            await self.commit(cluster, first, b"before")
            await cluster.stop(first)
            second = await cluster.leader()
            self.assertNotEqual(second, first)
            await self.commit(cluster, second, b"after")
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
            await self.commit(cluster, old, b"before")
            cluster.isolate(old)
            cut_off = cluster.running[old]
            lost = asyncio.ensure_future(cut_off.access.propose(b"lost", 10.0))
            stepped_down = await cut_off.replica.wait_until(
                lambda: not cut_off.replica.is_leader and not cut_off.replica.is_current, 10.0
            )
            self.assertTrue(stepped_down)
            self.assertFalse(await cut_off.access.read_current(0.5))
            other = next(name for name in "abc" if name != old)
            await self.commit(cluster, other, b"after")
            self.assertNotEqual((await lost).verdict, COMMITTED)
            cluster.heal(old)
            self.assertTrue(await cut_off.access.read_current(10.0))
            self.assertEqual(cut_off.machine.payloads, [b"before", b"after"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_failed_fsync_stops_that_replica_and_no_other(self):
        cluster = self.make()
        files = BreakableFileSystem()
        await cluster.start("a", files)
        await cluster.start("b")
        await cluster.start("c")
        await cluster.wait_for_voters(3)
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
            await self.commit(cluster, "c", b"three")
            held = cluster.running["c"].machine.payloads
            self.assertEqual(held[-1], b"three")
            if first.verdict is COMMITTED:
                self.assertEqual(held, [b"one", b"three"])
        finally:
            await cluster.stop_all()
