"""Tests of a router that receives cut-offs, and of one for which they are not enabled."""

from random import Random

import msgspec

from damaskwind.decisions.admission.shed_aggregator import ShedNews
from damaskwind.decisions.admission.shed_cutoff import Cutoff, Share
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.retries.shared_budget import BudgetTerms
from damaskwind.router.forwarding.forwarder import Forwarder
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock, read_clock
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.standins.scripted_target import plain
from damaskwind.wire.news import News, NewsRequest, SubscriberKind, decode_news, encode

CALLS = 60
SERVICE = target_digest("pool")
# Half of all priorities the tests' route may have.
HALF = Cutoff(
    SERVICE, tuple(Share(priority, 500) for priority in range(10)), (), 100, 1, (5, 5, 5, 5)
)


class SheddingRouterCase(ForwarderTestCase):
    has_contention = True

    async def start(self):
        await super().start()
        await self.server.stop_listening()
        self.forwarder = Forwarder(
            self.view,
            self.connections,
            NAMES,
            "domain",
            BudgetTerms(),
            1.2,
            Random(1),
            read_clock() - 60.0,
            has_contention=self.has_contention,
        )
        self.server = HttpServer(self.forwarder.handle, ServerLimits())
        self.port = self.server.listen("127.0.0.1", 0)

    def receive(self, cutoff, host="replica", since_s=1000):
        news = News("e", 0, 0, True, (), 1, (), (), shedding=ShedNews(since_s, 1, (cutoff,)))
        self.view.handle_news(host, decode_news(encode(news)))

    async def make_calls(self):
        """Make calls; return how many were answered, and the Retry-After of the others."""
        answers = [await self.call(request_id=b"r%d" % number) for number in range(CALLS)]
        refused = [answer for answer in answers if answer.status == 503]
        retries_s = [float(dict(answer.headers)[b"retry-after"]) for answer in refused]
        self.assertEqual(len(self.received()) + len(refused), CALLS)
        return CALLS - len(refused), retries_s

    def close_throttle(self):
        """Make the throttle of services without load reports refuse everything."""
        throttle = type("Closed", (), {"admitted_share_at": lambda self, now_s: 0.0})()
        self.forwarder.throttles._throttles["pool"] = throttle


class FleetSheddingTest(SheddingRouterCase):
    @asyncio_test
    async def test_shed_requests_are_refused_at_once_and_not_sent(self):
        self.receive(HALF)
        admitted, retries_s = await self.make_calls()
        self.assertIn(admitted, range(18, 43))
        self.assertLessEqual(max(retries_s), 0.5)
        (report,) = self.view.shed_reports()
        (group,) = report.groups
        self.assertEqual((report.service, group.asked, group.admitted), (SERVICE, CALLS, admitted))
        self.assertEqual((group.in_time, group.ended, group.late), (admitted, admitted, 0))
        self.assertEqual(sum(report.returning), len(retries_s))
        self.assertEqual(sum(self.forwarder.tallies.totals("shed").values()), len(retries_s))

    @asyncio_test
    async def test_refusal_by_a_target_counts_as_refused_and_not_as_started(self):
        # Guards against a budget derived from what targets refuse.
        self.share(*[plain(503, b"", (NAMES.not_run + b": 1",)) for _ in range(9)])
        self.assertEqual((await self.call(request_id=b"r1")).status, 503)
        ((group,),) = (report.groups for report in self.view.shed_reports())
        self.assertEqual((group.in_time, group.late, group.refused, group.ended), (0, 0, 1, 0))

    @asyncio_test
    async def test_throttle_does_not_cut_a_request_again(self):
        # Guards against two shares that multiply: the throttle would refuse nearly all.
        self.close_throttle()
        self.receive(Cutoff(SERVICE))
        self.assertEqual((await self.call(request_id=b"r2")).status, 200)

    @asyncio_test
    async def test_nothing_is_refused_while_under_half_of_the_slots_are_taken(self):
        self.receive(HALF._replace(load_permille=400))
        self.assertEqual((await self.make_calls())[0], CALLS)

    @asyncio_test
    async def test_cut_off_without_further_news_expires(self):
        self.receive(HALF)
        started_s = read_clock()
        self.assertTrue(self.forwarder.shedding.is_covered("pool"))
        with override_clock(lambda: started_s + 6.0):
            self.assertFalse(self.forwarder.shedding.is_covered("pool"))


class SwitchedOffTest(SheddingRouterCase):
    has_contention = False

    @asyncio_test
    async def test_cut_offs_are_ignored_and_no_counts_are_sent(self):
        # Guards deployments without contention, whose decisions must not change.
        self.receive(HALF)
        self.assertEqual((await self.make_calls())[0], CALLS)
        self.assertEqual(self.view.shed_reports(), ())
        self.assertEqual(self.forwarder.steps.gates, (self.forwarder.throttles,))
        self.close_throttle()
        self.assertEqual((await self.call(request_id=b"r")).status, 503)

    def test_messages_without_counts_grow_by_their_empty_defaults_only(self):
        request = encode(NewsRequest("r", SubscriberKind.ROUTER, "e", 0, 0, 1.0))
        news = encode(News("e", 0, 0, True, (), 1, (), ()))
        for message, before in ((request, NewsRequest), (news, News)):
            older = msgspec.msgpack.encode(msgspec.msgpack.decode(message)[:-1])
            # A request has sixteen fields now, so that the array's length takes two bytes more.
            self.assertLessEqual(len(message), len(older) + 3)
            # A sender of the former version is understood.
            msgspec.msgpack.decode(older, type=before)
