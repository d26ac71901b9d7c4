"""Tests of which routers are chosen to send on, after an answer through one of them failed."""

import asyncio
from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.peer_links import ANSWER_TIMEOUT_S, FAILED_S, PeerLinks
from damaskwind.router.forwarding.target_paths import PeerPath
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.peers import Reach, encode_message

HOST = "127.0.0.1"
SETTLED_S = ANSWER_TIMEOUT_S + 0.2


class PeerLinksTest(TestCase):
    """One other router, which reaches the targets of a service, and may fall silent."""

    timeout = 20

    def setUp(self):
        return to_deferred(self.start())

    async def start(self):
        self.is_silent = False
        self.server = HttpServer(self.answer, ServerLimits())
        port = self.server.listen(HOST, 0)
        self.addCleanup(self.server.abort)
        self.peer = PeerEndpoint(HOST, "key", "domain")
        view = FleetView("router", (), 1, lambda body: None, Random(1))
        view.peers = (self.peer,)
        self.links = PeerLinks(view, port, "domain", {}, Random(1))
        self.addCleanup(lambda: to_deferred(self.links.close()))
        address = Address(HOST, 9)
        self.target = TargetRecord("t0", "pool", address, "domain", TargetPhase.SERVING, 1, 8)
        await self.links.poll(("pool",))

    async def answer(self, exchange):
        while self.is_silent:
            await asyncio.sleep(0.01)
        exchange.respond(Answer(200, [], encode_message(Reach(("pool",), (), (), 0))))

    def choose(self):
        return self.links.choose(self.target, None, set())

    def stall(self):
        """Record that no answer came in time through the router."""
        path = PeerPath(self.target, self.links)
        path._peer = self.peer
        path.record_stalled()

    @asyncio_test
    async def test_router_whose_target_is_silent_is_chosen_again(self):
        """Guards against refusing all requests since one target was silent for a second."""
        self.stall()
        self.assertEqual(self.choose(), self.peer)
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.choose(), self.peer)

    @asyncio_test
    async def test_router_that_is_silent_itself_is_avoided(self):
        """Guards against sending on through a router that stands still."""
        self.is_silent = True
        self.stall()
        await asyncio.sleep(SETTLED_S)
        self.assertIsNone(self.choose())
        self.is_silent = False

    @asyncio_test
    async def test_router_that_has_exited_is_avoided_at_once(self):
        """Guards against a router that is chosen until the end of the time for its answer."""
        await self.server.stop_listening()
        self.server.abort()
        self.stall()
        await asyncio.sleep(0.1)
        self.assertIsNone(self.choose())

    @asyncio_test
    async def test_router_whose_kernel_is_silent_is_avoided_for_a_while(self):
        """Guards against a dark router that is chosen until its requests end."""
        connection = await self.links.connections.acquire(HOST, self.links.address(self.peer), 1.0)
        self.assertEqual(self.choose(), self.peer)
        connection.on_unacknowledged()
        self.assertIsNone(self.choose())
        self.assertTrue(connection.is_open)
        self.links.connections.return_unused(HOST, connection)
        await asyncio.sleep(FAILED_S + 0.1)
        self.assertEqual(self.choose(), self.peer)
