"""Tests of folders that are created.

They guard against a data folder that a loss of power takes as a whole, with its identity.
"""

import tempfile
import unittest
from pathlib import Path

from damaskwind.control.storage.files import FileSystem


class RecordingFileSystem(FileSystem):
    """Remembers which folders were synced."""

    def __init__(self) -> None:
        self.synced: set[Path] = set()

    def sync_folder(self, path: Path) -> None:
        """Sync a folder and remember it."""
        super().sync_folder(path)
        self.synced.add(path)


class NewFolderTest(unittest.TestCase):
    def test_folder_below_a_new_folder_is_durable(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            files = RecordingFileSystem()
            path = Path(name) / "data" / "replica"
            files.make_folder(path)
            self.assertLessEqual({Path(name), Path(name) / "data"}, files.synced)

    def test_folder_that_exists_needs_no_sync(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            files = RecordingFileSystem()
            files.make_folder(Path(name))
            self.assertEqual(files.synced, set())
