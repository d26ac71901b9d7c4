"""Tests of chats whose engine's answer has neither a length nor chunks."""

import json

import treq
from twisted.trial.unittest import TestCase

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import (
    LoadReport,
    ModelOffer,
    TargetAnnouncement,
    TargetKind,
    TargetState,
)
from damaskwind.router.tests.bench import ACCOUNT_KEY, TestBench
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.standins.scripted_target import ScriptedTarget, plain, unframed

ANSWER = {"choices": [{"message": {"content": "two"}}], "usage": {"total_tokens": 3}}
BODY = json.dumps(ANSWER).encode()
TOKEN = b'data: {"choices": [{"delta": {"content": "two"}}]}\n\n'
DONE = b"data: [DONE]\n\n"


class UnframedChatsTestCase(TestCase):
    """A router of chats with one scripted engine."""

    timeout = 60

    async def start(self):
        self.bench = TestBench()
        self.addCleanup(lambda: self.bench.stopped())
        await self.bench.start(engines=0)
        self.engine = ScriptedTarget(HeaderNames(), default=self.answer)
        address = await self.engine.start()
        announcement = TargetAnnouncement(
            target_id="engine",
            incarnation=1,
            sequence=1,
            kind=TargetKind.ENGINE,
            service="damask-pool",
            failure_domain="local",
            address=address,
            state=TargetState.SERVING,
            lease_s=60.0,
            load=LoadReport(0, 100_000, 0, 0, 0.0),
            models=(ModelOffer("damask", "1"),),
        )
        self.bench.router.membership.announce(announcement, 0)
        await self.bench.until(lambda: self.bench.router.directory.find("engine"))

    async def answer(self, writer, request):
        """Answer a chat without a frame, and the cancel of one with an empty answer."""
        if request.method == b"DELETE":
            await plain(200, b"")(writer, request)
            return
        await unframed(self.body)(writer, request)

    async def ask(self, body, **fields):
        """Return the answer to a chat whose engine sends this body."""
        self.body = body
        response = await to_future(
            treq.post(
                f"{self.bench.url}/v1/chat/completions",
                headers={"authorization": f"Bearer {ACCOUNT_KEY}"},
                json={"model": "damask", "messages": [{"role": "user", "content": "x"}], **fields},
                persistent=False,
            )
        )
        return response, await to_future(response.content())


class UnframedChatsTest(UnframedChatsTestCase):
    @asyncio_test
    async def test_whole_answer_is_not_called_cut(self):
        """Guards against a chat that is refused as maybe run though its answer is here."""
        await self.start()
        for body in (BODY, BODY + b"\n"):
            response, content = await self.ask(body)
            self.assertEqual((response.code, content), (200, body))
            self.assertEqual(response.headers.getRawHeaders("x-verdict"), ["ran"])

    @asyncio_test
    async def test_cut_answer_is_refused_wherever_it_ends(self):
        await self.start()
        for size_bytes in (0, 1, len(BODY) // 2, len(BODY) - 2, len(BODY) - 1):
            response, _ = await self.ask(BODY[:size_bytes])
            self.assertGreaterEqual(response.code, 500)
            self.assertEqual(response.headers.getRawHeaders("x-verdict"), ["may-have-run"])

    @asyncio_test
    async def test_stream_ends_with_its_end_marker(self):
        await self.start()
        response, content = await self.ask(TOKEN + DONE, stream=True)
        self.assertEqual((response.code, content), (200, TOKEN + DONE))
