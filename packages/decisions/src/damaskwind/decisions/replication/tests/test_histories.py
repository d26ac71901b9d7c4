"""A small deterministic fuzzing run, and a check that it finds seeded bugs.

`tools/fuzz.py` runs histories for longer.
"""

from unittest import TestCase

from damaskwind.decisions.replication.tests.histories import (
    FAILURES,
    LogHistory,
    PlannedLogHistory,
    WideLogHistory,
    run_batch,
    seeded,
)

HISTORIES = 35
BUG_HISTORIES = 200
QUICK_BUGS = ("skip_fsync", "vote_twice", "promote_early", "count_before_durable")


class HistoriesTest(TestCase):
    """Runs the same histories each time."""

    def setUp(self) -> None:
        LogHistory.run_count = 0
        LogHistory.first_failed = None

    def test_no_history_breaks_an_invariant(self) -> None:
        run_batch(None, HISTORIES)
        self.assertGreaterEqual(LogHistory.run_count, HISTORIES)

    def test_no_history_of_six_or_eight_replicas_breaks_an_invariant(self) -> None:
        run_batch(None, HISTORIES, history=WideLogHistory)
        self.assertGreaterEqual(LogHistory.run_count, HISTORIES)

    def test_no_history_with_planned_replacements_breaks_an_invariant(self) -> None:
        """Guards against a log that confirms nothing after a replacement and a lost disk."""
        run_batch(None, HISTORIES, history=PlannedLogHistory)
        self.assertGreaterEqual(LogHistory.run_count, HISTORIES)

    def test_seeded_bugs_are_found(self) -> None:
        for bug in QUICK_BUGS:
            with self.subTest(bug), seeded(bug), self.assertRaises(FAILURES):
                run_batch(None, BUG_HISTORIES, shrinks=False)
