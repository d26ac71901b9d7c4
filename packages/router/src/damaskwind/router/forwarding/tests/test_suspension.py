"""Tests of a router whose VM is suspended for seconds, simulated by a clock that jumps ahead.

The system's monotonic clock does not count a suspension, so a request could be sent after the
caller's deadline had passed. With a clock that counts it, all peers seem to have been silent
during the suspension.
"""

import asyncio
import time

from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import ClockLoop, last_woken_s
from damaskwind.standins.jumping_clock import JumpingClock
from damaskwind.standins.scripted_target import plain, stream
from damaskwind.wire.news import News

AWAY_S = 8.0


class SuspendedRouterTest(ForwarderTestCase):
    async def start(self):
        self.clock = JumpingClock()
        in_force = self.clock.installed()
        in_force.__enter__()
        self.addCleanup(in_force.__exit__, None, None, None)
        await super().start()

    def suspended(self, before):
        """Return a step that suspends the router's VM when a target has the request."""

        async def step(writer, request):
            self.clock.suspend(AWAY_S)
            await before(writer, request)

        return step

    @asyncio_test
    async def test_nothing_is_sent_after_the_callers_deadline(self):
        async def reset(writer, request):
            raise ConnectionError("scripted end")

        self.share(self.suspended(reset), plain())
        answer = await self.call()
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_answer_that_arrived_during_a_suspension_is_read_first(self):
        self.publish(route(timeout_s=60.0))
        self.share(self.suspended(plain(body=b"first")), plain(body=b"second"))
        answer = await self.call(x_deadline_ms=b"60000")
        self.assertEqual((answer.status, answer.body), (200, b"first"))
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_stream_that_arrived_during_a_suspension_continues(self):
        self.publish(route(kind=RouteKind.STREAMING, is_resumable=True, timeout_s=60.0))
        self.share(self.suspended(stream(1, 5, 0.05)), stream(1, 5))
        answer = await self.call(x_deadline_ms=b"60000")
        self.assertEqual(answer.body.count(b"data:"), 5)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_suspension_of_the_observer_makes_no_target_silent(self):
        self.view.follow(("127.0.0.1",))
        self.addCleanup(lambda: to_deferred(self.view._links["127.0.0.1"].stop()))
        for target_id in ("t0", "t1"):
            self.view.targets.mark_seen(target_id, read_clock())
        self.clock.suspend(AWAY_S)
        link = self.view._links["127.0.0.1"]
        link.last_received_s = read_clock()
        self.view.handle_news("127.0.0.1", News("epoch", 1, 1, True, (), 1, (), ()))
        self.assertEqual(self.view.count_reachable_replicas(), 1)
        silent = [one for one in ("t0", "t1") if self.view.is_silent(one, read_clock())]
        self.assertEqual(silent, [])
        phases = [self.view.targets.phase_of(one) for one in ("t0", "t1")]
        self.assertEqual(phases, [TargetPhase.SERVING] * 2)


class ClockLoopTest(ForwarderTestCase):
    async def start(self):
        """Start nothing: these tests need no targets."""

    def setUp(self):
        """Start no loop: each test runs its own."""

    def test_timers_due_during_a_suspension_fire_at_the_next_wake(self):
        clock, fired, loop = JumpingClock(), [], ClockLoop()
        self.addCleanup(loop.close)
        with clock.installed():
            begun_s = time.perf_counter()
            loop.call_later(AWAY_S, fired.append, "due")
            loop.call_later(0.05, lambda: setattr(clock, "offset_s", AWAY_S))
            loop.call_later(0.1, lambda: None)
            woken_before_s = last_woken_s()
            loop.run_until_complete(asyncio.sleep(AWAY_S))
            self.assertEqual(fired, ["due"])
            self.assertLess(time.perf_counter() - begun_s, AWAY_S / 2)
            self.assertGreater(last_woken_s(), woken_before_s)
