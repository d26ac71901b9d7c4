"""Tests of commands whose endpoint sends bytes without end that are no answer."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.commands.operator_client import OperatorClient, parse_endpoints
from damaskwind.model.header_names import HeaderNames
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.endless_target import EndlessPart, send_endless
from damaskwind.standins.scripted_target import ScriptedTarget, raw

MIB = 2**20
# What an endpoint may send until it is left: the bound of a body, 64 MiB, and what lies in buffers.
MAX_SENT_BYTES = 80 * MIB
ENDLESS_S = 20.0
HEADS = (
    EndlessPart.STATUS_LINE,
    EndlessPart.FIELD_LINE,
    EndlessPart.FIELDS,
    EndlessPart.CONTINUE,
    EndlessPart.EARLY_HINTS,
    EndlessPart.CHUNK_SIZE,
)
MAX_HEAD_SENT_BYTES = 16 * MIB


class EndlessAnswersTest(TestCase):
    timeout = 100

    def add(self, size_bytes):
        """Count what was sent; a sender that is never left stops at the bound."""
        self.sent_bytes += size_bytes
        if self.sent_bytes > MAX_SENT_BYTES:
            raise ConnectionAbortedError("too much was read")

    @asyncio_test
    async def test_command_leaves_an_endpoint_that_sends_without_end(self):
        """Guards against a command that reads, and keeps, what a faulty process sends."""
        endpoint = ScriptedTarget(HeaderNames())
        client = OperatorClient(parse_endpoints(str(await endpoint.start())), "key", 2.0)
        sent = {}
        for part in (*HEADS, EndlessPart.CHUNKED_BODY, EndlessPart.UNFRAMED_BODY):
            self.sent_bytes = 0
            endpoint.script = [send_endless(part, on_sent=self.add)]
            async with asyncio.timeout(ENDLESS_S):
                answer = await asyncio.to_thread(
                    client.request_one, client.endpoints[0], "POST", "/plans", {}
                )
            self.assertEqual((answer.status, answer.may_have_been_accepted), (0, True), part)
            sent[part] = self.sent_bytes
        await endpoint.stop()
        too_much = {part: sent[part] for part in HEADS if sent[part] > MAX_HEAD_SENT_BYTES}
        self.assertEqual(too_much, {})
        self.assertLess(max(sent.values()), MAX_SENT_BYTES, sent)

    @asyncio_test
    async def test_status_that_is_none_is_no_answer(self):
        endpoint = ScriptedTarget(HeaderNames())
        client = OperatorClient(parse_endpoints(str(await endpoint.start())), "key", 2.0)
        for status in (b"000", b"099", b"20", b"2000", b"600", b"999"):
            endpoint.script = [raw(b"HTTP/1.1 " + status + b" X\r\ncontent-length: 2\r\n\r\n{}")]
            answer = await asyncio.to_thread(
                client.request_one, client.endpoints[0], "POST", "/plans", {}
            )
            self.assertEqual((answer.status, answer.may_have_been_accepted), (0, True), status)
        await endpoint.stop()
