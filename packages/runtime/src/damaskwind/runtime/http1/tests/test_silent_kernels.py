"""Tests of the HTTP client while the kernel of its peer is silent, on real connections.

A listener that defers acceptance keeps a new connection half open until its first bytes arrive,
and drops these while its queue is full: nothing is acknowledged until the queue is emptied.
"""

import asyncio
import socket
from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    UNACKNOWLEDGED_MS,
    AnswerBrokenError,
    connect,
)
from damaskwind.runtime.http1.messages import Request

REQUEST = Request(b"POST", b"/x", [(b"host", b"h")], b"body")
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SILENT_S = 1.2
DEFERRED_S = 30
WAIT_S = 10.0
# Larger than the buffers of a connection on loopback.
LARGE_BYTES = 16 * 1024 * 1024


class SilentKernelTest(TestCase):
    timeout = 30

    def setUp(self):
        # The kernel keeps round-trip times by address, and a silence spoils them.
        random = Random()
        host = f"127.99.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFERRED_S)
        self.listener.bind((host, 0))
        self.listener.setblocking(False)
        self.address = Address(*self.listener.getsockname())

    async def open(self, is_silent=True):
        """Return a connection whose peer's kernel is silent from the first byte on."""
        self.listener.listen(0)
        connection = await connect(self.address, 1.0)
        self.addCleanup(connection.abort)
        if is_silent:
            first = socket.create_connection(self.address)
            self.addCleanup(first.close)
            first.sendall(b"first")
            await asyncio.sleep(0.05)
        return connection

    async def accept(self):
        """Accept the next connection of the queue, which makes room there."""
        peer, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.addCleanup(peer.close)
        return peer

    async def heal(self):
        """End the silence, and answer the request once it arrives."""
        await self.accept()
        peer = await self.accept()
        await asyncio.get_running_loop().sock_recv(peer, 65_536)
        peer.sendall(WHOLE)

    async def read(self, connection):
        """Return the body of the answer."""
        await connection.read_head()
        return await connection.read_body(10)

    @asyncio_test
    async def test_request_survives_the_silence_of_a_kernel(self):
        """Guards against a request that its own kernel ends while the target would answer."""
        connection = await self.open()
        connection.send(REQUEST, WAIT_S)
        reading = asyncio.ensure_future(self.read(connection))
        await asyncio.sleep(SILENT_S)
        await self.heal()
        self.assertEqual(await reading, b"ok")

    @asyncio_test
    async def test_request_ends_by_the_time_for_which_it_waits(self):
        """Guards against connections to a dead peer that live on after their request."""
        connection = await self.open()
        sent_s = read_clock()
        connection.send(REQUEST, 1.5)
        with self.assertRaises(AnswerBrokenError):
            await connection.read_head()
        self.assertGreater(read_clock() - sent_s, 1.5)
        self.assertLess(read_clock() - sent_s, 3.0)
        self.assertTrue(connection.is_timed_out)

    @asyncio_test
    async def test_dead_peer_is_found_early_without_a_time_to_wait(self):
        """Guards against calls between the system's processes that hang at a dead peer."""
        connection = await self.open()
        sent_s = read_clock()
        connection.send(REQUEST)
        with self.assertRaises(AnswerBrokenError):
            await connection.read_head()
        self.assertLess(read_clock() - sent_s, 2.0)

    @asyncio_test
    async def test_silent_kernel_is_reported_early_though_the_request_waits(self):
        """Guards against a dark target that is found only when its requests end."""
        connection = await self.open()
        reported = asyncio.Event()
        connection.on_unacknowledged = reported.set
        sent_s = read_clock()
        connection.send(REQUEST, WAIT_S)
        await reported.wait()
        self.assertLess(read_clock() - sent_s, UNACKNOWLEDGED_MS / 1000 + 0.3)
        self.assertTrue(connection.is_open)

    @asyncio_test
    async def test_silent_process_is_not_reported(self):
        """Guards against taking a process that stands still for a kernel that does."""
        connection = await self.open(is_silent=False)
        reported = asyncio.Event()
        connection.on_unacknowledged = reported.set
        connection.send(REQUEST, WAIT_S)
        await asyncio.sleep(UNACKNOWLEDGED_MS / 1000 + 0.4)
        self.assertFalse(reported.is_set())

    @asyncio_test
    async def test_body_survives_a_peer_that_does_not_read_for_a_while(self):
        """Guards against a body that its own kernel drops while the target stands still."""
        connection = await self.open(is_silent=False)
        connection.send(Request(b"POST", b"/x", REQUEST.headers, bytes(LARGE_BYTES)), WAIT_S)
        peer = await self.accept()
        await asyncio.sleep(SILENT_S)
        received_bytes = 0
        while received_bytes < LARGE_BYTES:
            data = await asyncio.get_running_loop().sock_recv(peer, 1 << 20)
            self.assertTrue(data, "the connection ended early")
            received_bytes += len(data)
        peer.sendall(WHOLE)
        self.assertEqual(await self.read(connection), b"ok")

    @asyncio_test
    async def test_idle_connection_has_the_short_limit_again(self):
        """Guards against idle connections over a cut link that are found late."""
        connection = await self.open(is_silent=False)
        connection.send(REQUEST, WAIT_S)
        peer = await self.accept()
        peer.sendall(WHOLE)
        await self.read(connection)
        handle = connection._transport.get_extra_info("socket")
        limits = [handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)]
        self.assertTrue(connection.release())
        limits.append(handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
        self.assertEqual(limits, [WAIT_S * 1000, UNACKNOWLEDGED_MS])
