"""Randomized tests of the dispatcher against the run counts of its targets."""

from unittest import TestCase

from damaskwind.router.tests.request_fuzzing import SEEDED_BUGS, fuzz_requests, run_batch

HISTORIES = 60
SEED = 1


class RequestHistoriesTest(TestCase):
    def test_requests_are_answered_or_refused_correctly_and_run_at_most_once(self):
        run_batch(None, HISTORIES)

    def test_every_seeded_bug_is_found(self):
        for bug in SEEDED_BUGS:
            with self.subTest(bug):
                result = fuzz_requests(SEED, 60.0, 300, bug)
                self.assertIsNotNone(result.failure, bug)
