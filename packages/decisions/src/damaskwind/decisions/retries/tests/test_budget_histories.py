"""Test that the shared retry budget holds in random histories, which detect faults."""

from unittest import TestCase

from damaskwind.decisions.retries.tests.budget_histories import find_violation
from damaskwind.decisions.retries.tests.seeded_faults import SEEDED_FAULTS

SEEDS = range(30)


class BudgetHistoriesTest(TestCase):
    def test_bound_holds_in_every_window_across_restarts(self):
        self.assertIsNone(find_violation(SEEDS))

    def test_the_same_histories_find_seeded_faults(self):
        for name, make in SEEDED_FAULTS.items():
            with self.subTest(fault=name):
                self.assertIsNotNone(find_violation(SEEDS, make))
