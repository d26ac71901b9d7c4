"""Tests of the sending to a replica whose former machine went dark while it got a snapshot.

They guard against a replica that is back elsewhere and hears no leader for as long as the
snapshot to its former life may take.
"""

import asyncio
import socket
from random import Random

from grpclib.server import Server
from twisted.trial.unittest import TestCase

from damaskwind.control.replica.tests.lost_disks import CATCH_UP_S
from damaskwind.control.replica.tests.test_transport import A, B, SlowPeer, heartbeat
from damaskwind.control.replica.transport import Transport
from damaskwind.decisions.replication.messages import (
    Envelope,
    Member,
    Snapshot,
    SnapshotRequest,
)
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner

HEARTBEAT_S = 0.25
SNAPSHOT_BYTES = 8 * 1024 * 1024
LATER_B = Member("b", "2")


def listen():
    """Return a listening socket and its address; nobody takes its connections."""
    listening = socket.create_server(("127.0.0.1", 0))
    return listening, Address("127.0.0.1", listening.getsockname()[1])


class DarkPeerTest(TestCase):
    timeout = 30

    async def time_until_heard_s(self, snapshot_bytes):
        """Return when a replica that is back elsewhere hears the first heartbeat."""
        dark, dark_address = listen()
        listening, address = listen()
        addresses = {"b": dark_address}
        peer = SlowPeer()
        server = Server([peer])
        await server.start(sock=listening)
        transport = Transport(CallSigner("kl", "key", "a"), addresses.get, Random(1))
        transport.own_address = "127.0.0.1:1"
        try:
            message = SnapshotRequest(3, 1, Snapshot(), bytes(snapshot_bytes))
            transport.send(Envelope(A, B, message))
            for number in range(3):
                await asyncio.sleep(HEARTBEAT_S)
                transport.send(Envelope(A, B, heartbeat(number + 1)))
            addresses["b"] = address
            started_s = read_clock()
            while not peer.received and read_clock() - started_s < 3 * CATCH_UP_S:
                transport.send(Envelope(A, LATER_B, heartbeat(9)))
                await asyncio.sleep(HEARTBEAT_S)
            return read_clock() - started_s
        finally:
            await transport.close()
            server.close()
            await server.wait_closed()
            dark.close()

    @asyncio_test
    async def test_replica_that_is_back_elsewhere_waits_for_no_small_snapshot(self):
        self.assertLess(await self.time_until_heard_s(1024), CATCH_UP_S)

    @asyncio_test
    async def test_replica_that_is_back_elsewhere_waits_for_no_large_snapshot(self):
        self.assertLess(await self.time_until_heard_s(SNAPSHOT_BYTES), CATCH_UP_S)
