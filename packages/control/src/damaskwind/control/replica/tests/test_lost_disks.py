"""Tests of disks that are lost one after another.

They guard against a replica that is back without its disk and asks its former self to be
added, so that the next lost disk leaves a single copy of the log, which is no majority.
"""

import asyncio
import shutil

from damaskwind.control.replica.joining import REJOIN_AFTER_S, rejoin_if_removed
from damaskwind.control.replica.tests.lost_disks import AWAY_S, CATCH_UP_S, LostDisksTestCase
from damaskwind.runtime.bridge import asyncio_test

CHANGE_TIMEOUT_S = 4.0


class LostDisksTest(LostDisksTestCase):
    async def check_vote_in_time(self, names, away_s, loses_leader=True):
        cluster = self.make(names=names)
        await cluster.start_all()
        try:
            choose = cluster.leader if loses_leader else lambda: self.follower(cluster)
            took_s = await self.time_until_vote_s(cluster, await choose(), away_s)
        finally:
            await cluster.stop_all()
        self.assertLess(took_s, CATCH_UP_S)

    @asyncio_test
    async def test_leader_back_at_once_without_its_disk_waits_for_no_former_self(self):
        await self.check_vote_in_time("abc", 0.05)

    @asyncio_test
    async def test_leader_back_before_an_election_waits_for_no_former_self(self):
        await self.check_vote_in_time("abc", 0.5)

    @asyncio_test
    async def test_leader_back_after_an_election_votes_in_time(self):
        await self.check_vote_in_time("abc", 3.0)

    @asyncio_test
    async def test_leader_of_five_back_without_its_disk_votes_in_time(self):
        await self.check_vote_in_time("abcde", AWAY_S)

    @asyncio_test
    async def test_leader_of_seven_back_without_its_disk_votes_in_time(self):
        await self.check_vote_in_time("abcdefg", AWAY_S)

    @asyncio_test
    async def test_follower_back_without_its_disk_votes_in_time(self):
        await self.check_vote_in_time("abc", AWAY_S, loses_leader=False)

    @asyncio_test
    async def test_second_disk_lost_after_the_catch_up_time_stops_no_change(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            for number in range(20):
                await self.commit(cluster, leader, b"%d" % number)
            await self.lose_disk(cluster, leader)
            await asyncio.sleep(CATCH_UP_S)
            second = next(name for name in cluster.running if name != leader)
            await self.lose_disk(cluster, second)
            access = cluster.running[leader].access
            outcome = await access.propose(b"after both", CHANGE_TIMEOUT_S)
            self.assertEqual(outcome.verdict.value, "committed", access.status())
            self.assertTrue(await access.read_current(CHANGE_TIMEOUT_S))
            kept = cluster.running[leader].machine.payloads
            self.assertEqual(kept, [b"%d" % number for number in range(20)] + [b"after both"])
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_last_copy_of_a_log_tells_which_voters_are_lost(self):
        cluster = self.make()
        await cluster.start_all()
        last = cluster.running["a"]
        rejoining = asyncio.ensure_future(
            rejoin_if_removed(
                last.access, last.node.service, cluster.bootstrap, "domain-a", last.node.signer
            )
        )
        try:
            for name in "bc":
                await cluster.stop(name)
                shutil.rmtree(cluster.path / name)
            for name in "bc":
                await cluster.start(name)
            lost = last.access.lost_voters
            await last.replica.wait_until(lambda: bool(lost.members), 2 * REJOIN_AFTER_S)
            described = last.access.status()["lost_voters"]
            self.assertEqual(sorted(voter["replica_id"] for voter in described), ["b", "c"])
        finally:
            rejoining.cancel()
            await asyncio.gather(rejoining, return_exceptions=True)
            await cluster.stop_all()
