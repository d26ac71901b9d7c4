"""Lose disks of replicas that run in this process, and let replicas stand still."""

import asyncio
import shutil

from damaskwind.control.replica.tests.cluster import ClusterTestCase
from damaskwind.runtime.clock import read_clock

# The time after which a replica that is back must be able to take another one's place.
CATCH_UP_S = 4.0
AWAY_S = 0.1


class LostDisksTestCase(ClusterTestCase):
    """A base class for tests of replicas that are back without their disks."""

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
        others = [
            item.replica
            for key, item in cluster.running.items()
            if key != name and key not in cluster.standing_still
        ]

        def votes_for(replica):
            return returned.replica.member in replica.core.membership.voters

        for replica in others:
            left_s = started_s + 15.0 - read_clock()
            await replica.wait_until(lambda replica=replica: votes_for(replica), left_s)
        return read_clock() - started_s
