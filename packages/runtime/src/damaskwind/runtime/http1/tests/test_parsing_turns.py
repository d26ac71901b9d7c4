"""Tests of the turns of readers that have much to parse."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.parsing_turns import ParsingTurns


class ParsingTurnsTest(TestCase):
    timeout = 10

    @asyncio_test
    async def test_one_reader_goes_on_in_each_round(self):
        """Guards against many readers that each delay all other tasks in the same round."""
        turns, went_on = ParsingTurns(), []

        async def read(number):
            for _ in range(3):
                await turns.wait()
                went_on.append(number)

        reading = [asyncio.ensure_future(read(number)) for number in range(5)]
        most, before = 0, 0
        while not all(task.done() for task in reading):
            await asyncio.sleep(0)
            most, before = max(most, len(went_on) - before), len(went_on)
        self.assertEqual(most, 1)
        self.assertEqual(went_on, [*range(5)] * 3)

    @asyncio_test
    async def test_reader_that_is_canceled_gives_its_turn_to_the_next(self):
        """Guards against readers that wait for ever behind one that has left."""
        turns = ParsingTurns()
        waiting = [asyncio.ensure_future(turns.wait()) for _ in range(3)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        waiting[1].cancel()
        await asyncio.wait_for(waiting[2], 1.0)
        await asyncio.wait_for(turns.wait(), 1.0)
