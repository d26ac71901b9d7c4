"""Tests of the question whether another process runs."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.peer_liveness import answer_alive, is_answering

HOST = "127.79.2.1"
LIMIT_S = 0.3


async def answer_as_earlier_version(exchange):
    """Answer a call to an unknown path."""
    exchange.respond(Answer(404, []))


async def stand_still(exchange):
    """Answer nothing."""
    await asyncio.sleep(10)


class PeerLivenessTest(TestCase):
    timeout = 10

    async def ask(self, handler):
        """Return whether a process with this handler counts as running."""
        server = HttpServer(handler, ServerLimits())
        port = server.listen(HOST, 0)
        try:
            return await is_answering(Address(HOST, port), LIMIT_S)
        finally:
            await server.stop_listening()
            server.abort()

    @asyncio_test
    async def test_process_that_answers_runs(self):
        self.assertTrue(await self.ask(answer_alive))

    @asyncio_test
    async def test_process_of_an_earlier_version_runs(self):
        """Guards against a release in which all sources seem to stand still."""
        self.assertTrue(await self.ask(answer_as_earlier_version))

    @asyncio_test
    async def test_process_that_takes_connections_and_answers_nothing_stands_still(self):
        begun_s = read_clock()
        self.assertFalse(await self.ask(stand_still))
        self.assertLess(read_clock() - begun_s, 3 * LIMIT_S)

    @asyncio_test
    async def test_process_that_has_ended_does_not_run(self):
        server = HttpServer(answer_alive, ServerLimits())
        port = server.listen(HOST, 0)
        await asyncio.sleep(0)
        await server.stop_listening()
        self.assertFalse(await is_answering(Address(HOST, port), LIMIT_S))
