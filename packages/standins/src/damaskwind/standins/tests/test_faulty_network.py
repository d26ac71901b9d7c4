"""Tests of the links of the faulty network, over loopback."""

import random
from typing import Any

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol
from twisted.internet.task import Clock
from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test, to_deferred, to_future
from damaskwind.standins.faulty_network import FaultyNetwork
from damaskwind.standins.harness import wait_until
from damaskwind.standins.impairment import Impairment, LinkImpairment, Shaper

_BLACKHOLE = Impairment(blackhole=True)


class _Echo(Protocol):
    """Send back all received data."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.transport.write(data)


class _Collect(Protocol):
    """Record received data, and whether the connection was lost."""

    def __init__(self) -> None:
        self.received = b""
        self.lost = False
        self.is_reset = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.lost = True
        self.is_reset = reason.check(ConnectionDone) is None


class _Datagrams(DatagramProtocol):
    """Record datagrams, and send them back if `echo` is set."""

    def __init__(self, echo: bool) -> None:
        self.echo = echo
        self.received: list[bytes] = []

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        self.received.append(datagram)
        if self.echo:
            self.transport.write(datagram, addr)


class TcpLinkTest(TestCase):
    """An echo server behind a TCP link."""

    async def _open(self) -> _Collect:
        factory = Factory.forProtocol(_Echo)
        self.factory = factory
        server = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(server.stopListening)
        network = FaultyNetwork(reactor, seed=1)
        self.addCleanup(lambda: to_deferred(network.stop()))
        self.link = network.add_link("echo", "tcp", Address("127.0.0.1", server.getHost().port))
        return await self._connect()

    async def _connect(self) -> _Collect:
        endpoint = TCP4ClientEndpoint(reactor, *self.link.address)
        client = _Collect()
        await to_future(connectProtocol(endpoint, client))
        self.addCleanup(client.transport.abortConnection)
        return client

    @asyncio_test
    async def test_forwards_all_data_in_order_through_delay_and_throttle(self) -> None:
        client = await self._open()
        slow = Impairment(delay_s=0.01, jitter_s=0.01, bytes_per_s=2_000_000)
        self.link.impair(LinkImpairment(slow, slow))
        sent = random.Random(1).randbytes(400_000)
        client.transport.write(sent)
        await wait_until(lambda: len(client.received) >= len(sent), 10)
        self.assertEqual(client.received, sent)

    @asyncio_test
    async def test_blackhole_in_one_direction_is_silent_and_heals(self) -> None:
        client = await self._open()
        self.link.impair(LinkImpairment(to_caller=_BLACKHOLE))
        client.transport.write(b"hello")
        connection = self.link.connections[0]
        await wait_until(lambda: connection.to_caller.has_queued_data, 10)
        self.assertEqual((client.received, client.lost), (b"", False))
        self.link.impair(LinkImpairment())
        await wait_until(lambda: client.received == b"hello", 10)

    @asyncio_test
    async def test_connects_to_target_only_after_the_blackhole(self) -> None:
        await self._open()
        self.link.impair(LinkImpairment(to_target=_BLACKHOLE))
        client = await self._connect()
        client.transport.write(b"late")
        self.assertFalse(client.lost)
        self.link.impair(LinkImpairment())
        await wait_until(lambda: client.received == b"late", 10)

    @asyncio_test
    async def test_cut_is_seen_and_half_open_is_not(self) -> None:
        first = await self._open()
        second = await self._connect()
        for client in (first, second):
            client.transport.write(b"x")
        await wait_until(lambda: first.received and second.received, 10)
        self.link.half_open()
        first.transport.write(b"y")
        self.assertFalse(first.lost)
        self.link.cut()
        await wait_until(lambda: first.lost and second.lost, 10)
        self.link.accepting = False
        third = await self._connect()
        await wait_until(lambda: third.lost, 10)

    @asyncio_test
    async def test_lost_piece_holds_back_what_is_behind_it_on_its_connection_alone(self) -> None:
        """Guards against a link that delays all connections, or delivers past what was lost."""
        first = await self._open()
        second = await self._connect()
        self.link.impair(LinkImpairment(Impairment(lost_share=1.0, resent_after_s=0.3)))
        first.transport.write(b"lost")
        connection = self.link.connections[0]
        await wait_until(lambda: connection.to_target.has_queued_data, 10)
        self.link.impair(LinkImpairment())
        first.transport.write(b" behind")
        second.transport.write(b"other")
        await wait_until(lambda: second.received == b"other", 10)
        self.assertEqual(first.received, b"")
        await wait_until(lambda: first.received == b"lost behind", 10)

    @asyncio_test
    async def test_connection_that_fell_silent_says_nothing_of_its_end(self) -> None:
        client = await self._open()
        self.link.impair(LinkImpairment(to_caller=Impairment(mute_share=1.0)))
        client.transport.write(b"x")
        connection = self.link.connections[0]
        await wait_until(lambda: connection.to_caller.has_queued_data, 10)
        self.link.impair(LinkImpairment())
        connection.target.transport.abortConnection()
        await wait_until(lambda: not connection.target.transport.connected, 10)
        self.assertEqual((client.received, client.lost), (b"", False))

    @asyncio_test
    async def test_reset_of_one_connection_is_no_orderly_end(self) -> None:
        """Guards against an answer without a length whose reset looks like its end."""
        first = await self._open()
        second = await self._connect()
        for client in (first, second):
            client.transport.write(b"x")
        await wait_until(lambda: first.received and second.received, 10)
        self.link.reset_connection(self.link.connections[0].target.transport.getHost().port)
        await wait_until(lambda: first.lost, 10)
        self.assertEqual((first.is_reset, second.lost), (True, False))


class UdpLinkTest(TestCase):
    """A datagram echo behind a UDP link."""

    @asyncio_test
    async def test_each_sender_has_its_own_impairment(self) -> None:
        echo, blocked, free = _Datagrams(True), _Datagrams(False), _Datagrams(False)
        ports = [
            reactor.listenUDP(0, each, interface="127.0.0.1") for each in (echo, blocked, free)
        ]
        for port in ports:
            self.addCleanup(port.stopListening)
        network = FaultyNetwork(reactor, seed=1)
        self.addCleanup(lambda: to_deferred(network.stop()))
        link = network.add_link("gossip", "udp", Address("127.0.0.1", ports[0].getHost().port))
        sender = Address("127.0.0.1", ports[1].getHost().port)
        link.impair(LinkImpairment(to_target=_BLACKHOLE), str(sender))
        for protocol in (blocked, free):
            protocol.transport.write(b"ping", tuple(link.address))
        await wait_until(lambda: free.received == [b"ping"], 10)
        await wait_until(lambda: link.lost_count == 1, 10)
        self.assertEqual(echo.received, [b"ping"])
        link.impair(LinkImpairment(), str(sender))
        blocked.transport.write(b"again", tuple(link.address))
        await wait_until(lambda: blocked.received == [b"again"], 10)


class ShaperTest(TestCase):
    """Send times and corruption, without I/O."""

    def test_reordered_datagrams_are_overtaken_and_streams_are_not(self) -> None:
        shaper = Shaper(random.Random(2))
        shaper.impairment = Impairment(delay_s=0.01, reorder_share=0.5)
        clock = Clock()
        due_s = []
        for _ in range(20):
            due_s.append(shaper.due_s(clock.seconds(), 10, in_order=False))
            clock.advance(0.001)
        self.assertNotEqual(due_s, sorted(due_s))
        shaper.impairment = Impairment(jitter_s=0.05)
        in_order = [shaper.due_s(1.0 + step / 1000, 10, in_order=True) for step in range(20)]
        self.assertEqual(in_order, sorted(in_order))

    def test_corruption_flips_one_bit(self) -> None:
        shaper = Shaper(random.Random(2))
        shaper.impairment = Impairment(corrupt_share=1.0)
        changed = shaper.corrupt(bytes(64))
        self.assertEqual(sum(byte.bit_count() for byte in changed), 1)

    def test_throttle_spaces_the_pieces(self) -> None:
        shaper = Shaper(random.Random(2))
        shaper.impairment = Impairment(bytes_per_s=800.0)
        self.assertEqual([shaper.due_s(0.0, 100, True) for _ in range(3)], [0.125, 0.25, 0.375])
