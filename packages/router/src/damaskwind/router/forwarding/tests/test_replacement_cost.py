"""Tests of what many overdue attempts cost."""

import time
from types import SimpleNamespace

from damaskwind.router.forwarding.replacements import Search
from damaskwind.router.forwarding.tests.test_replacements import OverdueTestCase
from damaskwind.runtime.bridge import asyncio_test

FEW, MANY = 200, 4000
# For the same cost of each one the ratio is 1.
MAX_RATIO = 4.0
REPEATS = 3


class ManySearchesTest(OverdueTestCase):
    def cost_of_each(self, count):
        """Return the processor time for which one of many attempts asks again for a target."""
        replacements = self.forwarder.replacements
        searches = [
            Search(SimpleNamespace(service=f"of {count}"), None, "", 0) for _ in range(count)
        ]
        for search in searches:
            replacements.begin(search)
        begun_s = time.process_time()
        for search in searches:
            replacements.begin(search)
            replacements._is_wanted(search)
        took_s = time.process_time() - begun_s
        for search in searches:
            replacements.end(search)
        return took_s / count

    @asyncio_test
    async def test_an_attempt_costs_the_same_among_many(self):
        """Guards against rounds that take all of the processor with 2,000 overdue attempts."""
        few_s = min(self.cost_of_each(FEW) for _ in range(REPEATS))
        many_s = min(self.cost_of_each(MANY) for _ in range(REPEATS))
        self.assertLess(many_s / few_s, MAX_RATIO)
