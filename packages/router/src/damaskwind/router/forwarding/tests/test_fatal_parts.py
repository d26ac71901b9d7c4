"""Tests that no way of a request to a target passes over what is known of its prompt's parts.

Guards against a verdict that is asked only when a request arrives: what waits, is repeated or goes
through another router was sent on after it.
"""

import asyncio

from damaskwind.decisions.fatal_requests.identity import identify_part
from damaskwind.decisions.fatal_requests.suspicion import (
    FATAL_ENDS,
    SuspicionLevel,
    fatal_duration_s,
)
from damaskwind.decisions.load.held_requests import TargetLoad
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import header
from damaskwind.standins.scripted_target import plain

PROMPT = b"entry:800,fatal:300,own:50"
SOUND_PROMPT = b"entry:800,middle:300,own:60"
FATAL = identify_part("pool", b"", b"fatal")


def condemn(view, digest=FATAL, ends=FATAL_ENDS, age_s=0.0):
    """Let a router learn that targets ended under a part, the last one some time ago."""
    view.suspicions.table.record_target_end(
        digest, SuspicionLevel(0, ends - 1), read_clock() - age_s
    )


class FatalPartTestCase(ForwarderTestCase):
    async def start(self):
        await super().start()
        self.publish(route(has_prompt_parts=True))

    async def ask(self, number=0, parts=PROMPT):
        return await self.call(
            path=b"/a/%d" % number, request_id=b"r%d" % number, x_prompt_parts=parts
        )

    def check_refused(self, answer):
        self.assertEqual((answer.status, header(answer.headers, b"retry-after")), (503, None))


class SendTest(FatalPartTestCase):
    @asyncio_test
    async def test_request_with_a_fatal_part_is_refused_and_others_are_served(self):
        condemn(self.view)
        self.check_refused(await self.ask())
        self.assertEqual(self.received(), [])
        self.assertEqual((await self.ask(1, SOUND_PROMPT)).status, 200)

    @asyncio_test
    async def test_part_that_becomes_fatal_during_the_connect_is_not_sent(self):
        acquire = self.connections.acquire

        async def acquire_late(*arguments):
            connection = await acquire(*arguments)
            condemn(self.view)
            return connection

        self.connections.acquire = acquire_late
        self.check_refused(await self.ask())
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_request_that_waits_is_refused_as_soon_as_its_part_is_fatal(self):
        for name in ("t0", "t1"):
            load = TargetLoad(8, 30, 8)
            self.forwarder.target_states.loads.observe_report(name, load, read_clock())
        self.publish(route(has_prompt_parts=True, objective_s=2.0))
        calling = asyncio.ensure_future(self.ask())
        while not self.forwarder.admissions.queued():
            await asyncio.sleep(0.002)
        begun_s = read_clock()
        relay = self.view.suspicions
        relay.record_target_end([(FATAL, SuspicionLevel(0, FATAL_ENDS - 1))])
        self.check_refused(await calling)
        self.assertLess(read_clock() - begun_s, 0.04)
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_request_that_waits_at_its_target_is_called_back(self):
        closed = asyncio.Event()

        async def hold(writer, request):
            while not writer.transport.is_closing():
                await asyncio.sleep(0.005)
            closed.set()
            raise ConnectionError("canceled")

        self.share(hold, hold)
        calling = [
            asyncio.ensure_future(self.ask(1, SOUND_PROMPT)),
            asyncio.ensure_future(self.ask()),
        ]
        while len(self.received()) < 2:
            await asyncio.sleep(0.002)
        relay = self.view.suspicions
        relay.record_target_end([(FATAL, SuspicionLevel(0, FATAL_ENDS - 1))])
        await asyncio.wait_for(closed.wait(), 0.5)
        self.assertEqual((await calling[1]).status, 502)
        # The target did nothing wrong.
        self.assertEqual(self.forwarder.tallies.totals("attempts")[(("end", "called-back"),)], 1)
        self.assertEqual(self.forwarder.crash_detector._probes, {})
        self.assertFalse(calling[0].done())
        self.assertEqual(len(self.received()), 2)
        calling[0].cancel()

    @asyncio_test
    async def test_request_with_a_suspected_part_is_not_repeated(self):
        condemn(self.view, ends=FATAL_ENDS - 1)

        async def crash(writer, request):
            for target in self.targets:
                target._server.close()
            raise ConnectionError("crashed")

        self.share(crash, plain(200))
        self.assertEqual((await self.ask()).status, 502)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_failure_of_a_target_does_not_clear_a_part(self):
        condemn(self.view, ends=FATAL_ENDS - 1)
        self.publish(route(RouteKind.NON_IDEMPOTENT, has_prompt_parts=True))
        self.script(plain(500), plain(200))
        self.assertEqual((await self.ask()).status, 500)
        table = self.view.suspicions.table
        self.assertEqual(table.level(FATAL), SuspicionLevel(0, FATAL_ENDS - 1))
        self.assertEqual((await self.ask(1)).status, 200)
        self.assertEqual(table.level(FATAL), SuspicionLevel(1, 0))


class TrialTest(FatalPartTestCase):
    """A part that is held is tried by one router, one request at a time."""

    async def try_after(self, age_s, is_own):
        relay = self.view.suspicions
        condemn(self.view, age_s=age_s)
        if is_own:
            relay._raised_here[FATAL] = relay.table.level(FATAL)
        calls = await asyncio.gather(*(self.ask(number) for number in range(5)))
        return [answer.status for answer in calls].count(503), len(self.received())

    @asyncio_test
    async def test_router_under_which_the_last_target_ended_sends_one_request(self):
        async def fail(writer, request):
            await plain(500)(writer, request)

        self.script(fail)
        self.assertEqual(await self.try_after(2.1 * fatal_duration_s(3), True), (4, 1))

    @asyncio_test
    async def test_other_routers_leave_the_trial_to_it(self):
        self.assertEqual(await self.try_after(2.1 * fatal_duration_s(3), False), (5, 0))

    @asyncio_test
    async def test_another_router_tries_it_if_that_one_is_lost(self):
        self.script(plain(500))
        self.assertEqual(await self.try_after(2.1 * fatal_duration_s(4), False), (4, 1))

    @asyncio_test
    async def test_whole_answer_to_the_trial_frees_the_part(self):
        await self.try_after(2.1 * fatal_duration_s(3), True)
        self.assertEqual((await self.ask(9)).status, 200)
