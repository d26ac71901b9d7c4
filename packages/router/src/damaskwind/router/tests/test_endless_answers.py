"""Tests of targets on the path of the chats that send without end."""

import asyncio

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.trial.unittest import TestCase
from twisted.web.http_headers import Headers

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.verdict import Verdict
from damaskwind.router.answer_body import read_whole
from damaskwind.router.target_client import AttemptError, BytesProducer, TargetCall, TargetClient
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.standins.endless_target import EndlessPart, send_endless
from damaskwind.standins.scripted_target import ScriptedTarget, plain

MIB = 2**20
# What a target may send until it is reset: the bound of a head or a body, and what lies in the
# buffers of both sockets and of both programs.
MAX_SENT_BYTES = 4 * MIB
BODY_BYTES = 65_536
ENDLESS_S = 10.0
PARTS = (
    EndlessPart.STATUS_LINE,
    EndlessPart.FIELD_LINE,
    EndlessPart.FIELDS,
    EndlessPart.CONTINUE,
    EndlessPart.EARLY_HINTS,
    EndlessPart.CHUNK_SIZE,
    EndlessPart.SMALL_CHUNKS,
    EndlessPart.UNFRAMED_BODY,
    EndlessPart.CHUNKED_BODY,
)


class EndlessAnswersTest(TestCase):
    timeout = 60

    async def start(self):
        self.sent_bytes = 0
        self.target, self.client = ScriptedTarget(HeaderNames()), TargetClient(reactor)
        self.address = await self.target.start()

    async def stop(self):
        await self.target.stop()
        await to_future(ensureDeferred(self.client.close()))

    def add(self, size_bytes):
        """Count what was sent; a target that was never reset stops at the bound."""
        self.sent_bytes += size_bytes
        if self.sent_bytes > MAX_SENT_BYTES:
            raise ConnectionAbortedError("too much was read")

    async def ask(self, *steps):
        """Return the body of an answer, or the verdict of its failure."""
        self.target.script = list(steps)
        call = TargetCall(b"POST", self.address, b"/x", Headers(), BytesProducer(b"{}"))
        try:
            response = await to_future(ensureDeferred(self.client.send(call, ENDLESS_S)))
            reading = read_whole(response, BODY_BYTES, ENDLESS_S, reactor)
            return await to_future(ensureDeferred(reading))
        except AttemptError as error:
            return error.verdict

    @asyncio_test
    async def test_target_without_an_end_is_reset_within_the_bound(self):
        """Guards against a router that keeps all that a faulty target sends."""
        await self.start()
        try:
            kept = {}
            for part in PARTS:
                self.sent_bytes = 0
                answer, other = await asyncio.gather(
                    self.ask(send_endless(part, on_sent=self.add), plain()), self.ask_later()
                )
                self.assertEqual((answer, other), (Verdict.MAY_HAVE_RUN, b"whole"), part)
                if self.sent_bytes > MAX_SENT_BYTES:
                    kept[part.value] = self.sent_bytes
            self.assertEqual(kept, {})
        finally:
            await self.stop()

    async def ask_later(self):
        """Ask while another answer has no end, which took the first step."""
        await asyncio.sleep(0.05)
        call = TargetCall(b"POST", self.address, b"/x", Headers(), BytesProducer(b"{}"))
        response = await to_future(ensureDeferred(self.client.send(call, ENDLESS_S)))
        return await to_future(ensureDeferred(read_whole(response, BODY_BYTES, 1.0, reactor)))
