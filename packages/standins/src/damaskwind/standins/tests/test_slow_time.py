"""Tests of the slowed clock of simulated fleets."""

import asyncio
import time
import unittest

from damaskwind.standins.narrow_links import NarrowLoop
from damaskwind.standins.slow_time import SlowClock

SLOWDOWN = 4.0


async def timed_sleep(sleep_s):
    """Return how long a sleep took by the installed clock."""
    started_s = time.monotonic()
    await asyncio.sleep(sleep_s)
    return time.monotonic() - started_s


def run(coroutine):
    clock = SlowClock(SLOWDOWN)
    with (
        clock.installed(),
        asyncio.Runner(loop_factory=lambda: NarrowLoop({}, 0.0, clock)) as runner,
    ):
        return runner.run(coroutine)


class SlowTimeTest(unittest.TestCase):
    def test_loop_sleeps_in_slowed_seconds(self):
        started_s = time.perf_counter()
        slept_s = run(timed_sleep(0.1))
        self.assertGreaterEqual(slept_s, 0.099)
        self.assertLess(slept_s, 0.15)
        self.assertGreaterEqual(time.perf_counter() - started_s, 0.39)

    def test_clock_stops_while_the_process_waits_for_a_processor(self):
        clock, sleep = SlowClock(SLOWDOWN), time.sleep
        before_s = clock.monotonic()
        sleep(0.2)
        self.assertLess(clock.monotonic() - before_s, 0.02)

    def test_clock_advances_while_the_process_computes(self):
        clock = SlowClock(SLOWDOWN)
        before_s, until_s = clock.monotonic(), time.process_time() + 0.2
        while time.process_time() < until_s:
            pass
        self.assertGreaterEqual(clock.monotonic() - before_s, 0.2 / SLOWDOWN)

    def test_real_clock_is_restored(self):
        real = time.monotonic
        with SlowClock(SLOWDOWN).installed():
            self.assertIsNot(time.monotonic, real)
        self.assertIs(time.monotonic, real)
