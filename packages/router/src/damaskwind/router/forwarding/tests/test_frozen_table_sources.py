"""Tests of a router that fetches the table of targets from routers of which one stands still.

Guards against a router that starts and waits 2.5 s for a router that stands still, before it asks
the second one that it was named: a target that leaves gets no new requests after 2 s.
"""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.router.forwarding.table_exchange import TableExchange
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.news import TABLE_PATH, TableCopy, encode, pack_answer
from damaskwind.wire.peer_liveness import answer_alive

FIRST, SECOND = "127.79.1.1", "127.79.1.2"
COPY = TableCopy((), (), True)
FETCHED_S = 1.5


async def stand_still(exchange):
    """Answer nothing, as a stopped process does, whose kernel takes connections all the same."""
    await asyncio.sleep(10)


async def send_table(exchange):
    """Answer with a table at once."""
    exchange.respond(pack_answer(encode(COPY, True)))


async def send_table_late(exchange):
    """Answer with a table when its turn comes, and other calls at once."""
    if exchange.request.target != TABLE_PATH:
        await answer_alive(exchange)
        return
    await asyncio.sleep(0.9)
    await send_table(exchange)


async def refuse(exchange):
    """Refuse, as a router with a long queue does."""
    exchange.respond(Answer(503, []))


class FrozenTableSourceTest(TestCase):
    timeout = 15

    async def fetch_from(self, first, second):
        """Return the host whose table is merged, after how long, and the calls at the second."""
        merged, asked = asyncio.get_running_loop().create_future(), []

        async def count(exchange):
            asked.append(exchange.request.target)
            await second(exchange)

        servers = [HttpServer(first, ServerLimits()), HttpServer(count, ServerLimits())]
        port = servers[0].listen(FIRST, 0)
        servers[1].listen(SECOND, port)
        table = TargetTable()
        exchange = TableExchange(
            table, tuple, lambda host, copy: merged.set_result(host), port, float("inf")
        )
        begun_s = read_clock()
        try:
            exchange.fetch((FIRST, SECOND))
            async with asyncio.timeout(5):
                host = await merged
            return host, read_clock() - begun_s, asked
        finally:
            await exchange.stop()
            for server in servers:
                await server.stop_listening()
                server.abort()

    @asyncio_test
    async def test_second_router_is_asked_when_the_first_stands_still(self):
        host, took_s, _ = await self.fetch_from(stand_still, send_table)
        self.assertEqual(host, SECOND)
        self.assertLess(took_s, FETCHED_S)

    @asyncio_test
    async def test_router_with_a_queue_keeps_its_call(self):
        host, _, asked = await self.fetch_from(send_table_late, send_table)
        self.assertEqual((host, asked), (FIRST, []))

    @asyncio_test
    async def test_second_router_is_asked_at_once_when_the_first_refuses(self):
        host, took_s, _ = await self.fetch_from(refuse, send_table)
        self.assertEqual(host, SECOND)
        self.assertLess(took_s, FETCHED_S)
