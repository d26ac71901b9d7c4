"""Tests of changes that are sent while the leader's disk is lost and it is back at once.

They guard against a change that is sent to the leader's former self, waits there and ends
without a known outcome, though the leader's end is known by then.
"""

import asyncio
import shutil
from collections import Counter

from damaskwind.control.replica.tests.cluster import ClusterTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock

AWAY_S = 0.1
PAUSE_S = 0.02
# An operator asks another replica after a second without an answer.
CHANGE_TIMEOUT_S = 0.9
WATCHED_S = 4.0
LONGEST_WAIT_S = 0.9


class ChangesBesideLostLeaderTest(ClusterTestCase):
    async def send_changes(self, cluster, name, end_s, results):
        """Send changes to whatever life of a replica runs, one after another."""
        number = 0
        while read_clock() < end_s:
            item = cluster.running.get(name)
            if item is None:
                await asyncio.sleep(PAUSE_S)
                continue
            number += 1
            payload = b"%s-%d" % (name.encode(), number)
            started_s = read_clock()
            outcome = await item.access.propose(payload, CHANGE_TIMEOUT_S)
            is_same_life = cluster.running.get(name) is item
            took_s = read_clock() - started_s
            results.append((name, payload, is_same_life, outcome.verdict.value, took_s))
            await asyncio.sleep(PAUSE_S)

    async def send_reads(self, cluster, name, end_s, waits):
        """Read through one replica, one after another."""
        while read_clock() < end_s:
            started_s = read_clock()
            is_read = await cluster.running[name].access.read_current(CHANGE_TIMEOUT_S)
            waits.append((read_clock() - started_s, is_read))
            await asyncio.sleep(PAUSE_S)

    async def lose_leader_beside_changes(self, names):
        """Return the results of changes and the waits of reads beside a leader's lost disk."""
        cluster = self.make(names=names)
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            results, waits = [], []
            end_s = read_clock() + WATCHED_S
            tasks = [
                asyncio.ensure_future(self.send_changes(cluster, name, end_s, results))
                for name in names
            ]
            tasks += [
                asyncio.ensure_future(self.send_reads(cluster, name, end_s, waits))
                for name in names
                if name != leader
            ]
            await asyncio.sleep(0.5)
            await cluster.stop(leader)
            shutil.rmtree(cluster.path / leader)
            await asyncio.sleep(AWAY_S)
            await cluster.start(leader)
            await asyncio.gather(*tasks)
            await cluster.wait_for_voters(len(names))
            kept = cluster.running[leader].machine.payloads
        finally:
            await cluster.stop_all()
        return leader, results, waits, kept

    async def check(self, names):
        leader, results, waits, kept = await self.lose_leader_beside_changes(names)
        in_doubt = [item for item in results if item[3] == "unknown"]
        slow = sorted((item[4] for item in results), reverse=True)[:3]
        figures = (
            f"outcomes {Counter((item[3], item[0] == leader) for item in results)}, "
            f"longest changes {slow}, longest reads {sorted(waits, reverse=True)[:3]}, "
            f"in doubt {in_doubt}"
        )
        self.assertNotIn("refused", [item[3] for item in results], figures)
        self.assertLess(max(slow), LONGEST_WAIT_S, figures)
        self.assertLess(max(waits)[0], LONGEST_WAIT_S, figures)
        self.assertTrue(all(is_read for _, is_read in waits), figures)
        counts = Counter(kept)
        for _, payload, _, verdict, _ in results:
            least = 1 if verdict == "committed" else 0
            self.assertIn(counts[payload], range(least, 2), payload)

    @asyncio_test
    async def test_changes_of_three_wait_for_no_former_self(self):
        await self.check("abc")

    @asyncio_test
    async def test_changes_of_five_wait_for_no_former_self(self):
        await self.check("abcde")
