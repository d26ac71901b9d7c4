"""Tests of a replica that holds which versions began streams."""

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet import origins_site
from damaskwind.control.fleet.document_cache import DocumentCache
from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.control.fleet.news_site import NewsSite
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.streams.origin_table import OriginEntry
from damaskwind.model.evacuations import Evacuations
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock, read_clock
from damaskwind.runtime.http1.client import connect, fetch
from damaskwind.runtime.http1.messages import Request
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.stream_origins import (
    ORIGINS_PATH,
    OriginAnswer,
    OriginCall,
    decode_answer,
    encode_message,
)

LIMIT_BYTES = 1 << 20


SERVING = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 1)


def key(number):
    return number.to_bytes(8, "big")


class OriginsSiteTest(TestCase):
    timeout = 20

    async def start(self):
        self.tallies = Tallies()
        hosts = ("a", "b", "c")
        self.feed = NewsFeed(lambda: 0, lambda: True, lambda: hosts, lambda: False, Evacuations)
        site = NewsSite(self.feed, DocumentCache(), self.tallies, 1e9)
        server = HttpServer(site.handle, ServerLimits())
        self.address = Address("127.0.0.1", server.listen("127.0.0.1", 0))
        self.addCleanup(server.stop_listening)
        self.addCleanup(server.abort)
        self.connection = await connect(self.address, 1.0)
        self.addCleanup(self.connection.abort)

    async def post(self, body):
        request = Request(b"POST", ORIGINS_PATH, [(b"host", b"c")], body)
        return await fetch(self.connection, request, LIMIT_BYTES)

    @asyncio_test
    async def test_one_call_writes_and_asks(self):
        """Guards against a replica that does not serve the path, or forgets."""
        await self.start()
        entry = OriginEntry((key(1), key(2)), "v1", 7, 1, 5000)
        answer = await self.post(encode_message(OriginCall((entry,), (key(2), key(3)))))
        self.assertEqual(answer.status, 200)
        self.assertEqual(decode_answer(answer.body).versions, (("v1",), ()))
        answer = await self.post(encode_message(OriginCall((), (key(1),))))
        self.assertEqual(decode_answer(answer.body).versions, (("v1",),))
        written = {labels[0][1]: n for labels, n in self.tallies.totals("stream_origins").items()}
        self.assertEqual(written, {"written": 1, "asked": 3})
        self.assertGreater(self.tallies.totals("received_bytes")[KIND], 40)

    @asyncio_test
    async def test_malformed_call_is_refused_and_changes_nothing(self):
        """Guards against a call that is merged in part."""
        await self.start()
        good = OriginEntry((key(1),), "v1", 7, 1, 5000)
        bad = good._replace(writer=-1)
        for body in (b"", b"\xc1", encode_message(OriginCall((good, bad)))):
            self.assertEqual((await self.post(body)).status, 400)
        answer = await self.post(encode_message(OriginCall((), (key(1),))))
        self.assertEqual(decode_answer(answer.body).versions, ((),))

    @asyncio_test
    async def test_versions_of_targets_are_told_with_the_answer(self):
        """Guards against a router that asks a replica and doesn't learn of a release by it."""
        await self.start()
        for target_id, version in (("t", "v1"), ("u", "v2"), ("w", "")):
            self.feed.report(SERVING._replace(target_id=target_id, version=version))
        self.feed.leave("u")
        self.feed.report(SERVING._replace(target_id="t", version="v3", born_ms=9))
        call = OriginCall((), (key(1),), ("s", "unknown"))
        answer = decode_answer((await self.post(encode_message(call))).body)
        # Those that have left or that were replaced in place are known too.
        self.assertEqual(answer.known, (("", "v1", "v2", "v3"), ()))
        self.assertEqual(answer.replicas, ("a", "b", "c"))
        without = call._replace(services=())
        answer = decode_answer((await self.post(encode_message(without))).body)
        self.assertEqual(answer, OriginAnswer(((),)))

    @asyncio_test
    async def test_replica_says_that_it_has_just_started(self):
        """Guards against an answer that counts before routers have written down again."""
        await self.start()
        body = encode_message(OriginCall((), (key(1),), ("s",)))
        started_s = read_clock()
        self.assertFalse(decode_answer((await self.post(body)).body).is_settled)
        later_s = started_s + origins_site.SETTLED_S
        with override_clock(lambda: later_s):
            self.assertTrue(decode_answer((await self.post(body)).body).is_settled)

    @asyncio_test
    async def test_memory_is_bounded(self):
        """Guards against a replica whose memory grows with the streams of a release."""
        self.patch(origins_site, "MAX_KEYS", 10)
        await self.start()
        for number in range(20):
            entry = OriginEntry((key(number),), "v1", 7, 1, 60_000)
            await self.post(encode_message(OriginCall((entry,))))
        keys = tuple(key(number) for number in range(20))
        answer = await self.post(encode_message(OriginCall((), keys)))
        found = [bool(versions) for versions in decode_answer(answer.body).versions]
        self.assertEqual(found, [False] * 10 + [True] * 10)


KIND = (("kind", "stream-origins"),)
