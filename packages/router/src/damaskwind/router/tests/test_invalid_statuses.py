"""Tests of answers on the path of the chats whose status is no HTTP status code."""

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.trial.unittest import TestCase
from twisted.web.http_headers import Headers

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.verdict import Verdict
from damaskwind.router.target_client import AttemptError, BytesProducer, TargetCall, TargetClient
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.standins.scripted_target import ScriptedTarget, raw

STATUSES = (b"000", b"099", b"20", b"2000", b"600", b"999", b"20x", b"-20", b"+200", b"2_00")


class InvalidStatusesTest(TestCase):
    timeout = 20

    @asyncio_test
    async def test_answer_without_a_valid_status_is_none(self):
        """Guards against a target in trouble whose answer counts as a success."""
        target, client = ScriptedTarget(HeaderNames()), TargetClient(reactor)
        address = await target.start()
        self.addCleanup(lambda: ensureDeferred(client.close()))
        verdicts = {}
        for status in STATUSES:
            target.script = [raw(b"HTTP/1.1 " + status + b" X\r\ncontent-length: 0\r\n\r\n", True)]
            call = TargetCall(b"POST", address, b"/x", Headers(), BytesProducer(b"{}"))
            try:
                response = await to_future(ensureDeferred(client.send(call, 2.0)))
                verdicts[status] = response.code
            except AttemptError as error:
                verdicts[status] = error.verdict
        await target.stop()
        self.assertEqual(verdicts, dict.fromkeys(STATUSES, Verdict.MAY_HAVE_RUN))
