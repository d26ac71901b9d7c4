"""Tests of the log in memory and of its recovery after a crash."""

from unittest import TestCase

from damaskwind.decisions.replication.log import LogError, ReplicatedLog, recover_log
from damaskwind.decisions.replication.messages import EntryKind, LogEntry, Snapshot


def entries(first: int, last: int, term: int = 1) -> list[LogEntry]:
    """Return entries of one term."""
    return [LogEntry(index, term, EntryKind.COMMAND, b"") for index in range(first, last + 1)]


class RecoverTest(TestCase):
    """Recovery keeps the entries that extend the snapshot and refuses a gap."""

    def test_entries_that_the_snapshot_covers_are_dropped(self) -> None:
        log = recover_log(Snapshot(3, 1), entries(1, 5))
        self.assertEqual(log.entries(4, 5), tuple(entries(4, 5)))
        self.assertEqual(log.last_index, 5)

    def test_log_that_an_installed_snapshot_contradicts_is_dropped(self) -> None:
        log = recover_log(Snapshot(3, 2), entries(1, 5))
        self.assertEqual((log.last_index, log.last_term), (3, 2))

    def test_log_that_ends_before_the_snapshot_is_dropped(self) -> None:
        self.assertEqual(recover_log(Snapshot(9, 2), entries(1, 5)).last_index, 9)

    def test_gap_is_refused(self) -> None:
        with self.assertRaises(LogError):
            recover_log(Snapshot(3, 1), entries(5, 6))

    def test_truncation_into_the_snapshot_is_refused(self) -> None:
        with self.assertRaises(LogError):
            ReplicatedLog(Snapshot(3, 1), entries(4, 6)).truncate_from(3)
