"""Tests of which replicas a router reports suspicions of fatal requests to."""

import asyncio
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.decisions.fatal_requests.suspicion import SuspicionLevel
from damaskwind.router.forwarding.suspicion_relay import RECENT_S, SuspicionRelay
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock
from damaskwind.runtime.http1.client import ConnectFailedError
from damaskwind.wire.news import News

HOSTS = ["a", "b", "c", "d"]


class ReportedReplicasTest(TestCase):
    """A router that prefers four replicas in the order of their names; no socket is opened."""

    timeout = 10

    def setUp(self):
        self.now_s = 100.0
        self.enterContext(override_clock(lambda: self.now_s))
        self.calls, self.unreachable = [], set()
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.relay = SuspicionRelay(1)
        for host in HOSTS:
            self.relay.follow(host)
        self.hosts = list(HOSTS)
        self.relay.order_hosts = lambda: self.hosts
        patcher = patch.object(self.relay, "_call", self.record_call)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def record_call(self, host, digests):
        await self.may_answer.wait()
        if host in self.unreachable:
            raise ConnectFailedError("unreachable")
        self.calls += [(host, digest) for digest in digests]

    async def end_calls(self):
        """Wait for the calls in progress; return all calls since the last time."""
        for task in list(self.relay._sending.values()):
            await task
        calls, self.calls = self.calls, []
        return sorted(calls)

    def hear(self, host, epoch="epoch"):
        """Let a replica's update arrive."""
        self.relay.handle_news(host, News(epoch, 1, 1, True, (), 1, (), ()))

    @asyncio_test
    async def test_change_is_reported_to_two_replicas(self):
        """Guards against calls of all routers at all replicas as targets crash."""
        self.relay.record_target_end([(b"x", SuspicionLevel())])
        self.assertEqual(await self.end_calls(), [("a", b"x"), ("b", b"x")])

    @asyncio_test
    async def test_replica_in_the_place_of_a_lost_one_is_sent_recent_changes(self):
        """Guards against a change that is lost with the replica that it was reported to."""
        for host in HOSTS:
            self.hear(host)
        self.relay.record_target_end([(b"old", SuspicionLevel())])
        self.now_s += RECENT_S + 1
        self.relay.record_target_end([(b"x", SuspicionLevel())])
        await self.end_calls()
        self.hosts = ["b", "c", "d"]
        self.hear("c")
        self.assertEqual(await self.end_calls(), [("c", b"x")])
        self.hear("d")
        self.assertEqual(await self.end_calls(), [])

    @asyncio_test
    async def test_unreachable_replica_is_sent_what_it_lacks_after_its_next_update(self):
        """Guards against a change that a replica never gets since a call to it failed."""
        self.hear("a")
        self.unreachable.add("a")
        self.relay.record_target_end([(b"x", SuspicionLevel())])
        self.assertEqual(await self.end_calls(), [("b", b"x")])
        self.unreachable.clear()
        self.hear("a")
        self.assertEqual(await self.end_calls(), [("a", b"x")])

    @asyncio_test
    async def test_replica_that_restarts_during_a_call_is_sent_all_at_once(self):
        """Guards against a replica back without what it knew that waits for its next update."""
        self.hear("a")
        self.relay.record_target_end([(b"x", SuspicionLevel())])
        await self.end_calls()
        self.may_answer.clear()
        self.relay.record_target_end([(b"y", SuspicionLevel())])
        await asyncio.sleep(0)
        self.hear("a", "epoch of the next life")
        self.may_answer.set()
        calls = await self.end_calls()
        self.assertLessEqual({("a", b"x"), ("a", b"y")}, set(calls))

    @asyncio_test
    async def test_change_that_no_replica_confirmed_is_sent_when_another_is_heard(self):
        """Guards against a suspicion that only one router knows, since it was cut off for long."""
        for host in HOSTS:
            self.hear(host)
        await self.end_calls()
        self.unreachable = set(HOSTS)
        self.relay.record_target_end([(b"x", SuspicionLevel())])
        await self.end_calls()
        self.now_s += RECENT_S + 1
        self.unreachable.clear()
        self.hosts = ["c"]
        self.hear("c")
        self.assertEqual(await self.end_calls(), [("c", b"x")])

    @asyncio_test
    async def test_fatal_request_is_reported_to_a_third_replica_if_two_are_lost(self):
        """Guards against a fatal request that is known to one router for 2.2 s."""
        self.unreachable = {"a", "b"}
        self.relay.record_target_end([(b"once", SuspicionLevel()), (b"x", SuspicionLevel(0, 2))])
        self.assertEqual(await self.end_calls() + await self.end_calls(), [("c", b"x")])

    @asyncio_test
    async def test_fatal_request_is_reported_to_the_last_replica_if_all_others_are_lost(self):
        """Guards against a router that tries one more replica, and no further one."""
        self.unreachable = {"a", "b", "c"}
        self.relay.record_target_end([(b"x", SuspicionLevel(0, 2))])
        calls = [await self.end_calls() for _ in HOSTS]
        self.assertEqual(sum(calls, []), [("d", b"x")])
