"""Tests of streams that callers take up while all targets of their version are full."""

import asyncio

from damaskwind.decisions.load.held_requests import TargetLoad
from damaskwind.router.forwarding.tests.test_stream_versions import CallerTakesUpTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import stream

# The wait of a request in the pool lasts longer than this in the test.
FREED_AFTER_S = 0.015


class WaitingTakeUpTest(CallerTakesUpTestCase):
    def report(self, name, running):
        load = TargetLoad(running, 0, 8)
        self.forwarder.target_states.loads.observe_report(name, load, read_clock())

    async def take_up_as_one_frees(self, freed):
        """Take a stream up while both targets of its version are full, one of which then frees."""
        self.script(*[stream(4, 6)] * 20)
        for name, running in (("t0", 8), ("t1", 0), ("t2", 8)):
            self.report(name, running)
        calling = asyncio.ensure_future(self.take_up())
        await asyncio.sleep(FREED_AFTER_S)
        self.report(freed, 0)
        return (await calling).status

    @asyncio_test
    async def test_stream_goes_on_when_the_first_target_of_its_version_frees(self):
        """Guards against a wait for one target where another of the version may go on."""
        self.assertEqual(await self.take_up_as_one_frees("t0"), 200)

    @asyncio_test
    async def test_stream_goes_on_when_the_second_target_of_its_version_frees(self):
        self.assertEqual(await self.take_up_as_one_frees("t2"), 200)
