"""Test of a leave that a single replica has heard of."""

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.control.fleet.tests.test_news_feed import record
from damaskwind.runtime.bridge import asyncio_test


class LeaveAtOneReplicaTest(TestCase):
    @asyncio_test
    async def test_leave_that_only_one_of_three_replicas_knows_is_not_replicated(self):
        """Guards against a leave that is forgotten with the only replica that heard it."""
        feed = NewsFeed(lambda: 0, lambda: True, lambda: ("h1", "h2", "h3"))
        feed.report(record())
        feed.leave("t")
        self.assertFalse(await feed.wait_until_replicated(feed.table.revision, 0.05))
