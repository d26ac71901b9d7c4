"""Tests of calls whose peer may stand still."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.watched_calls import (
    Doubt,
    WatchedCall,
    first_result,
    wait_until_doubtful,
)


def call(host, start, answers=True, heard_s=lambda: None):
    """Return a call to a peer that answers questions or not."""

    async def is_answering():
        if not answers:
            await asyncio.sleep(0.05)
        return answers

    return WatchedCall(host, start, is_answering, heard_s)


def after(delay_s, result):
    """Return a call that takes some time, then returns or raises its result."""

    async def run():
        await asyncio.sleep(delay_s)
        if isinstance(result, Exception):
            raise result
        return result

    return run


class DoubtTest(TestCase):
    """Guards against a caller that can't tell a long queue from a peer that stands still."""

    async def doubt(self, watched, overdue_s=5.0):
        task = asyncio.ensure_future(watched.start())
        try:
            return await wait_until_doubtful(task, watched, overdue_s)
        finally:
            task.cancel()

    @asyncio_test
    async def test_peer_that_answers_is_waited_for(self):
        self.assertIsNone(await self.doubt(call("a", after(0.8, 1))))

    @asyncio_test
    async def test_peer_that_does_not_answer_is_silent(self):
        self.assertIs(await self.doubt(call("a", after(5, 1), answers=False)), Doubt.SILENT)

    @asyncio_test
    async def test_peer_that_sends_its_answer_is_not_silent(self):
        sending = call("a", after(0.8, 1), answers=False, heard_s=read_clock)
        self.assertIsNone(await self.doubt(sending))

    @asyncio_test
    async def test_peer_whose_bytes_trickle_is_overdue(self):
        trickling = call("a", after(5, 1), answers=False, heard_s=read_clock)
        self.assertIs(await self.doubt(trickling, overdue_s=0.5), Doubt.OVERDUE)

    @asyncio_test
    async def test_failure_of_the_call_is_no_doubt(self):
        self.assertIsNone(await self.doubt(call("a", after(0.1, OSError()), answers=False)))


class FirstResultTest(TestCase):
    """Guards against a second call that replaces the first one, or that comes too early."""

    def setUp(self):
        self.begun, self.setbacks = [], []

    async def first(self, *calls):
        watched = [item._replace(start=self.record(item)) for item in calls]
        return await first_result(watched, (OSError,), lambda *item: self.setbacks.append(item))

    def record(self, item):
        async def start():
            self.begun.append(item.host)
            return await item.start()

        return start

    @asyncio_test
    async def test_second_call_is_not_begun_beside_a_sound_one(self):
        found = await self.first(call("a", after(0.5, 1)), call("b", after(0, 2)))
        self.assertEqual((found, self.begun, self.setbacks), (1, ["a"], []))

    @asyncio_test
    async def test_second_call_is_begun_beside_a_silent_one(self):
        found = await self.first(call("a", after(5, 1), answers=False), call("b", after(0, 2)))
        self.assertEqual((found, self.begun), (2, ["a", "b"]))
        self.assertEqual(self.setbacks, [("a", "silent")])

    @asyncio_test
    async def test_silent_peer_may_still_deliver_first(self):
        found = await self.first(call("a", after(0.5, 1), answers=False), call("b", after(5, 2)))
        self.assertEqual((found, self.begun), (1, ["a", "b"]))

    @asyncio_test
    async def test_second_call_is_begun_at_once_when_the_first_fails(self):
        begun_s = read_clock()
        found = await self.first(call("a", after(0, OSError("x"))), call("b", after(0, 2)))
        self.assertEqual((found, self.setbacks), (2, [("a", "OSError('x')")]))
        self.assertLess(read_clock() - begun_s, 0.2)

    @asyncio_test
    async def test_last_error_is_raised_when_all_fail(self):
        with self.assertRaisesRegex(OSError, "second"):
            await self.first(
                call("a", after(0, OSError("first"))), call("b", after(0, OSError("second")))
            )

    @asyncio_test
    async def test_other_errors_are_not_hidden(self):
        with self.assertRaises(ValueError):
            await self.first(call("a", after(0, ValueError())), call("b", after(0, 2)))
