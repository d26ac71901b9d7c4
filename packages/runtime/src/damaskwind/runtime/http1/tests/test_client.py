"""Tests of the HTTP client with raw answers: whole, truncated, duplicate and unrequested."""

import asyncio
import socket
import struct

from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1 import client
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.messages import Request

REQUEST = Request(b"POST", b"/x", [(b"host", b"h")], b"body")
MIB = 2**20
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ClientTestCase(TestCase):
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


class ClientTest(ClientTestCase):
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


class EndlessAnswerTest(ClientTestCase):
    async def read_head(self, data):
        connection, _ = await self.answer(data)
        return await connection.read_head()

    @asyncio_test
    async def test_informational_answers_without_end_are_no_answer(self):
        """Guards against a target that keeps its router reading with 100 Continue."""
        for informational in (b"HTTP/1.1 100 X\r\n\r\n", b"HTTP/1.1 103 X\r\na: b\r\n\r\n"):
            head = await self.read_head(informational * client.MAX_INFORMATIONAL + WHOLE)
            self.assertEqual(head.status, 200)
            with self.assertRaisesRegex(AnswerBrokenError, "informational") as raised:
                await self.read_head(informational * (client.MAX_INFORMATIONAL + 1) + WHOLE)
            self.assertEqual(raised.exception.part, "series of informational answers")

    @asyncio_test
    async def test_lines_and_heads_without_end_are_too_long(self):
        """Guards against lines that are held without a bound."""
        filling = b"x" * 70_000
        fields = b"a: b\r\n" * 12_000
        chunked = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"
        for data in (b"HTTP/1.1 200 " + filling, b"HTTP/1.1 200 X\r\nx: " + filling):
            with self.assertRaisesRegex(AnswerBrokenError, "head or chunk size of over 65536"):
                await self.read_head(data)
        with self.assertRaisesRegex(AnswerBrokenError, "head or chunk size of over 65536"):
            await self.read_head(b"HTTP/1.1 200 X\r\n" + fields)
        connection, _ = await self.answer(chunked + b"0" * 70_000)
        await connection.read_head()
        with self.assertRaisesRegex(AnswerBrokenError, "head or chunk size of over 65536"):
            await connection.read_data()

    @asyncio_test
    async def test_body_of_small_chunks_is_held_in_large_pieces(self):
        """Guards against pieces of two bytes, each of which takes 35 bytes and a reference."""
        body = b"xy" * 50_000
        chunks = b"2\r\nxy\r\n" * 50_000
        head = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"
        connection, peer = await self.answer(head)
        sending = asyncio.get_running_loop().sock_sendall(peer, chunks + b"0\r\n\r\n")
        sending = asyncio.ensure_future(sending)
        await connection.read_head()
        pieces = await connection.read_pieces(len(body))
        await sending
        self.assertEqual(b"".join(pieces), body)
        self.assertLess(len(pieces), 10)

    @asyncio_test
    async def test_peer_is_left_unread_while_nothing_is_parsed(self):
        """Guards against a buffer that grows while the reader waits for its caller."""
        connection, peer = await self.answer(b"HTTP/1.1 200 OK\r\n\r\n")
        await connection.read_head()
        sent_bytes, before_bytes = 0, -1
        while sent_bytes != before_bytes:
            before_bytes = sent_bytes
            try:
                while sent_bytes < 64 * MIB:
                    sent_bytes += peer.send(bytes(65_536))
            except BlockingIOError:
                pass
            await asyncio.sleep(0.2)
        self.assertLess(sent_bytes, 64 * MIB)
        received_bytes = 0
        while received_bytes < sent_bytes:
            received_bytes += len(await connection.read_data())

    @asyncio_test
    async def test_connection_that_was_left_unread_is_reused(self):
        """Guards against a kept connection that nobody reads from."""
        connection, peer = await self.answer(b"")
        body = bytes(4 * MIB)
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        sending = asyncio.get_running_loop().sock_sendall(peer, answer)
        sending = asyncio.ensure_future(sending)
        await connection.read_head()
        await asyncio.sleep(0.2)
        self.assertEqual(await connection.read_body(len(body)), body)
        await sending
        self.assertTrue(connection.release())
        peer.close()
        await asyncio.sleep(0.1)
        self.assertFalse(connection.is_open)
