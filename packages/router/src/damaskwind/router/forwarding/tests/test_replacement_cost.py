"""Tests of what many overdue attempts cost."""

import asyncio
from types import SimpleNamespace

from damaskwind.router.forwarding.tests.bench import route
from damaskwind.router.forwarding.tests.test_replacements import OverdueTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock

ATTEMPTS = 500
# Attempts are overdue after 0.8 s.
WATCHED_S = 1.5
TICK_S = 0.01
# The loop should never be late by 50 ms; ten times as much, as the machine may be busy.
MAX_LATE_S = 0.5


class ManyOverdueAttemptsTest(OverdueTestCase):
    timeout = 60

    def attempt(self, number):
        """Return an attempt that waits for the first target."""
        target = self.view.targets.record_of("t0")
        call = SimpleNamespace(
            service="pool",
            route=route(),
            key=None,
            regions=frozenset(),
            required_version=None,
            began_at=None,
            cost=None,
            tried={"t0"},
            priority=number % 3,
            deadline_s=read_clock() + 4.0,
            left_s=lambda: 4.0,
            sends=1,
            replacement=None,
            kept_for="",
            facts=SimpleNamespace(request_id=b"r%d" % number),
        )
        self.forwarder.target_states.activity.begin_wait("t0", read_clock())
        return SimpleNamespace(
            path=SimpleNamespace(via=""),
            call=call,
            target=target,
            body_bytes=0,
            delivery=SimpleNamespace(has_begun=False, can_go_on=True),
        )

    @asyncio_test
    async def test_rounds_do_not_block_the_event_loop(self):
        """Guards against a router that stands still as many requests wait at a silent target."""
        self.allow(0)
        waits = self.forwarder.sender._waits
        tasks = [
            asyncio.ensure_future(waits.read_head(self.attempt(number), asyncio.Event().wait()))
            for number in range(ATTEMPTS)
        ]
        late_s, until_s = 0.0, read_clock() + WATCHED_S
        while read_clock() < until_s:
            begun_s = read_clock()
            await asyncio.sleep(TICK_S)
            late_s = max(late_s, read_clock() - begun_s - TICK_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(self.kept(), {"retry budget": ATTEMPTS})
        self.assertLess(late_s, MAX_LATE_S)
