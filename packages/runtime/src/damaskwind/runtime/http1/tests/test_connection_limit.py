"""Tests of the bound on open connections, with callers that send nothing or wait."""

import asyncio

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1 import connection_limit
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.tests.test_unanswered import HEAD, WAIT_S, ServerTestCase
from damaskwind.runtime.tallies import Tallies

MAX_CONNECTIONS = 3


class ConnectionLimitTest(ServerTestCase):
    async def start(self):
        self.release = asyncio.Event()
        await super().start()
        self.tallies = Tallies()
        self.changes = []
        self.server.limit = self.server._acceptor._limit = ConnectionLimit(
            "callers", MAX_CONNECTIONS, self.tallies, self.changes.append
        )

    async def held(self, exchange):
        await self.release.wait()
        exchange.respond(Answer(200, [], b"ok"))

    def counted(self, name):
        return sum(self.tallies.totals(name).values())

    async def fill(self, data=b""):
        """Open as many connections as there may be; return their streams."""
        opened = [await self.open(data) for _ in range(MAX_CONNECTIONS)]
        await self.until(lambda: len(self.server.connections) == MAX_CONNECTIONS)
        return opened

    async def is_served(self):
        try:
            reader, _ = await self.open(HEAD % b"/whole")
            return b" 200 " in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            return False

    @asyncio_test
    async def test_caller_is_kept_out_by_connections_that_send_nothing(self):
        opened = await self.fill()
        self.assertTrue(await self.is_served())
        self.assertEqual(await asyncio.wait_for(opened[0][0].read(), WAIT_S), b"")
        self.assertEqual(self.counted("connections_displaced"), 1)
        self.assertEqual(self.server.limit.open, MAX_CONNECTIONS)

    @asyncio_test
    async def test_caller_is_kept_out_by_heads_that_do_not_end(self):
        await self.fill(b"GET / HTTP/1.1\r\n")
        self.assertTrue(await self.is_served())

    @asyncio_test
    async def test_request_in_hand_is_cut_for_another_connection(self):
        opened = await self.fill(HEAD % b"/held")
        await self.until(lambda: len(self.tasks) == MAX_CONNECTIONS)
        self.assertFalse(await self.is_served())
        self.assertEqual(self.counted("connections_refused"), 1)
        self.release.set()
        for reader, _ in opened:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
            self.assertTrue(head.startswith(b"HTTP/1.1 200 "))

    @asyncio_test
    async def test_caller_is_kept_out_by_those_that_only_send_ahead(self):
        self.patch(connection_limit, "MIN_STALL_S", 0.05)
        await self.fill(HEAD % b"/held" + HEAD % b"/whole" * 1000)
        await self.until(lambda: len(self.tasks) == MAX_CONNECTIONS)
        await asyncio.sleep(0.2)
        self.assertTrue(await self.is_served())

    @asyncio_test
    async def test_closed_connections_count_on(self):
        opened = await self.fill()
        for _, writer in opened:
            writer.close()
        await self.until(lambda: not self.server.limit.open)
        self.assertEqual(sum(self.changes), 0)
        self.assertTrue(await self.is_served())
        self.assertEqual(self.counted("connections_displaced"), 0)
