"""Tests of how a found replacement is waited for that is not needed any more."""

import asyncio

from damaskwind.router.forwarding import answer_waits
from damaskwind.router.forwarding.replacements import Replacements
from damaskwind.router.forwarding.tests.test_replacements import OverdueTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import plain, silent

# A wait ends each 0.1 s, and the request is overdue by itself after 1.2 s.
MAX_WAITS = 50


class UnneededReplacementTest(OverdueTestCase):
    @asyncio_test
    async def test_wait_is_not_busy_while_a_found_replacement_is_not_needed(self):
        """Guards against a busy loop as a target goes on just when its replacement is found."""
        self.publish_route()
        self.share(silent(), plain())
        take, wait, waits = Replacements._take, asyncio.wait, []

        def take_and_hear(replacements, search, placement):
            hindrance = take(replacements, search, placement)
            # The silent target sends something on another connection.
            activity = self.forwarder.target_states.activity
            activity.record_received(search.target.target_id, read_clock())
            return hindrance

        async def count_wait(*args, **options):
            waits.append(1)
            return await wait(*args, **options)

        self.patch(Replacements, "_take", take_and_hear)
        self.patch(answer_waits.asyncio, "wait", count_wait)
        self.assertEqual((await self.call()).status, 200)
        self.assertLess(len(waits), MAX_WAITS)
