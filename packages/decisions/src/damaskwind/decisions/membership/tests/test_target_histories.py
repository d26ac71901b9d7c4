"""Tables converge over random histories, and seeded faults are detected."""

from unittest import TestCase

from damaskwind.decisions.membership.tests.fuzzing import run_batch
from damaskwind.decisions.membership.tests.seeded_faults import SEEDED_FAULTS


class TargetHistoriesTest(TestCase):
    def test_tables_converge_to_the_reports_of_targets(self):
        run_batch(1, 60)

    def test_random_histories_detect_seeded_faults(self):
        for name in SEEDED_FAULTS:
            with self.subTest(fault=name), self.assertRaises(AssertionError):
                run_batch(1, 300, name, shrinks=False)
