"""Tests of streams whose version rests on what a router concludes from silence."""

from damaskwind.decisions.streams.holders import choose_holders
from damaskwind.decisions.streams.origin_table import attempt_key
from damaskwind.router.forwarding.tests.test_stream_origins import OriginsTestCase
from damaskwind.runtime.bridge import asyncio_test


class DoubtfulStreamsTest(OriginsTestCase):
    @asyncio_test
    async def test_refused_connection_does_not_show_that_a_replica_has_lost_a_record(self):
        """Guards against the version of an attempt without an event, kept by a replica cut off."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        for replica in self.replicas:
            first.hear(replica)
        call = first.call(b"a")
        before, after = first.know("v1", "v2")
        self.assertFalse(await first.origins.record(call, before))
        order = choose_holders(attempt_key("pool", b"a"), [r.host for r in self.replicas], ())
        holder = next(replica for replica in self.replicas if replica.host == order[0])
        kept = holder.table
        await holder.kill()
        is_unsure = await first.origins.record(call, after)
        holder.start()
        holder.table = kept
        await first.view.stop()
        if not is_unsure:
            self.assertNotEqual((await second.take_up(b"a")).version, "v1")

    @asyncio_test
    async def test_router_that_knows_targets_without_version_alone_does_not_join(self):
        """Guards against a stream of v2 that goes on at a target that reports no version."""
        first, second = self.router("", "v2"), self.router("")
        for replica in self.replicas:
            replica.known = ("", "v2")
        await first.begin(b"a", "v2")
        verdict = await second.take_up(b"a")
        self.assertTrue(verdict.is_refused or verdict.version == "v2")

    @asyncio_test
    async def test_version_that_other_replicas_know_is_refused_with_a_time_to_come_back(self):
        """Guards against a refusal for good, as the replica that is asked first lacks the news."""
        first, second = self.router("v1", "v2"), self.router("v1")
        await first.begin(b"a", "v2")
        order = choose_holders(attempt_key("pool", b"a"), [r.host for r in self.replicas], ())
        for replica in self.replicas:
            replica.known = ("v1",) if replica.host == order[0] else ("v1", "v2")
        verdict = await second.take_up(b"a")
        self.assertTrue(verdict.is_refused)
        self.assertIsNotNone(verdict.retry_after_s)
