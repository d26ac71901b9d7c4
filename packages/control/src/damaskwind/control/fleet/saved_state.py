"""Save the last known state to disk, to serve it at once after a restart.

After a restart a replica knows only which entries are durable, not which are
committed; it learns that once a leader has been elected, a second or more later.
Committed entries are never rolled back, so the newest configuration that this
replica has applied can be served to routers in the meantime, marked as possibly
outdated. The same holds for the targets: one that has left since then refuses
requests itself.

The whole file is rewritten beside the log after changes. It may be lost without
harm, so a failure is logged and the replica continues.
"""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import msgspec
from loguru import logger

from damaskwind.control.storage.files import FileSystem, write_file_durably
from damaskwind.control.storage.frames import encode_frame, file_header, read_frames
from damaskwind.decisions.fatal_requests.suspicion import Suspicion
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.evacuations import Evacuations
from damaskwind.model.exception import StorageError

__all__ = [
    "SavedState",
    "StateWriter",
    "mark_first_start",
    "read_saved_state",
    "was_first_start",
]

_KIND_SAVED_STATE = 5
_FOLDER = "kept"
_NAME = "state"
_FIRST_START_NAME = "first-start"


class SavedState(NamedTuple):
    """An applied configuration (packed), the known targets, the suspected requests and evacuations.

    Files written before evacuations were introduced have no such field.
    """

    version: int = 0
    packed: bytes = b""
    records: tuple[TargetRecord, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    evacuations: Evacuations = Evacuations()


def mark_first_start(data_folder: Path, files: FileSystem) -> None:
    """Create a marker file for a disk that was present at the first start of the system."""
    path = data_folder / _FOLDER / _FIRST_START_NAME
    if path.is_file():
        return
    try:
        files.make_folder(path.parent)
        write_file_durably(files, path, b"")
    except StorageError as error:
        logger.warning("first start not kept", why=str(error))


def was_first_start(data_folder: Path) -> bool:
    """Return whether this disk was present at the first start of the system."""
    return (data_folder / _FOLDER / _FIRST_START_NAME).is_file()


def read_saved_state(data_folder: Path, files: FileSystem) -> SavedState:
    """Return the saved state; an empty one if there is none or it can't be read."""
    path = data_folder / _FOLDER / _NAME
    try:
        if not path.is_file():
            return SavedState()
        framed = read_frames(files.read(path), _KIND_SAVED_STATE, path)
        return msgspec.msgpack.decode(framed.payloads[0], type=SavedState)
    except (StorageError, IndexError, msgspec.MsgspecError) as error:
        logger.warning("kept state unreadable", why=repr(error))
        return SavedState()


class StateWriter:
    """Writes the state to disk when it has changed, one write at a time.

    `revisions` returns values that grow with each change, `state` the state to write.
    """

    def __init__(
        self,
        data_folder: Path,
        files: FileSystem,
        revisions: Callable[[], tuple[int, ...]],
        state: Callable[[], SavedState],
    ) -> None:
        self._path = data_folder / _FOLDER / _NAME
        self._files = files
        self._revisions = revisions
        self._make_state = state
        self._written_revisions = revisions()
        self._writing: asyncio.Future | None = None
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="kept")
        self._has_failed = False

    def write_if_changed(self) -> None:
        """Start a write if the state has changed since the last one and none is running."""
        if self._writing is not None or self._revisions() == self._written_revisions:
            return
        self._written_revisions = self._revisions()
        self._writing = asyncio.ensure_future(self._write(self._make_state()))

    async def close(self) -> None:
        """Wait for the running write."""
        if self._writing is not None:
            await asyncio.wait([self._writing])
        self._thread.shutdown(wait=False)

    async def _write(self, state: SavedState) -> None:
        payload = msgspec.msgpack.encode(state)
        data = file_header(_KIND_SAVED_STATE) + encode_frame(payload)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._thread, self._write_file, data)
            if self._has_failed:
                logger.info("state kept again", version=state.version)
            self._has_failed = False
        except StorageError as error:
            if not self._has_failed:
                logger.warning("state not kept", why=str(error))
            self._has_failed = True
        finally:
            self._writing = None

    def _write_file(self, data: bytes) -> None:
        """Rewrite the whole file; runs in the worker thread."""
        self._files.make_folder(self._path.parent)
        write_file_durably(self._files, self._path, data)
