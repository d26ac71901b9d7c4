"""Tests that an attempt is not canceled before the answer of the other one is whole."""

import asyncio

from damaskwind.router.forwarding.tests.bench import route
from damaskwind.router.forwarding.tests.test_hedged_sends import HedgingTestCase, late
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.scripted_target import plain, raw


class SupersededAttemptsTest(HedgingTestCase):
    @asyncio_test
    async def test_sound_attempt_is_kept_until_the_other_answer_is_whole(self):
        """Guards against an error as the winner breaks off, though the other target answers."""
        self.publish(route(timeout_s=4.0), version=2)
        broken = raw(b"HTTP/1.1 200 X\r\nx-request-id: r1\r\ncontent-length: 9\r\n\r\nha", True)
        self.share(late(plain(body=b"first"), 0.4), broken)
        answer = await self.call(x_deadline_ms=b"4000")
        self.assertEqual((answer.status, answer.body), (200, b"first"))

    @asyncio_test
    async def test_sound_attempt_is_kept_while_the_winner_is_silent(self):
        """Guards against an error as the winner falls silent, though the other target answers."""
        self.publish(route(timeout_s=4.0), version=2)

        async def silent_body(writer, request):
            writer.write(b"HTTP/1.1 200 X\r\nx-request-id: r1\r\ncontent-length: 9\r\n\r\nha")
            await asyncio.sleep(10.0)

        self.share(late(plain(body=b"first"), 0.4), silent_body)
        answer = await self.call(x_deadline_ms=b"3000")
        self.assertEqual((answer.status, answer.body), (200, b"first"))
