"""Tests of calls between the system's processes whose answer is cut."""

from twisted.trial.unittest import TestCase

from damaskwind.model.header_names import HeaderNames
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.http1.client import AnswerBrokenError, connect, fetch
from damaskwind.runtime.http1.messages import Request
from damaskwind.standins.cut_answers import CutEnd, cut_after, framed_answers, in_packets
from damaskwind.standins.scripted_target import ScriptedTarget, plain, raw

BODY = b"some words"
ANSWERS = framed_answers(b"x-packed: 1", BODY)
REQUEST = Request(b"POST", b"/news", [(b"host", b"control")], b"question")
LIMIT_BYTES = 4096


class CutAnswersTest(TestCase):
    timeout = 40

    async def start(self):
        self.process = ScriptedTarget(HeaderNames())
        self.address = await self.process.start()
        self.addCleanup(lambda: to_deferred(self.process.stop()))

    async def open(self):
        connection = await connect(self.address, 1.0)
        self.addCleanup(connection.abort)
        return connection

    async def ask(self, step, connection=None):
        """Return the body of an answer; raise `AnswerBrokenError` if it isn't whole."""
        self.process.script = [step]
        answer = await fetch(connection or await self.open(), REQUEST, LIMIT_BYTES)
        return answer.body

    async def assert_broken(self, step, connection=None):
        with self.assertRaises(AnswerBrokenError):
            await self.ask(step, connection)

    @asyncio_test
    async def test_answer_that_is_cut_at_any_byte_is_broken(self):
        await self.start()
        for answer in ANSWERS:
            self.assertEqual(await self.ask(in_packets(answer.data)), BODY, answer.name)
            for size in range(len(answer.data)):
                for end in CutEnd:
                    await self.assert_broken(cut_after(answer.data[:size], end))

    @asyncio_test
    async def test_answer_that_is_cut_on_a_kept_connection_is_broken(self):
        await self.start()
        data = ANSWERS[0].data
        for size in range(len(data)):
            connection = await self.open()
            self.assertEqual(await self.ask(plain(), connection), b"whole")
            await self.assert_broken(cut_after(data[:size], CutEnd.CLOSE), connection)

    @asyncio_test
    async def test_answer_without_a_frame_is_broken(self):
        """Guards against half a table or document that counts as all of it."""
        await self.start()
        for version in (b"1.1", b"1.0"):
            head = b"HTTP/" + version + b" 200 x\r\nx-packed: 1\r\n\r\n"
            for data in (head, head + BODY[:4], head + BODY):
                await self.assert_broken(raw(data, then_close=True))

    @asyncio_test
    async def test_answer_without_a_body_needs_no_frame(self):
        await self.start()
        self.assertEqual(await self.ask(raw(b"HTTP/1.1 204 x\r\n\r\n")), b"")
