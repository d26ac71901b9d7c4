"""Tests that each request without a complete answer is told, once, with its reason."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.http1.unanswered import UnansweredReason as Reason

WAIT_S = 5.0
HEAD = b"GET %s HTTP/1.1\r\nhost: h\r\nx-request-id: r1\r\n\r\n"


class ServerTestCase(TestCase):
    """A server whose handler is chosen by the path, and raw callers."""

    timeout = 20

    def setUp(self):
        return to_deferred(self.start())

    async def start(self):
        self.unanswered = []
        self.tasks = []
        self.limits = ServerLimits(1024, 100, 0.3, 2.0)
        self.server = HttpServer(self.handle, self.limits, on_unanswered=self.unanswered.append)
        self.port = self.server.listen("127.0.0.1", 0)
        self.addCleanup(lambda: to_deferred(self.finish()))

    async def finish(self):
        await self.server.stop_listening()
        self.server.abort()
        await asyncio.sleep(0.05)

    async def handle(self, exchange):
        self.tasks.append(asyncio.current_task())
        await getattr(self, exchange.request.target.decode().strip("/"))(exchange)

    async def whole(self, exchange):
        exchange.respond(Answer(200, [], b"ok"))

    async def held(self, exchange):
        await asyncio.Event().wait()

    async def begun(self, exchange):
        exchange.begin(200, [])
        exchange.write(b"first")
        await asyncio.Event().wait()

    async def open(self, data=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def until(self, condition):
        until_s = read_clock() + WAIT_S
        while not condition():
            self.assertLess(read_clock(), until_s)
            await asyncio.sleep(0.01)

    async def read_all(self, reader):
        """Return all that comes until the connection ends, by a reset or in an orderly way."""
        received = b""
        try:
            while data := await asyncio.wait_for(reader.read(65536), WAIT_S):
                received += data
        except ConnectionError:
            pass
        return received

    def reasons(self):
        return [item.reason for item in self.unanswered]


class UnansweredTest(ServerTestCase):
    async def cut(self, exchange):
        exchange.begin(200, [])
        exchange.abort("the target is gone")

    async def half(self, exchange):
        exchange.begin(200, [])

    async def fails_late(self, exchange):
        exchange.begin(200, [])
        raise ValueError("fails")

    @asyncio_test
    async def test_answered_requests_and_idle_connections_are_not_told(self):
        """Guards against a counter that also counts connections which carry no request."""
        reader, writer = await self.open(HEAD % b"/whole")
        await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S)
        writer.close()
        _, other = await self.open()
        other.close()
        await self.until(lambda: not self.server.connections)
        self.assertEqual(self.unanswered, [])

    @asyncio_test
    async def test_caller_that_closes_and_one_that_resets(self):
        """Guards against a caller's leaving that is taken for a fault of the router."""
        _, writer = await self.open(HEAD % b"/held")
        await self.until(lambda: self.tasks)
        writer.close()
        await self.until(lambda: self.unanswered)
        (told,) = self.unanswered
        self.assertEqual(told.reason, Reason.CALLER_CLOSED)
        self.assertIn((b"x-request-id", b"r1"), told.headers)
        self.assertTrue(told.is_whole)
        self.assertEqual(told.answer_bytes, 0)
        _, writer = await self.open(HEAD % b"/begun")
        await self.until(lambda: len(self.tasks) == 2)
        # Unread bytes of the answer make the caller's kernel reset the connection.
        writer.transport.pause_reading()
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await self.until(lambda: len(self.unanswered) == 2)
        self.assertIn(self.unanswered[1].reason, (Reason.CALLER_RESET, Reason.CALLER_CLOSED))
        self.assertGreater(self.unanswered[1].answer_bytes, 0)

    @asyncio_test
    async def test_caller_that_leaves_inside_its_head_or_body(self):
        """Guards against requests that are lost while they are read, without a line."""
        _, writer = await self.open(b"GET /whole HTTP/1.1\r\nho")
        await asyncio.sleep(0.05)
        writer.close()
        await self.until(lambda: len(self.unanswered) == 1)
        _, writer = await self.open(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nx")
        await asyncio.sleep(0.05)
        writer.close()
        await self.until(lambda: len(self.unanswered) == 2)
        self.assertEqual(self.reasons(), [Reason.CALLER_CLOSED] * 2)
        self.assertEqual([item.is_whole for item in self.unanswered], [False, False])

    @asyncio_test
    async def test_handlers_that_cut_fail_or_forget_the_end_of_an_answer(self):
        """Guards against answers that end early and are not counted."""
        expected = {
            b"/cut": Reason.ANSWER_CUT,
            b"/half": Reason.NO_ANSWER,
            b"/fails_late": Reason.HANDLER_FAILED,
        }
        for path in expected:
            reader, _ = await self.open(HEAD % path)
            await self.read_all(reader)
        self.assertEqual(self.reasons(), list(expected.values()))
        self.assertEqual(self.unanswered[0].why, "the target is gone")
        self.flushLoggedErrors()

    @asyncio_test
    async def test_canceled_handler_is_told_with_the_place(self):
        """Guards against a cancellation that is taken for the caller's leaving."""
        reader, _ = await self.open(HEAD % b"/begun")
        await self.until(lambda: self.tasks)
        self.tasks[0].cancel("by the test")
        await self.read_all(reader)
        (told,) = self.unanswered
        self.assertEqual(told.reason, Reason.CANCELED)
        self.assertIn("by the test", told.why)
        self.assertIn("ServerTestCase.begun", told.why)

    @asyncio_test
    async def test_server_that_stops(self):
        """Guards against requests that are dropped at the end of a drain without a line."""
        await self.open(HEAD % b"/held")
        await self.until(lambda: self.tasks)
        self.server.abort()
        await self.until(lambda: not self.server.connections)
        await asyncio.sleep(0.05)
        self.assertEqual(self.reasons(), [Reason.SERVER_STOPPED])
