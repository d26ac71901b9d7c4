"""Tests of the HTTP client with raw answers: whole, truncated, duplicate and unrequested."""

import asyncio
import socket
import struct

from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.messages import Request

REQUEST = Request(b"POST", b"/x", [(b"host", b"h")], b"body")
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ClientTest(TestCase):
    timeout = 15

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.address = Address(*self.listener.getsockname())

    async def open(self):
        loop = asyncio.get_running_loop()
        accepting = asyncio.ensure_future(loop.sock_accept(self.listener))
        connection = await connect(self.address, 1.0)
        peer, _ = await accepting
        peer.setblocking(False)
        self.addCleanup(peer.close)
        self.addCleanup(connection.abort)
        return connection, peer

    async def take(self, peer):
        loop = asyncio.get_running_loop()
        data = b""
        while not data.endswith(b"body"):
            data += await loop.sock_recv(peer, 65536)
        return data

    async def answer(self, data, end=None):
        """Send a request, have the peer write these bytes, and return the connection."""
        connection, peer = await self.open()
        connection.send(REQUEST)
        await self.take(peer)
        peer.sendall(data)
        if end is not None:
            end(peer)
        return connection, peer

    @asyncio_test
    async def test_connection_is_reused_for_a_second_request(self):
        connection, peer = await self.answer(WHOLE)
        head = await connection.read_head()
        self.assertEqual((head.status, await connection.read_body(10)), (200, b"ok"))
        self.assertTrue(connection.release())
        calling = asyncio.ensure_future(fetch(connection, REQUEST, 10))
        await self.take(peer)
        peer.sendall(WHOLE)
        self.assertEqual((await calling).body, b"ok")

    @asyncio_test
    async def test_bytes_after_the_answer_prevent_reuse(self):
        connection, _ = await self.answer(WHOLE + b"HTTP/1.1 200 OK\r\n")
        await connection.read_head()
        await connection.read_body(10)
        self.assertFalse(connection.release())

    @asyncio_test
    async def test_bytes_on_an_idle_connection_prevent_reuse(self):
        connection, peer = await self.answer(WHOLE)
        await connection.read_head()
        await connection.read_body(10)
        self.assertTrue(connection.release())
        peer.sendall(WHOLE)
        await asyncio.sleep(0.05)
        self.assertFalse(connection.is_open)

    @asyncio_test
    async def test_next_answer_is_read_after_a_skipped_one(self):
        connection, _ = await self.answer(WHOLE + WHOLE.replace(b"ok", b"me"))
        await connection.read_head()
        await connection.read_body(10)
        connection.skip_answer()
        await connection.read_head()
        self.assertEqual(await connection.read_body(10), b"me")
        self.assertTrue(connection.release())

    @asyncio_test
    async def test_answer_that_ends_early_is_broken(self):
        for data in (b"", b"HTTP/1.1 200", WHOLE[:-1], b"nonsense\r\n\r\n"):
            connection, _ = await self.answer(data, lambda peer: peer.close())
            with self.assertRaises(AnswerBrokenError):
                await connection.read_head()
                await connection.read_body(10)

    @asyncio_test
    async def test_unframed_answer_is_whole_only_after_an_orderly_end(self):
        data = b"HTTP/1.1 200 OK\r\n\r\nall"
        connection, _ = await self.answer(data, lambda peer: peer.close())
        await connection.read_head()
        self.assertEqual(await connection.read_body(10), b"all")
        connection, peer = await self.answer(data)
        await connection.read_head()
        self.assertEqual(await connection.read_data(), b"all")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        with self.assertRaises(AnswerBrokenError):
            await connection.read_data()

    @asyncio_test
    async def test_refused_connection_raises_connect_failed(self):
        self.listener.close()
        with self.assertRaises(ConnectFailedError):
            await connect(self.address, 1.0)
