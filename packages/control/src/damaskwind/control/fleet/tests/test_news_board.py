"""Tests of the news: at once when there is something, late when there is nothing."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet.heard_targets import HEARD_S
from damaskwind.control.fleet.news_board import (
    DISAGREES_S,
    LAGS_S,
    LISTED_TARGETS,
    RECORDS_AT_ONCE,
    NewsBoard,
)
from damaskwind.decisions.load.held_sums import HeldCount, HeldSum
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock, read_clock
from damaskwind.wire.news import NewsRequest, SubscriberKind, decode_news, decode_request, encode


def record(target_id="t", phase=TargetPhase.SERVING, sequence=1):
    return TargetRecord(target_id, "s", Address("127.0.0.1", 1), "d", phase, sequence)


class NewsBoardTest(TestCase):
    timeout = 10

    def setUp(self):
        self.version = 0
        self.board = NewsBoard(lambda: self.version, lambda: True, lambda: ("h",))

    def request(self, kind=SubscriberKind.ROUTER, node="r", wait_s=0.2, **changes):
        request = NewsRequest(
            node, kind, self.board.epoch, self.board.table.revision, self.version, wait_s
        )
        return request._replace(**changes)

    @asyncio_test
    async def test_unknown_epoch_is_told_everything_at_once(self):
        self.board.report(record())
        news = await self.board.answer(self.request(epoch="", revision=99))
        self.assertEqual([item.target_id for item in news.records], ["t"])
        self.assertEqual(decode_news(encode(news)), news)

    @asyncio_test
    async def test_what_routers_tell_is_summed(self):
        for node in ("r1", "r2"):
            request = self.request(node=node, wait_s=0.01, held=(HeldCount(7, 2),))
            await self.board.wait_for_news(decode_request(encode(request)))
        held = self.board.held.total(read_clock())
        self.assertEqual((held.counts, held.routers), ((HeldCount(7, 4),), 2))
        news = self.board.news(self.request(), held)
        self.assertEqual(decode_news(encode(news)), news)

    @asyncio_test
    async def test_routers_are_told_their_places(self):
        requests = [self.request(node=node, wait_s=0.01) for node in ("r3", "r1", "r2")]
        for request in [*requests, self.request(SubscriberKind.REPLICA, "r0", 0.01)]:
            await self.board.wait_for_news(request)
        places = {item.node_id: self.board.news(item).place for item in requests}
        self.assertEqual(places, {"r1": 0, "r2": 1, "r3": 2})
        self.assertIsNone(self.board.news(self.request(node="unknown")).place)

    @asyncio_test
    async def test_replicas_tell_no_requests(self):
        request = self.request(kind=SubscriberKind.REPLICA, wait_s=0.01)
        await self.board.wait_for_news(request)
        self.assertEqual(self.board.held.total(read_clock()), HeldSum())

    @asyncio_test
    async def test_nothing_new_is_said_after_the_wait(self):
        self.board.report(record())
        started_s = read_clock()
        news = await self.board.answer(self.request())
        self.assertGreater(read_clock() - started_s, 0.15)
        self.assertEqual(news.records, ())
        self.assertEqual([item.target_id for item in news.last_seen], ["t"])

    @asyncio_test
    async def test_leave_and_version_wake_who_waits(self):
        self.board.report(record())
        for change in (lambda: self.board.leave("t"), self.publish):
            waiting = asyncio.ensure_future(self.board.answer(self.request(wait_s=5.0)))
            await asyncio.sleep(0.02)
            change()
            await asyncio.wait_for(waiting, 0.5)

    def publish(self):
        self.version += 1
        self.board.wake()

    @asyncio_test
    async def test_replicas_hear_of_versions_by_the_log_alone(self):
        waiting = self.request(SubscriberKind.REPLICA, "c", wait_s=0.1)
        self.version = 5
        news = await self.board.answer(waiting._replace(version=0))
        self.assertEqual(news.version, 5)

    @asyncio_test
    async def test_leave_counts_as_told_when_the_replicas_have_asked_beyond_it(self):
        self.board.report(record())
        first = asyncio.ensure_future(
            self.board.answer(self.request(SubscriberKind.REPLICA, "c", wait_s=5.0))
        )
        await asyncio.sleep(0.02)
        self.board.leave("t")
        revision = self.board.table.revision
        self.assertFalse(await self.board.wait_told(revision, 0.05))
        news = await first
        again = self.request(SubscriberKind.REPLICA, "c", wait_s=0.3, revision=news.revision)
        asking = asyncio.ensure_future(self.board.answer(again))
        self.assertTrue(await self.board.wait_told(revision, 1.0))
        await asking

    @asyncio_test
    async def test_without_other_replicas_a_leave_is_told(self):
        self.board.leave("t")
        self.assertTrue(await self.board.wait_told(self.board.table.revision, 0.0))

    @asyncio_test
    async def test_what_another_replica_told_is_passed_on_but_not_as_heard_here(self):
        self.board.merge([record("far")], ())
        news = await self.board.answer(self.request(epoch=""))
        self.assertEqual([item.target_id for item in news.records], ["far"])
        self.assertEqual(news.last_seen, ())

    @asyncio_test
    async def test_routers_that_ask_are_counted(self):
        for node in ("r1", "r2", "r1"):
            await self.board.answer(self.request(node=node, wait_s=0.0))
        await self.board.answer(self.request(SubscriberKind.REPLICA, "c", wait_s=0.0))
        self.assertEqual(self.board.routers(), 2)


class ManyTargetsTest(TestCase):
    """A board with more targets than are told one by one."""

    timeout = 10

    def setUp(self):
        self.board = NewsBoard(lambda: 0, lambda: True, lambda: ("h",))
        for number in range(LISTED_TARGETS + 1):
            self.board.report(record(f"t-{number}"))

    async def ask(self, is_first=True, wait_s=0.01, **changes):
        """Ask as a router that knows the table, and take the answer."""
        table = self.board.table
        request = NewsRequest(
            "r", SubscriberKind.ROUTER, self.board.epoch, table.revision, 0, wait_s, table.digest
        )
        return await self.board.answer(request._replace(is_first=is_first, **changes))

    def pass_time(self, seconds):
        """Have all that was noted so far be this much older."""
        later_s = read_clock() + seconds
        clock = override_clock(lambda: later_s)
        clock.__enter__()
        self.addCleanup(clock.__exit__, None, None, None)

    @asyncio_test
    async def test_a_router_with_the_same_table_is_told_who_is_silent(self):
        news = await self.ask()
        self.assertEqual((news.last_seen, news.others_last_seen.silent), ((), ()))
        self.assertEqual(news.others_last_seen.digest, self.board.table.digest)
        self.pass_time(HEARD_S + 0.1)
        self.board.report(record("t-0", sequence=2))
        for number in range(2, LISTED_TARGETS + 1):
            self.board.report(record(f"t-{number}", sequence=2))
        news = await self.ask(wait_s=0.0)
        self.assertEqual(news.others_last_seen.silent, ("t-1",))
        self.assertEqual(decode_news(encode(news)), news)

    @asyncio_test
    async def test_a_router_that_disagrees_for_long_is_told_who_was_heard(self):
        await self.ask(table_digest=5)
        self.pass_time(DISAGREES_S + 0.1)
        news = await self.ask(table_digest=5, wait_s=0.0)
        self.assertIsNone(news.others_last_seen)
        self.assertEqual(len(news.last_seen), LISTED_TARGETS + 1)

    @asyncio_test
    async def test_another_replica_tells_a_change_only_to_a_router_that_still_lacks_it(self):
        digest, revision = self.board.table.digest, self.board.table.revision
        waiting = asyncio.ensure_future(self.ask(is_first=False, wait_s=0.1))
        await asyncio.sleep(0.02)
        self.board.leave("t-0")
        news = await waiting
        self.assertEqual((news.records, news.revision), ((), revision))
        self.assertEqual((await self.ask(is_first=False)).revision, self.board.table.revision)
        self.board.leave("t-1")
        self.pass_time(LAGS_S + 0.1)
        lacking = {"is_first": False, "table_digest": digest, "revision": revision, "wait_s": 0.0}
        news = await self.ask(**lacking)
        self.assertEqual([item.target_id for item in news.phases], ["t-0", "t-1"])
        self.assertEqual({item.phase for item in news.phases}, {TargetPhase.GONE})
        self.assertEqual(decode_news(encode(news)), news)
        self.board.has_room = lambda: False
        self.assertEqual((await self.ask(**lacking)).phases, ())

    @asyncio_test
    async def test_a_large_table_goes_in_parts_where_there_is_room(self):
        for number in range(RECORDS_AT_ONCE):
            self.board.report(record(f"u-{number}"))
        revision, told = 0, []
        while revision < self.board.table.revision:
            news = await self.ask(table_digest=0, revision=revision)
            self.assertLessEqual(len(news.records), RECORDS_AT_ONCE)
            told += [item.target_id for item in news.records]
            revision = news.revision
        self.assertEqual(len(told), len(self.board.table))
        asked = NewsRequest("r", SubscriberKind.ROUTER, self.board.epoch, 0, 0, 0.0)
        news = self.board.news(asked, has_room=False)
        self.assertEqual((news.records, news.revision), ((), 0))

    @asyncio_test
    async def test_replicas_tell_each_other_whom_they_heard_though_the_link_is_busy(self):
        """While routers loaded tables, replicas told each other nothing.

        Each believed the others' targets silent, two thirds of 3,000, and so told 95 routers
        one by one whom it had heard itself: 608,892 bytes in a second on a link of 175,000.
        The leader's heartbeats waited behind them, and it lost its lease ("quorum-lost", its
        followers' answers 0.9 s old) in one of four plays.
        """
        self.board.has_room = lambda: False
        self.board.take_room = lambda size_bytes: False
        news = await self.ask(node_id="c", kind=SubscriberKind.REPLICA)
        self.assertEqual(len(news.last_seen), LISTED_TARGETS + 1)

    @asyncio_test
    async def test_lists_for_routers_that_lack_targets_go_where_there_is_room(self):
        room_bytes = [1000]

        def take_room(size_bytes):
            room_bytes[0] -= size_bytes
            return room_bytes[0] > 0

        self.board.take_room = take_room
        listed = []
        for number in range(5):
            request = {"node_id": f"r{number}", "revision": 0, "table_digest": 1}
            await self.ask(**request)
            self.pass_time(DISAGREES_S + 0.1)
            for target in range(LISTED_TARGETS + 1):
                self.board.report(record(f"t-{target}", sequence=2 + number))
            listed.append(len((await self.ask(**request)).last_seen))
        self.assertEqual(listed, [LISTED_TARGETS + 1, 0, 0, 0, 0])
