"""Tests of replicas that are back without their disks where disks and links are slow.

They guard against a join that outlasts the time after which another disk may be lost.
"""

import time
from random import Random

from loguru import logger
from twisted.internet import reactor

from damaskwind.control.replica.tests.cluster import free_address
from damaskwind.control.replica.tests.lost_disks import CATCH_UP_S, LostDisksTestCase
from damaskwind.control.storage.files import FileSystem
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.impairment import Impairment, LinkImpairment
from damaskwind.standins.tcp_link import TcpLink

NAMES = "abc"
SYNC_S = 0.05
LINK_BYTES_PER_S = 750_000.0
LATE_SHARE = 0.05
SNAPSHOT_EVERY_ENTRIES = 10
# Twenty of these are a snapshot of 2 MB.
LARGE_ENTRY_BYTES = 100_000
SMALL_ENTRY_BYTES = 100
ENTRY_COUNT = 20


class SlowFileSystem(FileSystem):
    """Files on a disk that needs `SYNC_S` for each sync."""

    def sync(self, descriptor):
        time.sleep(SYNC_S)
        super().sync(descriptor)

    def sync_folder(self, path):
        time.sleep(SYNC_S)
        super().sync_folder(path)


def both_ways(**impairment):
    """Return a link with the same impairment in both directions."""
    return LinkImpairment(Impairment(**impairment), Impairment(**impairment))


class SlowMachineJoinTest(LostDisksTestCase):
    """Three replicas, each behind a link of its own."""

    def make_behind_links(self):
        """Return a cluster with slow disks and its links."""
        cluster = self.make(names=NAMES, snapshot_every_entries=SNAPSHOT_EVERY_ENTRIES)
        cluster.files = SlowFileSystem()
        links = []
        for name in NAMES:
            cluster.listening[name] = free_address()
            link = TcpLink(reactor, parse_address(cluster.listening[name]), Random(name))
            self.addCleanup(link.close)
            links.append(link)
            cluster.addresses[name] = str(link.address)
        cluster.list_replicas()
        return cluster, links

    async def check_join(self, impairment, entry_bytes, loses_leader):
        cluster, links = self.make_behind_links()
        random = Random(1)
        await cluster.start_all()
        try:
            for _ in range(ENTRY_COUNT):
                await self.commit(cluster, await cluster.leader(), random.randbytes(entry_bytes))
            for link in links:
                link.impair(impairment)
            name = await (cluster.leader() if loses_leader else self.follower(cluster))
            took_s = await self.time_until_vote_s(cluster, name)
        finally:
            for link in links:
                link.impair(both_ways())
            await cluster.stop_all()
        logger.info(f"voted after {took_s:.3f} s {self.id().rsplit('.', 1)[1]}")
        self.assertLess(took_s, CATCH_UP_S)

    @asyncio_test
    async def test_slow_disk_of_a_follower_holds_up_no_join(self):
        await self.check_join(both_ways(), SMALL_ENTRY_BYTES, False)

    @asyncio_test
    async def test_slow_disk_of_a_leader_holds_up_no_join(self):
        await self.check_join(both_ways(), SMALL_ENTRY_BYTES, True)

    @asyncio_test
    async def test_large_snapshot_on_a_narrow_link_to_a_follower_holds_up_no_join(self):
        narrow = both_ways(bytes_per_s=LINK_BYTES_PER_S)
        await self.check_join(narrow, LARGE_ENTRY_BYTES, False)

    @asyncio_test
    async def test_large_snapshot_on_a_narrow_link_to_a_leader_holds_up_no_join(self):
        narrow = both_ways(bytes_per_s=LINK_BYTES_PER_S)
        await self.check_join(narrow, LARGE_ENTRY_BYTES, True)

    @asyncio_test
    async def test_pieces_that_come_late_hold_up_no_join_of_a_follower(self):
        late = both_ways(lost_share=LATE_SHARE, resent_after_s=0.2)
        await self.check_join(late, SMALL_ENTRY_BYTES, False)

    @asyncio_test
    async def test_pieces_that_come_late_hold_up_no_join_of_a_leader(self):
        late = both_ways(lost_share=LATE_SHARE, resent_after_s=0.2)
        await self.check_join(late, SMALL_ENTRY_BYTES, True)

    @asyncio_test
    async def test_pieces_that_come_a_second_late_hold_up_no_join_of_a_follower(self):
        late = both_ways(lost_share=LATE_SHARE, resent_after_s=1.0)
        await self.check_join(late, SMALL_ENTRY_BYTES, False)

    @asyncio_test
    async def test_pieces_that_come_a_second_late_hold_up_no_join_of_a_leader(self):
        late = both_ways(lost_share=LATE_SHARE, resent_after_s=1.0)
        await self.check_join(late, SMALL_ENTRY_BYTES, True)
