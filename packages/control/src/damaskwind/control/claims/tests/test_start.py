"""Tests of recording the incarnations of a holder."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase
from unittest.mock import patch

from damaskwind.control.claims.start import FILE_NAME, HolderStart, record_start
from damaskwind.model.exception import StorageError


class BeginStartTest(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_only_the_first_start_of_a_founder_may_vote_at_once(self):
        self.assertEqual(record_start(self.folder, "h0", True), HolderStart(1, True))
        self.assertEqual(record_start(self.folder, "h0", True), HolderStart(2, False))

    def test_holder_added_later_catches_up_at_its_first_start(self):
        self.assertEqual(record_start(self.folder, "h0", False), HolderStart(1, False))

    def test_folder_of_another_holder_and_damaged_file_are_refused(self):
        record_start(self.folder, "h0", True)
        with self.assertRaises(StorageError):
            record_start(self.folder, "h1", True)
        (self.folder / FILE_NAME).write_bytes(b"{")
        with self.assertRaises(StorageError):
            record_start(self.folder, "h0", True)

    def test_failed_sync_stops_the_start(self):
        with patch("os.fsync", side_effect=OSError("full")), self.assertRaises(StorageError):
            record_start(self.folder, "h0", True)
