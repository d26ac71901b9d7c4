import errno
import tempfile
import unittest
from pathlib import Path

from damaskwind.control.storage.files import FileSystem
from damaskwind.control.storage.folder import open_data_folder
from damaskwind.control.storage.journal import TakeSnapshot, open_journal
from damaskwind.decisions.replication.events import (
    AppendEntries,
    InstallSnapshot,
    TruncateFrom,
    WriteState,
)
from damaskwind.decisions.replication.messages import (
    EntryKind,
    LogEntry,
    Member,
    PersistentState,
    Snapshot,
)
from damaskwind.model.exception import CorruptLogError, StorageError


def entry(index, term=1, payload=b"change"):
    return LogEntry(index, term, EntryKind.COMMAND, payload)


def append(*indexes, term=1):
    return AppendEntries(0, tuple(entry(index, term) for index in indexes))


class FailingFileSystem(FileSystem):
    """A file system that fails one operation once and counts the syncs."""

    def __init__(self, operation="", error_number=errno.EIO):
        self.operation = operation
        self.error_number = error_number
        self.syncs = 0
        self.folder_syncs = 0

    def _fail(self, operation):
        if operation == self.operation:
            self.operation = ""
            raise StorageError(errno.errorcode[self.error_number])

    def write(self, descriptor, data):
        if self.operation == "write":
            super().write(descriptor, data[: len(data) // 2])
        self._fail("write")
        super().write(descriptor, data)

    def sync(self, descriptor):
        self.syncs += 1
        self._fail("sync")
        super().sync(descriptor)

    def sync_folder(self, path):
        self.folder_syncs += 1
        super().sync_folder(path)

    def rename(self, source, target):
        self._fail("rename")
        super().rename(source, target)

    def remove(self, path):
        if path.suffix != ".tmp":
            self._fail("remove")
        super().remove(path)


class JournalTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.files = FailingFileSystem()

    def reopen(self):
        journal = open_journal(self.folder, FileSystem())
        self.addCleanup(journal.close)
        return journal

    def written(self, *groups):
        journal = open_journal(self.folder, self.files)
        for group in groups:
            journal.write(group)
        journal.close()
        return next(self.folder.glob("*.log"))

    def indexes(self):
        return [item.index for item in self.reopen().entries]

    def test_restart_after_thousands_of_changes(self):
        state = PersistentState(7, Member("a", "1"))
        journal = open_journal(self.folder, self.files)
        for first in range(1, 5001, 50):
            journal.write([append(*range(first, first + 50)), WriteState(0, state)])
            if first % 1000 == 951:
                journal.write([TakeSnapshot(Snapshot(first, 1), b"state at %d" % first)])
        journal.write([TruncateFrom(0, 4999), append(4999, term=2)])
        journal.close()
        recovered = self.reopen()
        self.assertEqual(recovered.state, state)
        self.assertEqual(recovered.read_snapshot(), (Snapshot(4951, 1), b"state at 4951"))
        self.assertEqual([e.index for e in recovered.entries], list(range(4952, 5000)))
        self.assertEqual(recovered.entries[-1].term, 2)
        self.assertEqual(len(list(self.folder.iterdir())), 2)

    def test_every_torn_tail_is_truncated_and_the_log_continues(self):
        path = self.written([append(1)], [append(2)])
        whole = path.read_bytes()
        padding_bytes = len(whole) // 2
        path.write_bytes(whole[:-1])
        self.assertEqual(self.indexes(), [1])
        truncated = path.read_bytes()
        for size in range(len(truncated), len(whole)):
            path.write_bytes(whole[:size])
            self.assertEqual(self.indexes(), [1], size)
        path.write_bytes(truncated + b"\x00" * padding_bytes)
        journal = self.reopen()
        journal.write([append(2)])
        self.assertEqual(self.indexes(), [1, 2])

    def test_corrupt_middle_is_refused_with_file_and_offset(self):
        path = self.written([append(1)], [append(2)], [append(3)])
        whole = path.read_bytes()
        second = whole.find(b"\xd5DWF", whole.find(b"change"))
        for offset in (second + 1, second + 5, second + 9, second + 20):
            damaged = bytearray(whole)
            damaged[offset] ^= 0xFF
            path.write_bytes(bytes(damaged))
            with self.assertRaises(CorruptLogError) as caught:
                open_journal(self.folder, FileSystem())
            self.assertIn(f"{path} at offset {second}", str(caught.exception))
            self.assertEqual(path.read_bytes(), bytes(damaged))

    def test_damaged_base_header_and_version_are_refused(self):
        path = self.written([append(1)])
        whole = path.read_bytes()
        for offset, message in ((0, "kind"), (8, "format version"), (40, "offset 16")):
            damaged = bytearray(whole)
            damaged[offset] ^= 0x40
            path.write_bytes(bytes(damaged))
            with self.assertRaisesRegex(CorruptLogError, message):
                open_journal(self.folder, FileSystem())

    def test_damaged_snapshot_is_refused(self):
        self.written([append(1)], [TakeSnapshot(Snapshot(1, 1), b"state")])
        path = next(self.folder.glob("*.snapshot"))
        path.write_bytes(path.read_bytes().replace(b"state", b"stale"))
        with self.assertRaisesRegex(CorruptLogError, "not whole"):
            open_journal(self.folder, FileSystem())

    def test_failed_fsync_is_fatal_and_never_retried(self):
        journal = open_journal(self.folder, self.files)
        self.addCleanup(journal.close)
        self.files.operation = "sync"
        with self.assertRaises(StorageError):
            journal.write([append(1)])
        syncs = self.files.syncs
        with self.assertRaises(StorageError):
            journal.write([append(1)])
        self.assertEqual(self.files.syncs, syncs)
        self.assertEqual(journal.entries, [])

    def test_full_disk_preserves_acknowledged_entries(self):
        journal = open_journal(self.folder, self.files)
        journal.write([append(1)])
        self.files.operation, self.files.error_number = "write", errno.ENOSPC
        with self.assertRaisesRegex(StorageError, "ENOSPC"):
            journal.write([append(2)])
        journal.close()
        self.assertEqual(self.indexes(), [1])

    def test_crash_at_each_step_of_a_snapshot_loses_nothing(self):
        for operation in ("write", "sync", "rename", "remove"):
            with self.subTest(operation), tempfile.TemporaryDirectory() as name:
                journal = open_journal(Path(name), self.files)
                journal.write([append(1, 2, 3)])
                self.files.operation = operation
                with self.assertRaises(StorageError):
                    journal.write([TakeSnapshot(Snapshot(2, 1), b"state")])
                journal.close()
                recovered = open_journal(Path(name), FileSystem())
                recovered.close()
                last = recovered.entries[-1].index
                self.assertEqual(last, 3)
                self.assertEqual(recovered.snapshot.index + len(recovered.entries), 3)

    def test_installed_snapshot_replaces_the_log_unless_the_suffix_is_kept(self):
        for keeps_suffix, expected in ((True, [3]), (False, [])):
            with self.subTest(keeps_suffix), tempfile.TemporaryDirectory() as name:
                journal = open_journal(Path(name), self.files)
                syncs = self.files.folder_syncs
                journal.write([append(1, 2, 3)])
                journal.write([InstallSnapshot(0, Snapshot(2, 1), b"theirs", keeps_suffix)])
                self.assertGreater(self.files.folder_syncs, syncs)
                journal.close()
                recovered = open_journal(Path(name), FileSystem())
                recovered.close()
                self.assertEqual([e.index for e in recovered.entries], expected)
                self.assertEqual(recovered.read_snapshot()[1], b"theirs")


class DataFolderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "data"

    def open(self, replica_id="a"):
        return open_data_folder(self.path, "kl", replica_id, FileSystem())

    def test_identity_persists_with_the_folder_only(self):
        folder = self.open()
        open_journal(self.path, FileSystem()).close()
        folder.close()
        reopened = self.open()
        reopened.close()
        self.assertEqual(reopened.identity, folder.identity)
        for path in self.path.iterdir():
            path.unlink()
        new = self.open()
        new.close()
        self.assertNotEqual(new.identity.identity, folder.identity.identity)

    def test_second_process_other_replica_and_missing_identity_are_refused(self):
        folder = self.open()
        with self.assertRaisesRegex(StorageError, "another process"):
            self.open()
        folder.close()
        with self.assertRaisesRegex(StorageError, "belongs to replica 'a'"):
            self.open("b")
        open_journal(self.path, FileSystem()).close()
        (self.path / "identity").unlink()
        with self.assertRaisesRegex(StorageError, "no identity file"):
            self.open()
