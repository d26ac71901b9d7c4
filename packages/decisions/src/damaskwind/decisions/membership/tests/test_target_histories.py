"""Tables agree over random histories, and seeded faults are found."""

from unittest import TestCase

from damaskwind.decisions.membership.tests.fuzzing import run_batch
from damaskwind.decisions.membership.tests.seeded_faults import SEEDED_FAULTS


class TargetHistoriesTest(TestCase):
    def test_tables_keep_what_targets_said(self):
        run_batch(1, 60)

    def test_the_same_histories_find_seeded_faults(self):
        for name in SEEDED_FAULTS:
            with self.subTest(fault=name), self.assertRaises(AssertionError):
                run_batch(1, 300, name, shrinks=False)
