"""Tests of unframed answers whose target's address is soon served by another process."""

import asyncio

from damaskwind.router.forwarding.tests.bench import NAMES
from damaskwind.router.forwarding.tests.test_unheard_ends import TWO_EVENTS
from damaskwind.router.forwarding.tests.test_unheard_ends_behind_links import BLACKHOLE
from damaskwind.router.forwarding.tests.test_unheard_ends_restarts import RestartedTargetTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.impairment import LinkImpairment
from damaskwind.standins.scripted_target import ScriptedTarget


class OtherProcessTest(RestartedTargetTestCase):
    @asyncio_test
    async def test_question_that_waited_for_the_next_process_is_no_proof(self):
        """Guards against a listening socket that outlives a process and holds the question."""

        async def exit_process(writer, request):
            self.link.impair(LinkImpairment(to_target=BLACKHOLE))
            await self.ending_process()(writer, request)

        self.share(exit_process)
        reading = asyncio.ensure_future(self.read())
        while self.target.is_alive:
            await asyncio.sleep(0.001)
        await self.start_again()
        self.link.impair(LinkImpairment())
        self.assertEqual(await reading, (TWO_EVENTS, False))

    @asyncio_test
    async def test_refusal_that_names_no_target_is_no_proof(self):
        """Guards against a full target at the address, which refuses before it reads a request."""
        following = ScriptedTarget(NAMES)
        following.refuses_health_checks = True
        self.targets.append(following)
        address = await following.start()

        async def exit_process(writer, request):
            self.link.target = address
            await self.ending_process()(writer, request)

        self.share(exit_process)
        self.assertEqual(await self.read(), (TWO_EVENTS, False))
