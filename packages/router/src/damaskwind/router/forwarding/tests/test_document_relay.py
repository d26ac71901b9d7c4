"""Tests of configuration documents that routers serve to each other."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address
from damaskwind.router.forwarding.document_relay import WAIT_S, DocumentRelay, WholeDocument
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError, connect, fetch
from damaskwind.runtime.http1.messages import Answer, Request
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.document_fetch import DocumentFetcher
from damaskwind.wire.news import (
    DOCUMENT_PATH,
    Document,
    decode_document_request,
    encode,
    pack_document,
)
from damaskwind.wire.watched_calls import wait_until_doubtful

REPLICA, DEAD, HOLDER = "127.79.0.1", "127.79.0.2", "127.79.0.3"
WHOLE = Document(7, pack_document(b"seven"))


class DocumentRelayTest(TestCase):
    """One replica that refers to two routers, of which the first does not listen."""

    timeout = 10

    def setUp(self):
        return to_deferred(self.start())

    async def start(self):
        self.document = WHOLE
        self.asked = []
        self.targets = []
        self.named = (DEAD, HOLDER)
        self.replica = HttpServer(self.answer, ServerLimits())
        self.port = self.replica.listen(REPLICA, 0)
        self.relay = DocumentRelay(lambda held_version: self.document, self.whole)
        self.relay.listen(HOLDER, self.port)
        self.fetcher = DocumentFetcher(self.port, "127.79.0.9")
        self.addCleanup(lambda: to_deferred(self.finish()))

    async def finish(self):
        self.fetcher.close()
        await self.relay.stop()
        await self.replica.stop_listening()
        self.replica.abort()
        await asyncio.sleep(0.05)

    def whole(self):
        return WholeDocument(self.document.version, b'{"version": %d}' % self.document.version)

    async def read(self, query):
        connection = await connect(Address(HOLDER, self.port), 0.5)
        request = Request(b"GET", b"/configuration" + query, [(b"host", b"c")])
        try:
            return await fetch(connection, request, 1000)
        finally:
            connection.abort()

    async def answer(self, exchange):
        self.targets.append(exchange.request.target)
        request = decode_document_request(exchange.request.body)
        self.asked.append(request)
        named = self.named if request.host else ()
        document = Document(7, b"", 0, named) if named else WHOLE
        exchange.respond(Answer(200, [], encode(document)))

    @asyncio_test
    async def test_next_router_is_asked_when_the_first_is_unreachable(self):
        self.assertEqual(await self.fetcher.fetch(REPLICA, 6), WHOLE)
        self.assertEqual([request.host for request in self.asked], ["127.79.0.9"])
        self.assertEqual(self.relay.documents_served, 1)

    @asyncio_test
    async def test_replica_serves_the_document_when_no_router_does(self):
        self.named = (DEAD,)
        self.assertEqual(await self.fetcher.fetch(REPLICA, 6), WHOLE)
        self.assertEqual([request.host for request in self.asked], ["127.79.0.9", ""])

    @asyncio_test
    async def test_router_still_fetching_the_document_waits_for_it(self):
        self.document = Document(6, b"")
        fetching = asyncio.ensure_future(self.fetcher.fetch(REPLICA, 6))
        await asyncio.sleep(0.1)
        self.document = WHOLE
        self.assertEqual(await fetching, WHOLE)
        self.assertEqual(self.relay.documents_served, 1)

    @asyncio_test
    async def test_replica_that_referred_to_a_router_is_asked_nothing_meanwhile(self):
        """Guards against questions of all routers at replicas that send to none of them."""
        self.document, self.named = Document(6, b""), (HOLDER,)
        watched = self.fetcher.watch(REPLICA, lambda: self.fetcher.fetch(REPLICA, 6))
        fetching = asyncio.ensure_future(watched.start())
        doubting = asyncio.ensure_future(wait_until_doubtful(fetching, watched))
        await asyncio.sleep(0.7)
        self.document = WHOLE
        self.assertEqual((await fetching, await doubting), (WHOLE, None))
        self.assertEqual(self.targets, [DOCUMENT_PATH])

    @asyncio_test
    async def test_router_without_the_document_refuses_within_the_wait_limit(self):
        self.document = Document(0, b"")
        begun_s = read_clock()
        self.assertEqual(await self.fetcher.fetch(REPLICA, 6), WHOLE)
        self.assertLess(read_clock() - begun_s, WAIT_S + 1.0)
        self.assertEqual(self.relay.documents_served, 0)

    @asyncio_test
    async def test_failed_call_to_the_replica_raises(self):
        with self.assertRaises(AnswerBrokenError):
            self.replica.handler = lambda exchange: _respond(exchange, 404)
            await self.fetcher.fetch(REPLICA, 6)

    @asyncio_test
    async def test_operator_reads_the_version_that_a_replica_referred_to(self):
        answer = await self.read(b"?version=7")
        self.assertEqual((answer.status, answer.body), (200, b'{"version": 7}'))

    @asyncio_test
    async def test_operator_is_refused_while_the_version_is_not_in_force(self):
        self.assertEqual((await self.read(b"?version=8")).status, 503)
        self.document = Document(0, b"")
        self.assertEqual((await self.read(b"?version=0")).status, 503)

    @asyncio_test
    async def test_read_without_a_valid_version_is_an_error(self):
        for query in (b"", b"?version=x", b"?v=1"):
            self.assertEqual((await self.read(query)).status, 400)


async def _respond(exchange, status):
    exchange.respond(Answer(status, []))
