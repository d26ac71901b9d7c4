"""Check over random histories that no key gets two owners, and that seeded faults are found."""

from collections import Counter
from unittest import TestCase

from damaskwind.decisions.claims.holder import ClaimHolder
from damaskwind.decisions.claims.messages import ClaimKind
from damaskwind.decisions.claims.tests.histories import History, find_violation
from damaskwind.decisions.claims.tests.seeded_faults import SEEDED_FAULTS, LoadsStaleFile

HISTORIES = 4000
STALE_FROM_SEED = 12_800


class HistoriesTest(TestCase):
    def test_no_key_gets_two_owners(self):
        kinds = Counter()
        ran = 0
        for seed in range(HISTORIES):
            history = History(seed).run()
            self.assertLessEqual(len(history.ran), 1, f"seed {seed}: {history.ran}")
            kinds.update(history.kinds)
            ran += len(history.ran)
        self.assertGreater(ran, HISTORIES // 4)
        self.assertGreater(kinds[ClaimKind.IN_USE], HISTORIES // 10)

    def test_the_same_histories_find_the_seeded_faults(self):
        for name, holder_class in SEEDED_FAULTS.items():
            with self.subTest(fault=name):
                self.assertIsNotNone(find_violation(holder_class, HISTORIES))

    def test_restoring_a_stale_clean_stop_is_found(self):
        found = find_violation(ClaimHolder, 40, STALE_FROM_SEED, LoadsStaleFile)
        self.assertIsNotNone(found)
        self.assertIsNone(find_violation(ClaimHolder, 40, STALE_FROM_SEED))
