"""Tests of verdicts and of connection reuse, against raw sockets."""

import asyncio
import socket

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.trial.unittest import TestCase
from twisted.web.http_headers import Headers

from damaskwind.model.targets import Address
from damaskwind.model.verdict import Verdict
from damaskwind.router.answer_body import read_whole
from damaskwind.router.target_client import AttemptError, BytesProducer, TargetCall, TargetClient
from damaskwind.runtime.bridge import asyncio_test, to_future

WAIT_S = 5


def answer(body):
    """Return a complete HTTP answer."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


class TargetClientTest(TestCase):
    timeout = 15

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.address = Address(*self.listener.getsockname())
        self.client = TargetClient(reactor)
        self.addCleanup(lambda: ensureDeferred(self.client.close()))

    def send(self, method=b"POST", timeout_s=WAIT_S):
        call = TargetCall(method, self.address, b"/x", Headers(), BytesProducer(b"{}"))
        return to_future(ensureDeferred(self.client.send(call, timeout_s)))

    async def accept(self):
        loop = asyncio.get_running_loop()
        connection, _ = await asyncio.wait_for(loop.sock_accept(self.listener), WAIT_S)
        connection.setblocking(False)
        self.addCleanup(connection.close)
        return connection

    async def read_request(self, connection):
        loop = asyncio.get_running_loop()
        received = b""
        while not received.endswith(b"{}"):
            piece = await asyncio.wait_for(loop.sock_recv(connection, 65536), WAIT_S)
            self.assertTrue(piece, "the connection closed before the request")
            received += piece

    async def exchange(self, connection, sending, body):
        await self.read_request(connection)
        connection.sendall(answer(body))
        reading = read_whole(await sending, 1000, 5.0, reactor)
        return await to_future(ensureDeferred(reading))

    async def verdict_of(self, sending):
        with self.assertRaises(AttemptError) as caught:
            await sending
        return caught.exception.verdict

    @asyncio_test
    async def test_clean_connection_is_reused(self):
        sending = self.send()
        connection = await self.accept()
        self.assertEqual(await self.exchange(connection, sending, b"one"), b"one")
        self.assertEqual(await self.exchange(connection, self.send(), b"two"), b"two")

    @asyncio_test
    async def test_late_answer_is_not_taken_for_the_next_one(self):
        sending = self.send()
        connection = await self.accept()
        await self.exchange(connection, sending, b"one")
        # The event loop does not run between the late bytes and the next request.
        connection.sendall(answer(b"late"))
        sending = self.send()
        self.assertEqual(await self.exchange(await self.accept(), sending, b"two"), b"two")

    @asyncio_test
    async def test_connection_closed_while_idle_is_not_used(self):
        sending = self.send()
        connection = await self.accept()
        await self.exchange(connection, sending, b"one")
        connection.close()
        sending = self.send()
        self.assertEqual(await self.exchange(await self.accept(), sending, b"two"), b"two")

    @asyncio_test
    async def test_refused_connection_is_not_run(self):
        self.listener.close()
        self.assertEqual(await self.verdict_of(self.send()), Verdict.NOT_RUN)

    @asyncio_test
    async def test_reset_after_write_may_have_run_and_is_not_resent(self):
        sending = self.send(b"GET")
        connection = await self.accept()
        await self.read_request(connection)
        connection.close()
        self.assertEqual(await self.verdict_of(sending), Verdict.MAY_HAVE_RUN)
        with self.assertRaises(BlockingIOError):
            self.listener.accept()

    @asyncio_test
    async def test_reset_on_a_reused_connection_is_not_resent(self):
        sending = self.send(b"GET")
        connection = await self.accept()
        await self.exchange(connection, sending, b"one")
        sending = self.send(b"GET")
        await self.read_request(connection)
        connection.close()
        self.assertEqual(await self.verdict_of(sending), Verdict.MAY_HAVE_RUN)
        with self.assertRaises(BlockingIOError):
            self.listener.accept()

    @asyncio_test
    async def test_silence_after_write_may_have_run(self):
        sending = self.send(timeout_s=0.1)
        await self.read_request(await self.accept())
        self.assertEqual(await self.verdict_of(sending), Verdict.MAY_HAVE_RUN)
