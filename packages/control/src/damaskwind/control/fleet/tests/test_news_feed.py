"""Tests of the update feed: answers at once if there are updates, else after the wait time."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet.heard_targets import HEARTBEAT_WINDOW_S
from damaskwind.control.fleet.news_feed import (
    FATAL_REPEAT_S,
    LAG_THRESHOLD_S,
    MAX_LISTED_TARGETS,
    MAX_MISMATCH_S,
    MAX_RECORDS,
    MAX_REDUNDANT_ROUTERS,
    NewsFeed,
)
from damaskwind.decisions.admission.shed_counts import GroupCounts, ShedReport
from damaskwind.decisions.fatal_requests.suspicion import MAX_REPEATED, Suspicion
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.load.held_sums import HeldCount, HeldSum
from damaskwind.decisions.load.token_sums import MAX_REQUEST_TOKENS, HeldTokens, TokenSum
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.routing.peers import MAX_PEERS, PeerEndpoint
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock, read_clock
from damaskwind.wire.news import (
    BrittleReport,
    NewsRequest,
    SubscriberKind,
    decode_news,
    decode_request,
    encode,
)
from damaskwind.wire.peers import peers_digest

LEFT = ("t-0", TargetPhase.GONE)
SUSPICIONS = [Suspicion(bytes([number] * 8), 0, 1, 0.0) for number in range(20)]


def record(target_id="t", phase=TargetPhase.SERVING, sequence=1):
    return TargetRecord(target_id, "s", Address("127.0.0.1", 1), "d", phase, sequence)


class NewsFeedTest(TestCase):
    timeout = 10

    def setUp(self):
        self.version = 0
        self.feed = NewsFeed(lambda: self.version, lambda: True, lambda: ("h",))

    def request(self, kind=SubscriberKind.ROUTER, node="r", wait_s=0.2, **changes):
        request = NewsRequest(
            node, kind, self.feed.epoch, self.feed.table.revision, self.version, wait_s
        )
        return request._replace(**changes)

    @asyncio_test
    async def test_unknown_epoch_gets_everything_at_once(self):
        self.feed.report(record())
        news = await self.feed.answer(self.request(epoch="", revision=99))
        self.assertEqual([item.target_id for item in news.records], ["t"])
        self.assertEqual(decode_news(encode(news)), news)

    @asyncio_test
    async def test_peers_are_named_once_and_only_to_routers_that_serve_others(self):
        """A router that is cut off needs them at once, but they must not be sent with each poll."""
        endpoints = {node: PeerEndpoint(f"h-{node}", "k", "d") for node in ("r1", "r2", "r3")}
        for node, endpoint in endpoints.items():
            request = self.request(node=node, wait_s=0.01, peer=endpoint)
            await self.feed.wait_for_updates(decode_request(encode(request)))
        asking = self.request(node="r1", peer=endpoints["r1"])
        news = self.feed.build_news(asking)
        self.assertEqual({peer.host for peer in news.peers}, {"h-r2", "h-r3"})
        self.assertEqual(decode_news(encode(news)), news)
        known = asking._replace(peers_digest=peers_digest(news.peers))
        self.assertIsNone(self.feed.build_news(known).peers)
        self.assertIsNone(self.feed.build_news(asking._replace(is_first=False)).peers)
        self.assertIsNone(self.feed.build_news(self.request(node="r4")).peers)

    @asyncio_test
    async def test_leader_names_who_grants_slots_once_and_only_while_a_service_is_brittle(self):
        """Guards against two lists of these routers, and against one with each poll."""
        with override_clock(lambda: 0.0):
            feed = NewsFeed(lambda: 0, lambda: True, lambda: ("h",), lambda: self.leads)
        self.leads, endpoint = True, PeerEndpoint("h-r", "k", "d")
        request = self.request(epoch=feed.epoch, wait_s=0.0, peer=endpoint, brittle=BrittleReport())
        await feed.wait_for_updates(request)
        self.assertIsNone(feed.build_news(request).brittle)
        asking = request._replace(brittle=BrittleReport((7,)))
        await feed.wait_for_updates(decode_request(encode(asking)))
        news = feed.build_news(asking)
        self.assertEqual([item.service for item in news.brittle.services], [7])
        self.assertEqual([item.endpoint for item in news.brittle.granters], [endpoint])
        self.assertEqual(decode_news(encode(news)), news)
        known = asking._replace(brittle=BrittleReport((7,), peers_digest((endpoint,))))
        self.assertIsNone(feed.build_news(known).brittle.granters)
        self.assertIsNone(feed.build_news(asking._replace(brittle=None)).brittle)
        self.leads = False
        self.assertIsNone(feed.build_news(asking).brittle.granters)

    @asyncio_test
    async def test_router_that_was_named_few_peers_is_named_the_next_at_once(self):
        """In a fleet that starts, a list without any sound router stood for two seconds."""
        endpoints = {node: PeerEndpoint(f"h-{node}", "k", "d") for node in ("r1", "r2", "r3")}
        for count, (node, endpoint) in enumerate(endpoints.items()):
            request = self.request(node=node, wait_s=0.01, peer=endpoint)
            await self.feed.wait_for_updates(decode_request(encode(request)))
            news = self.feed.build_news(self.request(node="r1", peer=endpoints["r1"]))
            self.assertEqual(len(news.peers or ()), count)

    @asyncio_test
    async def test_router_that_is_cut_off_is_named_peers_that_are_not(self):
        """Otherwise few routers with open paths would be known to none of many without."""
        for number in range(20):
            endpoint = PeerEndpoint(f"h-{number}", "k", "d")
            request = self.request(
                node=f"r{number}", wait_s=0.01, peer=endpoint, is_cut_off=number > 1
            )
            await self.feed.wait_for_updates(decode_request(encode(request)))
        news = self.feed.build_news(self.request(node="r7", peer=PeerEndpoint("h-7", "k", "d")))
        self.assertEqual({peer.host for peer in news.peers[:2]}, {"h-0", "h-1"})
        self.assertEqual(len(news.peers), MAX_PEERS)

    @asyncio_test
    async def test_loads_reported_by_routers_are_summed(self):
        for node in ("r1", "r2"):
            request = self.request(node=node, wait_s=0.01, held=(HeldCount(7, 2),))
            await self.feed.wait_for_updates(decode_request(encode(request)))
        held = self.feed.load_sums.total(read_clock())
        self.assertEqual((held.counts, held.routers), ((HeldCount(7, 4),), 2))
        news = self.feed.build_news(self.request(), held)
        self.assertEqual(decode_news(encode(news)), news)

    @asyncio_test
    async def test_tokens_are_summed_and_sent_to_routers_that_report_theirs(self):
        # Entries that can't be true (more than a request's tokens at target 8) are ignored.
        tokens = (HeldTokens(7, 100), HeldTokens(8, MAX_REQUEST_TOKENS + 1))
        for node in ("r1", "r2"):
            request = self.request(
                node=node, wait_s=0.01, held=(HeldCount(7, 2),), held_tokens=tokens
            )
            await self.feed.wait_for_updates(decode_request(encode(request)))
        await self.feed.wait_for_updates(self.request(node="r3", wait_s=0.01))
        sums = self.feed.token_sums.total(read_clock())
        self.assertEqual((sums.targets, sums.routers), ((TokenSum(7, 200),), 2))
        self.assertEqual(self.feed.build_news(request, held_tokens=sums).held_tokens, sums)
        self.assertIsNone(self.feed.build_news(self.request(node="r3")).held_tokens)

    @asyncio_test
    async def test_counts_for_shedding_are_answered_to_routers_that_send_them(self):
        # A router that does not take part gets the same bytes as before but for the empty field.
        self.feed.report(record())
        report = ShedReport(target_digest("s"), 0, 0, (GroupCounts(1, 0, 5, 5, 5),))
        taking_part = self.request(node="r1", wait_s=0.01, shedding=(report, ShedReport(5)))
        bad = self.request(node="r2", wait_s=0.01, shedding=(report._replace(waiting=-1),))
        for request in (taking_part, bad):
            await self.feed.wait_for_updates(decode_request(encode(request)))
        news = self.feed.build_news(taking_part)
        self.assertEqual(news.shedding.routers, 2)
        self.assertEqual(decode_news(encode(news)), news)
        self.assertIsNone(self.feed.build_news(self.request(node="r3")).shedding)
        self.assertEqual(len(self.feed.shedding._logged), 2)

    @asyncio_test
    async def test_routers_receive_their_index(self):
        requests = [self.request(node=node, wait_s=0.01) for node in ("r3", "r1", "r2")]
        for request in [*requests, self.request(SubscriberKind.REPLICA, "r0", 0.01)]:
            await self.feed.wait_for_updates(request)
        indexes = {item.node_id: self.feed.build_news(item).place for item in requests}
        self.assertEqual(indexes, {"r1": 0, "r2": 1, "r3": 2})
        self.assertIsNone(self.feed.build_news(self.request(node="unknown")).place)

    @asyncio_test
    async def test_replicas_report_no_requests(self):
        request = self.request(kind=SubscriberKind.REPLICA, wait_s=0.01)
        await self.feed.wait_for_updates(request)
        self.assertEqual(self.feed.load_sums.total(read_clock()), HeldSum())

    @asyncio_test
    async def test_without_updates_the_answer_comes_after_the_wait(self):
        self.feed.report(record())
        started_s = read_clock()
        news = await self.feed.answer(self.request())
        self.assertGreater(read_clock() - started_s, 0.15)
        self.assertEqual(news.records, ())
        self.assertEqual([item.target_id for item in news.last_seen], ["t"])

    @asyncio_test
    async def test_leave_and_version_wake_waiting_subscribers(self):
        self.feed.report(record())
        for change in (lambda: self.feed.leave("t"), self.publish):
            waiting = asyncio.ensure_future(self.feed.answer(self.request(wait_s=5.0)))
            await asyncio.sleep(0.02)
            change()
            await asyncio.wait_for(waiting, 0.5)

    def publish(self):
        self.version += 1
        self.feed.wake()

    @asyncio_test
    async def test_new_version_does_not_wake_replicas(self):
        waiting = self.request(SubscriberKind.REPLICA, "c", wait_s=0.1)
        self.version = 5
        news = await self.feed.answer(waiting._replace(version=0))
        self.assertEqual(news.version, 5)

    @asyncio_test
    async def test_leave_is_replicated_once_replicas_ask_with_its_revision(self):
        self.feed.report(record())
        first = asyncio.ensure_future(
            self.feed.answer(self.request(SubscriberKind.REPLICA, "c", wait_s=5.0))
        )
        await asyncio.sleep(0.02)
        self.feed.leave("t")
        revision = self.feed.table.revision
        self.assertFalse(await self.feed.wait_until_replicated(revision, 0.05))
        news = await first
        next_request = self.request(SubscriberKind.REPLICA, "c", wait_s=0.3, revision=news.revision)
        polling = asyncio.ensure_future(self.feed.answer(next_request))
        self.assertTrue(await self.feed.wait_until_replicated(revision, 1.0))
        await polling

    @asyncio_test
    async def test_leave_is_replicated_at_once_without_other_replicas(self):
        self.feed.leave("t")
        self.assertTrue(await self.feed.wait_until_replicated(self.feed.table.revision, 0.0))

    @asyncio_test
    async def test_records_from_another_replica_are_forwarded_without_heartbeats(self):
        self.feed.merge([record("far")], ())
        news = await self.feed.answer(self.request(epoch=""))
        self.assertEqual([item.target_id for item in news.records], ["far"])
        self.assertEqual(news.last_seen, ())

    @asyncio_test
    async def test_subscribed_routers_are_counted(self):
        for node in ("r1", "r2", "r1"):
            await self.feed.answer(self.request(node=node, wait_s=0.0))
        await self.feed.answer(self.request(SubscriberKind.REPLICA, "c", wait_s=0.0))
        self.assertEqual(self.feed.router_count(), 2)


class ManyTargetsTest(TestCase):
    """A feed with more targets than are listed one by one."""

    timeout = 10

    def setUp(self):
        self.feed = NewsFeed(lambda: 0, lambda: True, lambda: ("h",))
        for number in range(MAX_LISTED_TARGETS + 1):
            self.feed.report(record(f"t-{number}"))

    async def ask(self, is_first=True, wait_s=0.01, **changes):
        """Return the answer to a request of a router that has the table."""
        table = self.feed.table
        request = NewsRequest(
            "r", SubscriberKind.ROUTER, self.feed.epoch, table.revision, 0, wait_s, table.digest
        )
        return await self.feed.answer(request._replace(is_first=is_first, **changes))

    def advance_clock(self, seconds):
        """Advance the clock, so that everything recorded so far is older."""
        later_s = read_clock() + seconds
        clock = override_clock(lambda: later_s)
        clock.__enter__()
        self.addCleanup(clock.__exit__, None, None, None)

    @asyncio_test
    async def test_a_router_with_the_same_table_gets_the_silent_targets(self):
        news = await self.ask()
        self.assertEqual((news.last_seen, news.others_last_seen.silent), ((), ()))
        self.assertEqual(news.others_last_seen.digest, self.feed.table.digest)
        self.advance_clock(HEARTBEAT_WINDOW_S + 0.1)
        self.feed.report(record("t-0", sequence=2))
        for number in range(2, MAX_LISTED_TARGETS + 1):
            self.feed.report(record(f"t-{number}", sequence=2))
        news = await self.ask(wait_s=0.0)
        self.assertEqual(news.others_last_seen.silent, ("t-1",))
        self.assertEqual(decode_news(encode(news)), news)

    @asyncio_test
    async def test_a_router_whose_table_differs_for_long_gets_a_list_of_heartbeats(self):
        await self.ask(table_digest=5)
        self.advance_clock(MAX_MISMATCH_S + 0.1)
        news = await self.ask(table_digest=5, wait_s=0.0)
        self.assertIsNone(news.others_last_seen)
        self.assertEqual(len(news.last_seen), MAX_LISTED_TARGETS + 1)

    @asyncio_test
    async def test_another_replica_sends_a_change_only_to_a_lagging_router(self):
        digest, revision = self.feed.table.digest, self.feed.table.revision
        waiting = asyncio.ensure_future(self.ask(is_first=False, wait_s=0.1))
        await asyncio.sleep(0.02)
        self.feed.leave("t-0")
        news = await waiting
        self.assertEqual((news.records, news.revision), ((), revision))
        self.assertEqual((await self.ask(is_first=False)).revision, self.feed.table.revision)
        self.feed.leave("t-1")
        self.advance_clock(LAG_THRESHOLD_S + 0.1)
        lacking = {"is_first": False, "table_digest": digest, "revision": revision, "wait_s": 0.0}
        news = await self.ask(**lacking)
        self.assertEqual([item.target_id for item in news.phases], ["t-0", "t-1"])
        self.assertEqual({item.phase for item in news.phases}, {TargetPhase.GONE})
        self.assertEqual(decode_news(encode(news)), news)
        self.feed.has_headroom = lambda: False
        self.assertEqual((await self.ask(**lacking)).phases, ())

    @asyncio_test
    async def test_a_large_table_is_sent_in_parts_if_there_is_headroom(self):
        for number in range(MAX_RECORDS):
            self.feed.report(record(f"u-{number}"))
        revision, received = 0, []
        while revision < self.feed.table.revision:
            news = await self.ask(table_digest=0, revision=revision)
            self.assertLessEqual(len(news.records), MAX_RECORDS)
            received += [item.target_id for item in news.records]
            revision = news.revision
        self.assertEqual(len(received), len(self.feed.table))
        request = NewsRequest("r", SubscriberKind.ROUTER, self.feed.epoch, 0, 0, 0.0)
        news = self.feed.build_news(request, has_headroom=False)
        self.assertEqual((news.records, news.revision), ((), 0))

    @asyncio_test
    async def test_replicas_get_a_list_of_heartbeats_even_if_the_link_is_busy(self):
        """Replicas that sent each other no heartbeats while routers loaded tables cost a lease.

        Each considered the others' targets silent, two thirds of 3,000, and so listed its own
        heartbeats to 95 routers: 608,892 bytes in a second on a link of 175,000 bytes per
        second. The leader's heartbeats queued behind them, and in one of four runs it lost its
        lease ("quorum-lost", its followers' answers 0.9 s old).
        """
        self.feed.has_headroom = lambda: False
        self.feed.reserve_headroom = lambda size_bytes: False
        news = await self.ask(node_id="c", kind=SubscriberKind.REPLICA)
        self.assertEqual(len(news.last_seen), MAX_LISTED_TARGETS + 1)

    @asyncio_test
    async def test_lists_for_lagging_routers_are_sent_if_there_is_headroom(self):
        headroom_bytes = [1000]

        def reserve_headroom(size_bytes):
            headroom_bytes[0] -= size_bytes
            return headroom_bytes[0] > 0

        self.feed.reserve_headroom = reserve_headroom
        listed = []
        for number in range(5):
            request = {"node_id": f"r{number}", "revision": 0, "table_digest": 1}
            await self.ask(**request)
            self.advance_clock(MAX_MISMATCH_S + 0.1)
            for target in range(MAX_LISTED_TARGETS + 1):
                self.feed.report(record(f"t-{target}", sequence=2 + number))
            listed.append(len((await self.ask(**request)).last_seen))
        self.assertEqual(listed, [MAX_LISTED_TARGETS + 1, 0, 0, 0, 0])


class ManyRoutersTest(TestCase):
    """A replica to which more routers subscribe than every replica sends every change to."""

    timeout = 10

    def setUp(self):
        self.feed = NewsFeed(lambda: 0, lambda: True, lambda: ("h",))
        self.feed.report(record("t-0"))

    async def subscribe(self):
        """Let all routers make a request."""
        for number in range(MAX_REDUNDANT_ROUTERS + 1):
            await self.feed.wait_for_updates(self.request(node=f"r{number}"))

    def request(self, node="r0", is_first=True, **changes):
        """Return the request of a router that has the table."""
        table = self.feed.table
        request = NewsRequest(
            node, SubscriberKind.ROUTER, self.feed.epoch, table.revision, 0, 0.01, table.digest
        )
        return request._replace(is_first=is_first, **changes)

    @asyncio_test
    async def test_suspicions_are_sent_by_one_replica(self):
        """Guards against suspicions that fill the links of all replicas for each router."""
        await self.subscribe()
        self.feed.merge_suspicions(SUSPICIONS)
        other = await self.feed.answer(self.request(is_first=False))
        self.assertEqual((other.suspicions, other.suspicions_revision), ((), 0))
        first = await self.feed.answer(self.request())
        self.assertEqual(len(first.suspicions), len(SUSPICIONS))
        seen = first.suspicions_revision
        known = await self.feed.answer(self.request(suspicions_seen=seen))
        self.assertEqual(known.suspicions, ())

    @asyncio_test
    async def test_fatal_requests_are_repeated_by_every_replica_for_a_while(self):
        """Guards against a fatal request that routers send on as their first replica is frozen."""
        await self.subscribe()
        now_s = [read_clock()]
        with override_clock(lambda: now_s[0]):
            fatal = [Suspicion(bytes([number] * 7), 0, 3, 0.0) for number in range(20)]
            self.feed.merge_suspicions([*SUSPICIONS, *fatal])
            news = self.feed.build_news(self.request(is_first=False))
            self.assertEqual(news.suspicions, tuple(fatal[-MAX_REPEATED:]))
            self.assertEqual(news.suspicions_revision, 0)
            now_s[0] += FATAL_REPEAT_S
            self.assertEqual(self.feed.build_news(self.request(is_first=False)).suspicions, ())

    @asyncio_test
    async def test_fatal_requests_do_not_wait_for_the_link(self):
        """Guards against a fatal request that is told behind thousands of other suspicions."""
        await self.subscribe()
        self.feed.reserve_suspicions = lambda count: 9.0
        fatal = Suspicion(bytes(7), 0, 3, 0.0)
        self.feed.merge_suspicions([*SUSPICIONS, fatal])
        self.assertEqual(self.feed.build_news(self.request()).suspicions, (fatal,))

    @asyncio_test
    async def test_replica_that_becomes_the_first_sends_all_suspicions(self):
        """Guards against suspicions that a router never gets as its first replica is lost."""
        await self.subscribe()
        self.feed.merge_suspicions(SUSPICIONS)
        other = await self.feed.answer(self.request(is_first=False))
        news = await self.feed.answer(self.request(suspicions_seen=other.suspicions_revision))
        self.assertEqual(len(news.suspicions), len(SUSPICIONS))

    @asyncio_test
    async def test_suspicions_wait_for_the_link(self):
        """Guards against suspicions for many routers that take the link at once."""
        await self.subscribe()
        self.feed.reserve_suspicions = lambda count: 0.05
        self.feed.merge_suspicions(SUSPICIONS)
        started_s = read_clock()
        waiting = asyncio.ensure_future(self.feed.answer(self.request(wait_s=1.0)))
        await asyncio.sleep(0.02)
        self.assertEqual(self.feed.build_news(self.request("r1")).suspicions, ())
        self.assertFalse(waiting.done())
        self.assertEqual(len((await waiting).suspicions), len(SUSPICIONS))
        self.assertLess(read_clock() - started_s, 0.5)

    @asyncio_test
    async def test_each_router_reserves_its_turn_once(self):
        """Guards against routers that all check again each time another one's turn comes."""
        await self.subscribe()
        reserved = []

        def reserve(count):
            reserved.append(count)
            return 0.002 * len(reserved)

        self.feed.reserve_suspicions = reserve
        self.feed.merge_suspicions(SUSPICIONS)
        answers = await asyncio.gather(
            *(self.feed.answer(self.request(f"r{number}", wait_s=1.0)) for number in range(10))
        )
        self.assertEqual(reserved, [len(SUSPICIONS)] * 10)
        self.assertEqual([len(news.suspicions) for news in answers], [len(SUSPICIONS)] * 10)

    @asyncio_test
    async def test_replica_is_sent_suspicions_while_routers_wait(self):
        """Guards against suspicions that reach the routers of another replica late."""
        await self.subscribe()
        self.feed.reserve_suspicions = lambda count: 9.0
        self.feed.merge_suspicions(SUSPICIONS)
        request = self.request("other", kind=SubscriberKind.REPLICA)
        self.assertEqual(len((await self.feed.answer(request)).suspicions), len(SUSPICIONS))
        self.assertEqual((await self.feed.answer(self.request())).suspicions, ())

    @asyncio_test
    async def test_change_wakes_only_those_that_get_it_from_this_replica(self):
        """Guards against a change that makes every replica answer every router."""
        await self.subscribe()
        first = asyncio.ensure_future(self.feed.answer(self.request("r0", wait_s=0.5)))
        other = asyncio.ensure_future(
            self.feed.answer(self.request("r1", is_first=False, wait_s=0.5))
        )
        await asyncio.sleep(0.01)
        self.feed.leave("t-0")
        self.assertEqual(len((await first).phases), 1)
        self.assertFalse(other.done())
        news = await other
        self.assertEqual([(item.target_id, item.phase) for item in news.phases], [LEFT])
        self.assertEqual(news.records, ())

    @asyncio_test
    async def test_departures_are_in_the_answers_of_every_replica_and_nothing_else(self):
        """Guards against work for a leaving target since a router's first replica stands still."""
        await self.subscribe()
        self.feed.report(record("t-1"))
        request = self.request(is_first=False)
        self.feed.report(record("t-2"))
        self.feed.leave("t-0")
        news = await self.feed.answer(request)
        self.assertEqual(news.records, ())
        self.assertEqual([(item.target_id, item.phase) for item in news.phases], [LEFT])
        self.assertEqual(news.revision, request.revision)

    @asyncio_test
    async def test_router_that_has_just_started_gets_the_table_from_any_replica(self):
        """Guards against a router that waits for targets as its first replica is down."""
        await self.subscribe()
        news = await self.feed.answer(self.request("new", is_first=False, epoch="", table_digest=0))
        self.assertEqual([item.target_id for item in news.records], ["t-0"])

    @asyncio_test
    async def test_few_routers_get_changes_from_every_replica(self):
        """Guards against a small fleet that waits for one replica that stands still."""
        self.feed.merge_suspicions(SUSPICIONS)
        news = await self.feed.answer(self.request(is_first=False, table_digest=0, revision=0))
        self.assertEqual((len(news.records), len(news.suspicions)), (1, len(SUSPICIONS)))
