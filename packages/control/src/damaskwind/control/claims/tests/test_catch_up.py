"""Tests of claim holders that are back without their records.

They guard against a holder that stays without a vote: because it waits for one that stands
still, though enough others answer, or because its clock stood back when its disk was new.
"""

import asyncio
import os
import socket

from grpclib.server import Server
from twisted.trial.unittest import TestCase

from damaskwind.control.claims.catch_up import catch_up
from damaskwind.control.claims.service import ClaimHolderService
from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
from damaskwind.decisions.claims.messages import (
    Ballot,
    ClaimValue,
    Order,
    Promise,
    Rejection,
    Write,
)
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner, CallVerifier

CLUSTER = f"test-{os.getpid()}"
KEY = "cluster-key"
VOTE_LIMIT_S = 3.0
PAUSE_S = 0.02


class CatchUpTest(TestCase):
    timeout = 20

    def listen(self):
        """Return a socket that accepts connections, by the system alone, and never answers."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        return listener

    async def serve(self, holder):
        """Serve a holder; return its address."""
        listener = socket.create_server(("127.0.0.1", 0))
        server = Server([ClaimHolderService(holder, CallVerifier(CLUSTER, KEY), read_clock)])
        await server.start(sock=listener)
        self.servers.append(server)
        return Address(*listener.getsockname())

    async def close(self):
        for server in self.servers:
            server.close()
            await server.wait_closed()

    def make(self, ids, holder_id, incarnation, is_first_start=False):
        policy = HolderPolicy()
        return ClaimHolder(holder_id, incarnation, ids, policy, read_clock(), is_first_start)

    async def read(self, holder, addresses):
        """Let a holder read the others; return after how long it votes."""
        started_s = read_clock()
        signer = CallSigner(CLUSTER, KEY, holder.holder_id)
        reading = catch_up(holder, addresses, signer, read_clock, PAUSE_S)
        await asyncio.wait_for(reading, VOTE_LIMIT_S)
        return read_clock() - started_s

    @asyncio_test
    async def test_holder_of_five_waits_for_none_that_stands_still(self):
        self.servers = []
        ids = ["h0", "h1", "h2", "h3", "h4"]
        addresses = {"h1": Address(*self.listen().getsockname())}
        try:
            for holder_id in ids[2:]:
                addresses[holder_id] = await self.serve(self.make(ids, holder_id, 1, True))
            returned = self.make(ids, "h0", 2)
            took_s = await self.read(returned, addresses)
        finally:
            await self.close()
        self.assertTrue(returned.is_voting(read_clock()))
        self.assertLess(took_s, VOTE_LIMIT_S)

    @asyncio_test
    async def test_holder_whose_clock_stood_back_takes_part_in_claims(self):
        self.servers = []
        ids = ["h0", "h1", "h2"]
        others = {holder_id: self.make(ids, holder_id, 1, True) for holder_id in ids[1:]}
        addresses = {}
        try:
            for holder_id, holder in others.items():
                addresses[holder_id] = await self.serve(holder)
            await self.read(self.make(ids, "h0", 1000), addresses)
            returned = self.make(ids, "h0", 500)
            await self.read(returned, addresses)
        finally:
            await self.close()
        ballot = Ballot(1, "request")
        voters = (returned, others["h1"])
        now_s = read_clock()
        promises = tuple(
            Promise(voter.holder_id, voter.order(Order("key", ballot), now_s).incarnation)
            for voter in voters
        )
        message = Write("key", ballot, ClaimValue("request", "digest"), promises)
        replies = [voter.write(message, now_s).rejection for voter in voters]
        self.assertEqual(replies, [Rejection.NONE, Rejection.NONE])
        stale = (Promise("h0", 1000), promises[1])
        self.assertEqual(
            others["h1"].write(message._replace(promises=stale), now_s).rejection,
            Rejection.STALE_INCARNATION,
        )
