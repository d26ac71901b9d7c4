"""Tests of what counts as a sign that a target has crashed."""

import asyncio
from random import Random

from damaskwind.decisions.fatal_requests.suspicion import Standing, SuspicionLevel
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.router.forwarding.crash_detector import BrokenSend
from damaskwind.router.forwarding.peer_links import PeerLinks
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.http1.client import ConnectFailedError
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.peers import Reach, encode_message

HOST = "127.0.0.1"


class SilentPathsTest(ForwarderTestCase):
    """A router whose own path to a target is silent, and one other router."""

    async def start(self):
        await super().start()
        self.is_peer_silent = False
        self.cause = TimeoutError()
        server = HttpServer(self.answer, ServerLimits())
        self.addCleanup(server.abort)
        self.view.peers = (PeerEndpoint(HOST, "key", "domain"),)
        links = PeerLinks(self.view, server.listen(HOST, 0), "domain", {}, Random(1))
        self.addCleanup(lambda: to_deferred(links.close()))
        self.forwarder.target_states.reach.attach(links)
        self.connections.connect = self.connect

    async def connect(self, address, timeout_s):
        raise ConnectFailedError("not connected") from self.cause

    async def answer(self, exchange):
        while self.is_peer_silent:
            await asyncio.sleep(0.01)
        exchange.respond(Answer(200, [], encode_message(Reach((), (), (), 0))))

    async def probe(self):
        """Let a send break; return whether its target counts as crashed."""
        target = self.view.targets.record_of("t0")
        broken = BrokenSend(b"x", SuspicionLevel(), b"id-1")
        return await self.forwarder.crash_detector.probe(target, broken)

    @asyncio_test
    async def test_target_that_another_router_does_not_reach_either_counts_as_crashed(self):
        self.assertTrue(await self.probe())
        self.assertEqual(self.view.suspicions.count(Standing.SUSPECTED), 1)

    @asyncio_test
    async def test_target_whose_port_refuses_counts_as_crashed_though_others_are_silent(self):
        """Guards against a fatal request that is never blamed, as other routers are busy."""
        self.is_peer_silent, self.cause = True, ConnectionRefusedError()
        self.assertTrue(await self.probe())

    @asyncio_test
    async def test_silence_of_target_and_other_router_is_no_crash(self):
        """Guards against a router that is cut off from all and blames its requests for it."""
        self.is_peer_silent = True
        self.assertFalse(await self.probe())
        self.assertEqual(self.view.suspicions.count(Standing.SUSPECTED), 0)


class FreshConnectionTest(ForwarderTestCase):
    """Two targets, of which each ends by the first request that it reads."""

    def end_by_request(self, target):
        async def step(writer, request):
            target.exit()
            writer.transport.abort()

        target.script = [step]

    @asyncio_test
    async def test_target_that_ends_at_once_under_a_request_on_a_new_connection_is_counted(self):
        """Guards against a fatal request that nobody blames, as it ends its targets too fast."""
        for target in self.targets:
            self.end_by_request(target)
        await self.call()
        self.assertEqual(self.view.suspicions.count(Standing.SUSPECTED), 1)
