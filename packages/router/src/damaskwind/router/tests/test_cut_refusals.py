"""Tests of refusals by targets of chats and plain calls that are cut at each byte."""

from damaskwind.router.tests.test_cut_chats import CutChatsTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.scripted_target import raw


class CutRefusalsTest(CutChatsTestCase):
    """Answers by which an engine promises that it did not run a chat."""

    async def start(self):
        await super().start()
        self.frame = None
        self.status, self.body = b"503 x", b"refused"
        self.fields = (b"x-verdict: not-run", b"retry-after: 0", b"x-leaving: 0")

    def is_promise(self, found):
        return found[1] == "not-run"

    @asyncio_test
    async def test_refusal_of_a_chat_that_is_cut_is_no_promise(self):
        """Guards against a chat that is sent elsewhere on the strength of half an answer."""
        await self.start()
        self.check(await self.ask_cut(self.chat, self.is_promise, (0, 2)))

    @asyncio_test
    async def test_refusal_of_a_plain_call_that_is_cut_is_no_promise(self):
        await self.start()
        self.check(await self.ask_cut(self.migrate, self.is_promise, (0, 2)))

    @asyncio_test
    async def test_refusal_without_a_frame_is_a_promise(self):
        """Guards against a chat that is not sent elsewhere though its engine refused it."""
        await self.start()

        self.frame = b"connection: close"
        self.assertTrue(self.is_promise(await self.chat()))

    async def answer(self, writer, request):
        """Refuse without a frame if one is replaced, or else as the others do."""
        if request.method == b"DELETE" or self.frame is None:
            await super().answer(writer, request)
            return
        fields = (b"x-request-id: " + request.headers[b"x-request-id"], *self.fields, self.frame)
        head = b"\r\n".join((b"HTTP/1.1 503 x", *fields)) + b"\r\n\r\n"
        await raw(head + b"refused", then_close=True)(writer, request)
