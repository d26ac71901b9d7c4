"""No key ever gets two owners, over random histories; and seeded faults are found."""

from collections import Counter
from unittest import TestCase

from damaskwind.decisions.claims.holder import ClaimHolder
from damaskwind.decisions.claims.messages import ClaimKind
from damaskwind.decisions.claims.tests.histories import History, find_violation

HISTORIES = 4000


class IgnoresIncarnations(ClaimHolder):
    """Counts promises of incarnations that were forgotten."""

    def _promises_hold(self, promises):
        return True


class SkipsCatchUp(ClaimHolder):
    """Votes as soon as it restarted."""

    def is_voting(self, now_s):
        return True


class CatchesUpFromOne(ClaimHolder):
    """Reads too few others."""

    def catch_up_needed(self):
        return 1


class TakesStaleWrites(ClaimHolder):
    """Accepts below its promise."""

    def write(self, message, now_s):
        entry = self._find(message.key, now_s)
        if entry is not None:
            entry.promised = message.ballot
        return super().write(message, now_s)


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

    def test_the_same_histories_find_seeded_faults(self):
        for holder_class in (
            IgnoresIncarnations,
            SkipsCatchUp,
            CatchesUpFromOne,
            TakesStaleWrites,
        ):
            with self.subTest(holder_class=holder_class.__name__):
                self.assertIsNotNone(find_violation(holder_class, HISTORIES))
