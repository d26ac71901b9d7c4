"""Tests of the HTTP server with raw requests."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits

WAIT_S = 5
# More than the system buffers for a connection on loopback.
LARGE_BYTES = 64 * 1024 * 1024


class ServerTest(TestCase):
    timeout = 20

    def setUp(self):
        return to_deferred(self.start())

    async def start(self):
        self.requests = []
        self.deliveries = []
        self.cancelled = 0
        self.hold = asyncio.Event()
        self.limits = ServerLimits(1024, 100, 0.3, 0.4)
        self.server = HttpServer(self.handle, self.limits)
        self.port = self.server.listen("127.0.0.1", 0)
        self.addCleanup(lambda: to_deferred(self.finish()))

    async def finish(self):
        await self.server.stop_listening()
        self.server.abort()
        await asyncio.sleep(0.05)

    async def handle(self, exchange):
        self.requests.append(exchange.request)
        if exchange.request.target == b"/hold":
            try:
                await self.hold.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if exchange.request.target == b"/large":
            answer = Answer(200, [], b"x" * LARGE_BYTES)
            await exchange.deliver(answer, self.deliveries.append)
            return
        if exchange.request.target == b"/fail":
            raise ValueError("handler fails")
        exchange.respond(Answer(200, [], exchange.request.body or b"ok"))

    async def open(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read(self, reader, marker):
        return await asyncio.wait_for(reader.readuntil(marker), WAIT_S)

    @asyncio_test
    async def test_kept_connection_carries_two_requests(self):
        reader, writer = await self.open()
        for _ in range(2):
            writer.write(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
            head = await self.read(reader, b"\r\n\r\nok")
            self.assertIn(b"200", head)
        self.assertEqual(len(self.requests), 2)

    @asyncio_test
    async def test_large_answer_is_reported_as_whole_and_the_connection_is_kept(self):
        reader, writer = await self.open()
        writer.write(b"GET /large HTTP/1.1\r\nhost: h\r\n\r\n")
        head = await self.read(reader, b"\r\n\r\n")
        self.assertIn(b"content-length: %d" % LARGE_BYTES, head)
        await asyncio.wait_for(reader.readexactly(LARGE_BYTES), WAIT_S)
        writer.write(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
        await self.read(reader, b"\r\n\r\nok")
        (delivery,) = self.deliveries
        self.assertTrue(delivery.is_complete)
        self.assertEqual(delivery.taken_bytes, LARGE_BYTES)
        self.assertLessEqual(delivery.first_byte_s, delivery.last_byte_s)

    @asyncio_test
    async def test_partial_delivery_is_reported_when_the_caller_leaves(self):
        reader, writer = await self.open()
        writer.write(b"GET /large HTTP/1.1\r\nhost: h\r\n\r\n")
        await self.read(reader, b"\r\n\r\n")
        writer.transport.abort()
        until_s = read_clock() + WAIT_S
        while not self.deliveries and read_clock() < until_s:
            await asyncio.sleep(0.02)
        (delivery,) = self.deliveries
        self.assertFalse(delivery.is_complete)
        self.assertLess(delivery.taken_bytes, LARGE_BYTES)

    @asyncio_test
    async def test_pipelined_requests_are_answered_in_order(self):
        reader, writer = await self.open()
        writer.write(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n")
        await self.read(reader, b"\r\n\r\nok")
        await self.read(reader, b"\r\n\r\nok")
        self.assertEqual([request.target for request in self.requests], [b"/a", b"/b"])

    @asyncio_test
    async def test_chunked_body_is_not_parsed_as_a_second_request(self):
        reader, writer = await self.open()
        inner = b"GET /x HTTP/1.1\r\n\r\n"
        writer.write(b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(inner), inner))
        await self.read(reader, inner)
        self.assertEqual([request.body for request in self.requests], [inner])

    @asyncio_test
    async def test_length_and_chunks_together_are_one_request(self):
        reader, writer = await self.open()
        writer.write(
            b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        )
        await self.read(reader, b"ab")
        self.assertEqual([request.body for request in self.requests], [b"ab"])

    @asyncio_test
    async def test_malformed_request_is_refused_and_the_connection_closed(self):
        reader, writer = await self.open()
        writer.write(b"no request at all\r\n\r\n")
        data = await asyncio.wait_for(reader.read(), WAIT_S)
        self.assertIn(b" 400 ", data)
        self.assertEqual(self.requests, [])

    @asyncio_test
    async def test_headers_beyond_the_limit_are_refused(self):
        reader, writer = await self.open()
        writer.write(b"GET /a HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 2000 + b"\r\n\r\n")
        data = await asyncio.wait_for(reader.read(), WAIT_S)
        self.assertIn(b" 431 ", data)

    @asyncio_test
    async def test_body_beyond_the_limit_is_refused(self):
        reader, writer = await self.open()
        writer.write(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 200\r\n\r\n" + b"y" * 200)
        head = await self.read(reader, b"\r\n\r\n")
        self.assertIn(b" 413 ", head)
        self.assertEqual(self.requests, [])

    @asyncio_test
    async def test_slow_head_gets_408_and_idle_connection_is_closed(self):
        reader, writer = await self.open()
        writer.write(b"GET /a HTTP/1.1\r\nho")
        data = await asyncio.wait_for(reader.read(), WAIT_S)
        self.assertIn(b" 408 ", data)
        reader, writer = await self.open()
        started_s = read_clock()
        self.assertEqual(await asyncio.wait_for(reader.read(), WAIT_S), b"")
        self.assertGreater(read_clock() - started_s, 0.3)

    @asyncio_test
    async def test_caller_that_leaves_cancels_the_handler(self):
        reader, writer = await self.open()
        writer.write(b"GET /hold HTTP/1.1\r\nhost: h\r\n\r\n")
        while not self.requests:
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(100):
            if self.cancelled:
                break
            await asyncio.sleep(0.01)
        self.assertEqual(self.cancelled, 1)

    @asyncio_test
    async def test_failing_handler_gives_500(self):
        reader, writer = await self.open()
        writer.write(b"GET /fail HTTP/1.1\r\nhost: h\r\n\r\n")
        data = await asyncio.wait_for(reader.read(), WAIT_S)
        self.assertIn(b" 500 ", data)
        self.flushLoggedErrors()

    @asyncio_test
    async def test_drain_finishes_requests_in_progress_and_closes_idle_connections(self):
        idle_reader, _ = await self.open()
        reader, writer = await self.open()
        writer.write(b"GET /hold HTTP/1.1\r\nhost: h\r\n\r\n")
        while not self.requests:
            await asyncio.sleep(0.01)
        self.server.close_after_answers()
        await self.server.stop_listening()
        self.server.close_idle()
        self.assertEqual(await asyncio.wait_for(idle_reader.read(), WAIT_S), b"")
        self.assertFalse(await self.server.wait_until_idle(0.05))
        self.hold.set()
        data = await asyncio.wait_for(reader.read(), WAIT_S)
        self.assertIn(b"connection: close", data.lower())
        self.assertTrue(data.endswith(b"ok"))
        self.assertTrue(await self.server.wait_until_idle(1.0))
