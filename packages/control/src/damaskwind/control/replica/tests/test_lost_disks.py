"""Tests of disks that are lost one after another.

They guard against a replica that is back without its disk and asks its former self to be
added, so that the next lost disk leaves a single copy of the log, which is no majority.
"""

import asyncio
import shutil

from damaskwind.control.replica.tests.cluster import ClusterTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock

# The time after which a replica that is back must be able to take another one's place.
CATCH_UP_S = 4.0
CHANGE_TIMEOUT_S = 4.0
AWAY_S = 0.1


class LostDisksTest(ClusterTestCase):
    async def lose_disk(self, cluster, name, away_s=AWAY_S):
        """Stop a replica, remove its disk and start it again after `away_s`."""
        await cluster.stop(name)
        shutil.rmtree(cluster.path / name)
        await asyncio.sleep(away_s)
        return await cluster.start(name)

    async def follower(self, cluster):
        leader = await cluster.leader()
        return next(name for name in cluster.running if name != leader)

    async def time_until_vote_s(self, cluster, name, away_s=AWAY_S):
        """Lose a replica's disk; return how long after its return it votes for all others."""
        returned = await self.lose_disk(cluster, name, away_s)
        started_s = read_clock()
        others = [item.replica for key, item in cluster.running.items() if key != name]

        def votes_for(replica):
            return returned.replica.member in replica.core.membership.voters

        for replica in others:
            left_s = started_s + 15.0 - read_clock()
            await replica.wait_until(lambda replica=replica: votes_for(replica), left_s)
        return read_clock() - started_s

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
