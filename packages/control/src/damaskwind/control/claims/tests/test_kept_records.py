"""Tests of records persisted across a clean stop: only the next start may use them."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase
from unittest.mock import patch

from damaskwind.control.claims.kept_records import FILE_NAME, save_records
from damaskwind.control.claims.start import record_start
from damaskwind.decisions.claims.messages import (
    Accepted,
    Ballot,
    ClaimRecord,
    ClaimValue,
    HolderMemory,
    Outcome,
    Promise,
    StoredAnswer,
)
from damaskwind.model.verdict import Verdict

BALLOT = Ballot(3, "r")
OUTCOME = Outcome(Verdict.RAN, StoredAnswer(200, "text/plain", b"\x00body", "d"))
RECORD = ClaimRecord("k", 5.0, BALLOT, Accepted(BALLOT, ClaimValue("r", "d")), OUTCOME)
MEMORY = HolderMemory(("h0", "h1", "h2"), (Promise("h0", 1),), (RECORD,))


class SavedRecordsTest(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / FILE_NAME
        first = record_start(self.folder, "h0", True)
        save_records(self.folder, "h0", first.incarnation, MEMORY)

    def begin(self):
        return record_start(self.folder, "h0", True)

    def test_next_start_loads_the_records_and_deletes_the_file(self):
        self.assertEqual(self.begin().saved_memory, MEMORY)
        self.assertFalse(self.path.exists())

    def test_stale_file_after_a_crash_is_ignored(self):
        stale = self.path.read_bytes()
        with patch("damaskwind.control.claims.start.delete_records"):
            self.assertEqual(self.begin().saved_memory, MEMORY)
        self.assertTrue(self.path.exists())
        self.assertIsNone(self.begin().saved_memory)
        self.path.write_bytes(stale)
        self.assertIsNone(self.begin().saved_memory)

    def test_crash_before_the_start_is_recorded_loses_nothing(self):
        crash = patch("damaskwind.control.claims.start.replace_file_synced", side_effect=SystemExit)
        with crash, self.assertRaises(SystemExit):
            self.begin()
        self.assertEqual(self.begin().saved_memory, MEMORY)

    def test_damaged_or_foreign_file_is_ignored(self):
        whole = self.path.read_bytes()
        for damaged in (b"", whole[:-1], whole[:20] + b"\x00" + whole[21:]):
            self.path.write_bytes(damaged)
            self.assertIsNone(self.begin().saved_memory)
        start = self.begin().incarnation
        save_records(self.folder, "h1", start, MEMORY)
        self.assertIsNone(self.begin().saved_memory)
