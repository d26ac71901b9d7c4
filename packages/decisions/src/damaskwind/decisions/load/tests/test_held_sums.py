"""Tests of the sums of the requests that all routers hold."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.load.held_sums import REPORT_TTL_S, HeldAggregator, HeldCount, HeldSum

COUNTS = st.dictionaries(st.integers(0, 5), st.integers(1, 9)).map(
    lambda held: tuple(HeldCount(*item) for item in held.items())
)


class HeldAggregatorTest(unittest.TestCase):
    def test_sum_without_reports_is_empty(self):
        self.assertEqual(HeldAggregator().total(5.0), HeldSum((), 0, 0.0))

    def test_later_report_replaces_the_earlier_one(self):
        sums = HeldAggregator()
        sums.report("r", (HeldCount(1, 5), HeldCount(2, 1)), 0.0)
        sums.report("r", (HeldCount(1, 2),), 1.0)
        self.assertEqual(sums.total(1.0), HeldSum((HeldCount(1, 2),), 1, 0.0))

    def test_silent_router_is_no_longer_counted(self):
        sums = HeldAggregator()
        sums.report("dead", (HeldCount(1, 5),), 0.0)
        sums.report("alive", (HeldCount(1, 2),), REPORT_TTL_S)
        self.assertEqual(sums.total(REPORT_TTL_S).routers, 2)
        self.assertEqual(sums.total(REPORT_TTL_S + 0.1).counts, (HeldCount(1, 2),))

    @given(st.lists(st.tuples(st.sampled_from("abc"), COUNTS), max_size=20))
    def test_sum_is_that_of_the_last_reports(self, reports):
        sums, last = HeldAggregator(), {}
        for number, (router, counts) in enumerate(reports):
            sums.report(router, counts, number * 0.01)
            last[router] = dict(counts)
        total = sums.total(len(reports) * 0.01)
        self.assertEqual(total.routers, len(last))
        expected = {}
        for held in last.values():
            for target, count in held.items():
                expected[target] = expected.get(target, 0) + count
        self.assertEqual(dict(total.counts), expected)
