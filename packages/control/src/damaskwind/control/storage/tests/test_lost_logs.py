"""Tests of a data folder whose log is lost and whose other files are not.

They guard against a replica that goes on as the member that it was, without the votes and
entries that this member had acknowledged.
"""

import tempfile
from pathlib import Path
from unittest import TestCase

from damaskwind.control.storage.files import FileSystem
from damaskwind.control.storage.folder import open_data_folder
from damaskwind.control.storage.journal import open_journal


class LostLogTest(TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "a"
        self.files = FileSystem()

    def start_once(self, founds=False):
        """Open the folder and its log, as a replica does; return its identity and its role."""
        folder = open_data_folder(self.path, "kl", "a", self.files)
        was_founding = folder.is_founding
        open_journal(folder.path, self.files).close()
        if founds:
            folder.mark_founding()
        folder.close()
        return folder.identity.identity, was_founding

    def test_replica_whose_log_is_lost_is_another_member(self):
        before, _ = self.start_once(founds=True)
        self.assertEqual(self.start_once(), (before, True))
        for log in self.path.glob("*.log"):
            log.unlink()
        after, is_founding = self.start_once()
        self.assertNotEqual(after, before)
        self.assertFalse(is_founding)
        self.assertEqual(self.start_once(), (after, False))
