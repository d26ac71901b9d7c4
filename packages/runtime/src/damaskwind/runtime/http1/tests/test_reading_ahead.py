"""Tests of callers that send further requests before the answer to the first has ended."""

import asyncio

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.limits import READ_AHEAD_BYTES
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.tests.test_unanswered import HEAD, WAIT_S, ServerTestCase

# A caller's work ends this soon after it has left.
LEAVE_LIMIT_S = 0.5
REQUESTS = 3000


class ReadingAheadTest(ServerTestCase):
    async def start(self):
        self.release = asyncio.Event()
        self.canceled = 0
        await super().start()

    async def held(self, exchange):
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.canceled += 1
            raise
        exchange.respond(Answer(200, [], b"ok"))

    @asyncio_test
    async def test_requests_ahead_are_kept_without_a_bound(self):
        reader, writer = await self.open(HEAD % b"/held" + HEAD % b"/whole" * REQUESTS)
        await self.until(lambda: self.tasks)
        await asyncio.sleep(0.1)
        (connection,) = self.server.connections
        self.assertLessEqual(connection._parser.unparsed_bytes, READ_AHEAD_BYTES)
        self.assertGreater(connection._parser.unparsed_bytes, 0)

    @asyncio_test
    async def test_requests_ahead_are_lost_where_reading_was_stopped(self):
        reader, writer = await self.open(HEAD % b"/held" + HEAD % b"/whole" * REQUESTS)
        await self.until(lambda: self.tasks)
        self.release.set()
        for _ in range(1 + REQUESTS):
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
            self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await reader.readexactly(length)

    @asyncio_test
    async def test_caller_that_left_behind_requests_ahead_is_not_noticed(self):
        reader, writer = await self.open(HEAD % b"/held" + b"GET /" + b"x" * (2 * READ_AHEAD_BYTES))
        await self.until(lambda: self.tasks)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(LEAVE_LIMIT_S)
        self.assertEqual(self.canceled, 1)
