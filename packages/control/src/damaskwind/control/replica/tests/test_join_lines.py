"""Tests of the log lines of a join.

They guard against a replica that stays empty while the logs don't show whom it asked.
"""

import shutil

from loguru import logger

from damaskwind.control.replica.tests.cluster import ClusterTestCase
from damaskwind.runtime.bridge import asyncio_test


class JoinLinesTest(ClusterTestCase):
    def setUp(self):
        self.lines = []
        sink = logger.add(lambda message: self.lines.append(message.record), level="INFO")
        self.addCleanup(logger.remove, sink)

    def lines_of(self, event, **fields):
        """Return the fields of all lines of this event that have these fields."""
        lines = [line["extra"] for line in self.lines if line["message"] == event]
        return [line for line in lines if fields.items() <= line.items()]

    @asyncio_test
    async def test_each_request_to_be_added_names_the_peer_and_both_lives(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            lost = next(name for name in "abc" if name != leader)
            before = cluster.running[lost].replica.member
            await cluster.stop(lost)
            shutil.rmtree(cluster.path / lost)
            after = (await cluster.start(lost)).replica
            remaining = cluster.running[leader].replica
            await remaining.wait_until(
                lambda: after.member in remaining.core.membership.voters, 15.0
            )
        finally:
            await cluster.stop_all()
        asked = self.lines_of("asked to be added", identity=after.member.identity)
        self.assertIn("committed", {line["outcome"] for line in asked})
        self.assertTrue(all(line["peer"] and line["took_s"] >= 0 for line in asked))
        for line in self.lines_of("proposal forwarded", identity=after.member.identity):
            self.assertEqual(line["to_identity"], remaining.member.identity)
        identities = [line["identities"] for line in self.lines_of("members changed", leads=True)]
        self.assertIn(after.member.identity, identities[-1])
        self.assertNotIn(before.identity, identities[-1])
