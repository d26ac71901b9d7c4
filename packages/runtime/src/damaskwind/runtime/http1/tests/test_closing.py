"""Tests of connections that the server closes, of its own accord or in a drain."""

import asyncio
import socket
import time
from unittest.mock import patch

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1 import limits
from damaskwind.runtime.http1.limits import GRACE_S
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.tests.test_unanswered import HEAD, WAIT_S, ServerTestCase
from damaskwind.runtime.http1.unanswered import UnansweredReason

# More than a caller with a small buffer takes at once, less than the kernel holds for it.
MEDIUM_BYTES = 300_000


class ClosingTest(ServerTestCase):
    async def large(self, exchange):
        exchange.respond(Answer(200, [], b"x" * 4_000_000))

    async def released(self, exchange):
        await self.release.wait()
        exchange.respond(Answer(200, [], b"ok"))

    async def start(self):
        self.release = asyncio.Event()
        await super().start()

    async def drain(self):
        self.server.close_after_answers()
        await self.server.stop_listening()
        self.server.close_idle()

    @asyncio_test
    async def test_drain_waits_for_a_request_that_is_half_read(self):
        """Guards against a drain that ends while the head or the body of a request is read."""
        parts = (
            (b"GET /whole HTTP/1.1\r\nho", b"st: h\r\n\r\n"),
            (b"POST /whole HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nx", b"y"),
        )
        opened = []
        for first, second in parts:
            opened.append((*await self.open(first), second))
        await asyncio.sleep(0.05)
        await self.drain()
        self.assertFalse(await self.server.wait_until_idle(0.05))
        for reader, writer, second in opened:
            writer.write(second)
            self.assertIn(b" 200 ", await self.read_all(reader))
        self.assertTrue(await self.server.wait_until_idle(1.0))

    @asyncio_test
    async def test_drain_waits_until_an_answer_is_taken(self):
        """Guards against the end of an answer that is lost as the process exits."""
        reader, writer = await self.open()
        writer.transport.pause_reading()
        writer.write(HEAD % b"/large")
        await self.until(lambda: self.tasks)
        await self.drain()
        self.assertFalse(await self.server.wait_until_idle(0.1))
        writer.transport.resume_reading()
        received = await self.read_all(reader)
        self.assertTrue(received.endswith(b"x"))
        self.assertGreater(len(received), 4_000_000)
        self.assertTrue(await self.server.wait_until_idle(1.0))

    @asyncio_test
    async def test_pipelined_request_is_answered_in_a_drain(self):
        """Guards against a request that was read with another one and is dropped in a drain."""
        reader, writer = await self.open(HEAD % b"/released" + HEAD % b"/whole")
        await self.until(lambda: self.tasks)
        await self.drain()
        self.release.set()
        received = await self.read_all(reader)
        self.assertEqual(received.count(b" 200 "), 2)
        self.assertEqual(received.lower().count(b"connection: close"), 1)

    @asyncio_test
    async def test_part_of_a_pipelined_request_is_not_idle(self):
        """Guards against the start of a request that was read with another one and is dropped."""
        first, second = HEAD[:-10] % b"/whole", (HEAD % b"/whole")[-10:]
        reader, writer = await self.open(HEAD % b"/released" + first)
        await self.until(lambda: self.tasks)
        self.release.set()
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\nok"), WAIT_S)
        await self.drain()
        writer.write(second)
        self.assertIn(b" 200 ", await self.read_all(reader))

    def send_late(self):
        """Send a body after its refusal was written, in pieces; return what comes."""
        head = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 900000\r\n\r\n"
        with socket.create_connection(("127.0.0.1", self.port), WAIT_S) as caller:
            caller.sendall(head + b"x" * 200)
            for _ in range(10):
                time.sleep(0.01)
                caller.sendall(b"x" * 1000)
            return caller.recv(65536)

    @asyncio_test
    async def test_refusal_reaches_a_caller_that_is_still_sending(self):
        """Guards against a reset that overtakes a refusal, as the caller still sends its body."""
        received = await asyncio.to_thread(self.send_late)
        self.assertIn(b" 413 ", received)

    @asyncio_test
    async def test_drain_fails_by_a_caller_that_left_while_it_was_not_read(self):
        head = b"POST /whole HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\nx"
        _, writer = await self.open(head)
        await self.until(lambda: self.server.connections)
        await asyncio.sleep(0.05)
        (connection,) = self.server.connections
        connection._transport.pause_reading()
        writer.close()
        await asyncio.sleep(0.05)
        await self.server.end_requests(1.0)
        await self.until(lambda: not self.server.connections)

    async def medium(self, exchange):
        exchange.respond(Answer(200, [], b"x" * MEDIUM_BYTES), close=True)

    def send_behind(self):
        """Send bytes behind a request as its last answer is on the way; return what comes."""
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(WAIT_S)
            caller.connect(("127.0.0.1", self.port))
            caller.sendall(HEAD % b"/medium")
            time.sleep(0.3)
            caller.sendall(HEAD % b"/whole")
            received = b""
            while data := caller.recv(65536):
                received += data
            return received

    @asyncio_test
    async def test_last_answer_reaches_a_caller_that_sends_more(self):
        """Guards against a reset that drops the rest of the last answer on a connection."""
        received = await asyncio.to_thread(self.send_behind)
        self.assertEqual(received.count(b"x"), MEDIUM_BYTES)

    @asyncio_test
    async def test_requests_in_hand_at_the_end_of_a_drain_are_answered_or_told(self):
        """Guards against requests that the end of a drain drops without an answer or a line."""
        held, _ = await self.open(HEAD % b"/held")
        half, _ = await self.open((HEAD % b"/held")[:-2])
        begun, _ = await self.open(HEAD % b"/begun")
        await self.until(lambda: len(self.tasks) == 2)
        await self.drain()
        self.assertFalse(await self.server.wait_until_idle(0.05))
        await self.server.end_requests(0.5)
        self.assertIn(b" 500 ", await self.read_all(held))
        self.assertIn(b" 503 ", await self.read_all(half))
        self.assertNotIn(b"0\r\n\r\n", await self.read_all(begun))
        self.assertEqual(self.reasons(), [UnansweredReason.SERVER_STOPPED])
        self.assertFalse(self.server.is_busy)

    async def narrowed(self, exchange):
        exchange.begin(200, [(b"content-length", b"2")])
        self.server.limits = self.limits._replace(idle_timeout_s=0.2)
        exchange.write(b"ok")
        exchange.finish()

    @asyncio_test
    async def test_connection_stays_open_for_the_time_that_its_answer_stated(self):
        """Guards against a request that crosses a close before the time stated in Keep-Alive."""
        reader, writer = await self.open(HEAD % b"/narrowed")
        answer = await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S)
        self.assertIn(b"timeout=2", answer)
        await asyncio.sleep(0.5)
        writer.write(HEAD % b"/whole")
        self.assertIn(b" 200 ", await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S))

    @asyncio_test
    async def test_head_within_a_raised_limit_is_read_on_connections_opened_before(self):
        """Guards against 431 on a kept connection for a head that the limit in force allows."""
        kept, unused = await self.open(HEAD % b"/whole"), await self.open()
        await asyncio.wait_for(kept[0].readuntil(b"ok"), WAIT_S)
        self.server.limits = self.limits._replace(header_bytes=8192)
        head = (HEAD % b"/whole")[:-2] + b"x-long: " + b"y" * 4096
        for reader, writer in (kept, unused):
            writer.write(head)
            await asyncio.sleep(0.05)
            writer.write(b"\r\n\r\n")
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
            self.assertIn(b" 200 ", answer)

    @asyncio_test
    async def test_limits_that_are_lowered_apply_to_requests_sent_after_them(self):
        """Guards against 413 and 431 for requests that the limits allowed when they were sent."""
        head = b"POST /whole HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n"
        parts = (
            (head + b"\r\n" + b"x" * 50, b"x" * 40),
            (head + b"x: " + b"y" * 500, b"\r\n\r\n" + b"x" * 90),
        )
        begun = [(await self.open(first), rest) for first, rest in parts]
        kept = [connection for connection, _ in begun]
        await asyncio.sleep(0.05)
        self.server.limits = self.limits._replace(header_bytes=256, body_bytes=60)
        for (reader, writer), rest in begun:
            writer.write(rest)
            answer = await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S)
            self.assertIn(b" 200 ", answer)
        await asyncio.sleep(GRACE_S + 0.1)
        for (_, writer), (first, rest) in zip(kept, parts, strict=True):
            writer.write(first + rest)
        self.assertIn(b" 413 ", await self.read_all(kept[0][0]))
        self.assertIn(b" 431 ", await self.read_all(kept[1][0]))
        self.assertEqual(self.unanswered, [])

    @asyncio_test
    async def test_limits_that_are_lowered_behind_a_long_answer_spare_what_was_sent_before(self):
        """Guards against 431 for a request that had to wait for the answer to the one before."""
        long_head = (HEAD % b"/whole")[:-2] + b"x: " + b"y" * 500 + b"\r\n\r\n"
        with patch.object(limits, "GRACE_S", 0.01):
            reader, writer = await self.open(HEAD % b"/released")
            await self.until(lambda: self.tasks)
            writer.write(long_head + long_head)
            await asyncio.sleep(0.05)
            self.server.limits = self.limits._replace(header_bytes=256)
            await asyncio.sleep(0.05)
            self.release.set()
            for _ in range(3):
                answer = await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S)
                self.assertIn(b" 200 ", answer)

    @asyncio_test
    async def test_limits_replaced_before_a_request_do_not_apply_after_an_empty_line(self):
        """Guards against a request that counts as sent when an empty line came, long before."""
        reader, writer = await self.open(HEAD % b"/released")
        await self.until(lambda: self.tasks)
        writer.write(b"\r\n")
        await asyncio.sleep(0.05)
        self.release.set()
        await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S)
        self.server.limits = self.limits._replace(body_bytes=60)
        await asyncio.sleep(GRACE_S + 0.1)
        writer.write(b"POST /whole HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n\r\n" + b"x" * 90)
        self.assertIn(b" 413 ", await self.read_all(reader))
