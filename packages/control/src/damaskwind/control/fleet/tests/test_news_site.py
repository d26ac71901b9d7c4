"""Tests of what a replica's site sends to subscribers of this and of earlier versions."""

from types import SimpleNamespace

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.control.fleet.news_site import NewsSite
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.messages import Request
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import (
    NEWS_PATH,
    NewsRequest,
    SubscriberKind,
    decode_news,
    encode,
    unpack_answer,
)

RECORD = TargetRecord("i-1", "s", Address("10.0.0.9", 80), "d", TargetPhase.SERVING, 4, 8)


class SoftwareVersionsTest(TestCase):
    timeout = 10

    @asyncio_test
    async def test_versions_are_sent_only_to_subscribers_that_know_them(self):
        """Guards against updates that a process of an earlier version refuses whole."""
        feed = NewsFeed(lambda: 0, lambda: True, lambda: ("h",))
        site = NewsSite(feed, None, Tallies(), 1e6)
        feed.report(RECORD._replace(version="v1.1"))
        for kind in (SubscriberKind.ROUTER, SubscriberKind.REPLICA):
            for knows, version in ((False, ""), (True, "v1.1")):
                request = NewsRequest(f"{kind}-{knows}", kind, "", 0, 0, 0.0, knows_versions=knows)
                answers = []
                message = Request(b"POST", NEWS_PATH, [], encode(request))
                await site.handle(SimpleNamespace(request=message, respond=answers.append))
                news = decode_news(unpack_answer(answers[0]))
                self.assertEqual([item.version for item in news.records], [version])
