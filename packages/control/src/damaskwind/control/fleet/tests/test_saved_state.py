"""Tests of the state saved beside the log: torn, missing and unwritable files."""

import tempfile
from pathlib import Path

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet.saved_state import SavedState, StateWriter, read_saved_state
from damaskwind.control.storage.files import FileSystem
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.exception import StorageError
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test

RECORD = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.LEAVING, 3, 8, 0.5)
# The fields of a record before software versions were introduced.
RECORD_FIELDS = 12
STATE = SavedState(7, b"packed", (RECORD,))


class FullDisk(FileSystem):
    """A disk without free space."""

    def write(self, descriptor, data):
        raise StorageError("write: no space")


class SavedStateTest(TestCase):
    timeout = 10

    def setUp(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self.temporary.cleanup)
        self.folder = Path(self.temporary.name)

    def read(self):
        return read_saved_state(self.folder, FileSystem())

    async def write(self, state, files=None):
        revisions = [(0, 0)]
        writer = StateWriter(
            self.folder, files or FileSystem(), lambda: revisions[-1], lambda: state
        )
        writer.write_if_changed()
        revisions.append((1, 1))
        writer.write_if_changed()
        await writer.close()

    @asyncio_test
    async def test_saved_state_is_read_back(self):
        self.assertEqual(self.read(), SavedState())
        await self.write(STATE)
        self.assertEqual(self.read(), STATE)

    @asyncio_test
    async def test_state_of_an_earlier_version_is_read(self):
        """Guards against a replica that forgets its targets when it is upgraded."""
        earlier = STATE._replace(records=(tuple(RECORD)[:RECORD_FIELDS],))
        await self.write(earlier)
        self.assertEqual(self.read(), STATE)

    @asyncio_test
    async def test_versions_of_targets_are_kept(self):
        state = STATE._replace(records=(RECORD._replace(version="v1.1"),))
        await self.write(state)
        self.assertEqual(self.read(), state)

    @asyncio_test
    async def test_damage_at_any_byte_is_detected(self):
        await self.write(STATE)
        path = self.folder / "kept" / "state"
        whole = path.read_bytes()
        for size in range(0, len(whole), 7):
            path.write_bytes(whole[:size])
            self.assertEqual(self.read(), SavedState())
        for offset in range(16, len(whole), 5):
            flipped = bytearray(whole)
            flipped[offset] ^= 0x55
            path.write_bytes(bytes(flipped))
            self.assertEqual(self.read(), SavedState())

    @asyncio_test
    async def test_failed_write_leaves_the_saved_state_unchanged(self):
        await self.write(STATE)
        await self.write(STATE._replace(version=8), FullDisk())
        self.assertEqual(self.read(), STATE)
