"""Tests of unframed answers of targets whose process ends and soon starts again."""

import asyncio

from damaskwind.router.forwarding.tests.bench import NAMES
from damaskwind.router.forwarding.tests.test_unheard_ends import TWO_EVENTS
from damaskwind.router.forwarding.tests.test_unheard_ends_behind_links import LinkedTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import ScriptedTarget

# How long a process takes to start again.
DOWN_S = 0.1


class RestartedTargetTest(LinkedTestCase):
    """The target reports its start, as one does whose id may name several lives."""

    async def start(self):
        await super().start()
        record = self.view.targets.record_of("t0")
        self.view.targets.merge(record._replace(born_ms=1, sequence=102), read_clock())

    async def start_again(self):
        """Start the next process of the target, under the same id, of which no report is heard."""
        await asyncio.sleep(DOWN_S)
        following = ScriptedTarget(NAMES)
        self.targets.append(following)
        self.link.target = await following.start()

    @asyncio_test
    async def test_process_that_started_again_under_the_same_id_is_no_proof(self):
        """Guards against a restarted process that vouches for the answer of the one before it."""
        self.share(self.ending_process())
        reading = asyncio.ensure_future(self.read())
        while self.target.is_alive:
            await asyncio.sleep(0.001)
        await self.start_again()
        self.assertEqual(await reading, (TWO_EVENTS, False))
