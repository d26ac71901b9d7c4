"""Tests of chats whose engine sends an event without end."""

import asyncio
import json

from twisted.web.client import ResponseFailed

from damaskwind.router.tests.test_unframed_chats import UnframedChatsTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.endless_target import EndlessPart, send_endless
from damaskwind.standins.scripted_target import plain

MIB = 2**20
# What an engine may send of one event, in the first answer and in those that resume it: the bound
# of an event, and what lies in buffers, for each.
MAX_SENT_BYTES = 24 * MIB
PARTS = (EndlessPart.EVENT, EndlessPart.UNFRAMED_EVENT)
WHOLE = json.dumps({"choices": [{"message": {"content": "two"}}]}).encode()


class EndlessChatsTest(UnframedChatsTestCase):
    async def answer(self, writer, request):
        """Send an event without end in answer to a stream, and a whole answer to others."""
        if request.method == b"DELETE" or b'"stream"' not in request.body + request.target:
            body = b"" if request.method == b"DELETE" else WHOLE
            await plain(200, body)(writer, request)
            return
        await send_endless(self.part, on_sent=self.add)(writer, request)

    def add(self, size_bytes):
        self.sent_bytes += size_bytes
        if self.sent_bytes > MAX_SENT_BYTES:
            raise ConnectionAbortedError("too much was read")

    @asyncio_test
    async def test_engine_is_left_whose_event_has_no_end(self):
        """Guards against a router that keeps all of an event, and serves no other chat."""
        await self.start()
        for self.part in PARTS:
            self.sent_bytes = 0
            streaming = asyncio.ensure_future(self.ask(b"", stream=True))
            await asyncio.sleep(0.1)
            response, content = await self.ask(b"")
            self.assertEqual((response.code, content), (200, WHOLE))
            with self.assertRaises(ResponseFailed):
                await streaming
            self.assertLess(self.sent_bytes, MAX_SENT_BYTES, self.part)
