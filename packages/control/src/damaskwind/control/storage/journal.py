"""The write-ahead log and the snapshot that it starts from.

There is one log file at a time, `{number}.log`. Its first frame is the base:
the term and vote, the metadata of the snapshot and the entries after it. Each
later frame contains a group of changes that one fsync made durable.

To compact the log, a new snapshot is written and renamed into place first,
then a new log file whose base names that snapshot, and then the older files
are removed. Recovery reads the log file with the highest number and the
snapshot named in its base, so a crash between any two of these steps neither
loses nor mixes data.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec

from damaskwind.control.storage.files import FileSystem, write_file_durably
from damaskwind.control.storage.frames import FramedFile, encode_frame, file_header, read_frames
from damaskwind.decisions.replication.events import (
    AppendEntries,
    InstallSnapshot,
    TruncateFrom,
    WriteState,
)
from damaskwind.decisions.replication.messages import LogEntry, PersistentState, Snapshot
from damaskwind.model.exception import CorruptLogError, StorageError

__all__ = ["Journal", "JournalWrite", "TakeSnapshot", "open_journal"]

_KIND_LOG = 2
_KIND_SNAPSHOT = 3


class TakeSnapshot(NamedTuple):
    """Make a snapshot of this replica's own state durable and discard the log up to it."""

    snapshot: Snapshot
    data: bytes


JournalWrite = WriteState | AppendEntries | TruncateFrom | InstallSnapshot | TakeSnapshot


class _Base(NamedTuple):
    """The first frame of a log file."""

    state: PersistentState
    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class _Change(NamedTuple):
    """One change in a frame: a new term and vote, a truncation, or appended entries."""

    state: PersistentState | None = None
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()


_Group = tuple[_Change, ...]
_CHANGE_FROM_WRITE = {
    WriteState: lambda write: _Change(state=write.state),
    TruncateFrom: lambda write: _Change(truncate_from=write.index),
    AppendEntries: lambda write: _Change(entries=write.entries),
}


def _log_name(number: int) -> str:
    """Return the name of a log file."""
    return f"{number:012d}.log"


def _snapshot_name(snapshot: Snapshot) -> str:
    """Return the name of a snapshot's file."""
    return f"{snapshot.index:012d}-{snapshot.term}.snapshot"


class Journal:
    """The durable state of one replica.

    The methods block and must all be called from the same thread.
    """

    def __init__(self, folder: Path, files: FileSystem, number: int, base: _Base) -> None:
        self.state = base.state
        self.snapshot = base.snapshot
        self.entries: list[LogEntry] = list(base.entries)
        self.size_bytes = 0
        self.snapshot_bytes = 0
        self._folder = folder
        self._files = files
        self._number = number
        self._descriptor = -1
        self._failure: StorageError | None = None

    def write(self, writes: Iterable[JournalWrite]) -> None:
        """Make writes durable, in order, before returning.

        After a `StorageError` every further call raises it again, because the
        content of the disk is then unknown.
        """
        if self._failure is not None:
            raise self._failure
        try:
            self._write(list(writes))
        except StorageError as error:
            self._failure = error
            raise

    def read_snapshot(self) -> tuple[Snapshot, bytes]:
        """Return the newest durable snapshot with its data."""
        return self.snapshot, _read_snapshot(self._files, self._folder, self.snapshot)

    def close(self) -> None:
        """Close the log file."""
        if self._descriptor >= 0:
            self._files.close(self._descriptor)
            self._descriptor = -1

    def _write(self, writes: list[JournalWrite]) -> None:
        group: list[_Change] = []
        for write in writes:
            if isinstance(write, InstallSnapshot | TakeSnapshot):
                self._append_group(group)
                group = []
                self._replace_snapshot(write)
            else:
                group.append(_CHANGE_FROM_WRITE[type(write)](write))
        self._append_group(group)

    def _append_group(self, group: list[_Change]) -> None:
        """Write a group of changes as one frame and sync it."""
        if not group:
            return
        frame = encode_frame(msgspec.msgpack.encode(group))
        self._files.write(self._descriptor, frame)
        self._files.sync(self._descriptor)
        self.size_bytes += len(frame)
        for change in group:
            self.apply(change)

    def apply(self, change: _Change) -> None:
        """Apply a durable change to the state in memory."""
        if change.state is not None:
            self.state = change.state
        if change.truncate_from is not None:
            first = self.snapshot.index + 1
            del self.entries[max(change.truncate_from - first, 0) :]
        self.entries.extend(change.entries)

    def _replace_snapshot(self, write: InstallSnapshot | TakeSnapshot) -> None:
        """Make a snapshot durable and start a new log file based on it."""
        keeps_suffix = isinstance(write, TakeSnapshot) or write.keep_suffix
        if write.snapshot.index < self.snapshot.index:
            return
        suffix = [entry for entry in self.entries if entry.index > write.snapshot.index]
        old_number = self._number
        _write_snapshot(self._files, self._folder, write.snapshot, write.data)
        self.snapshot = write.snapshot
        self.snapshot_bytes = len(write.data)
        self.entries = suffix if keeps_suffix else []
        self._number += 1
        self.create_log_file()
        self._files.remove(self._folder / _log_name(old_number))
        remove_stale_files(self._files, self._folder, self._number, self.snapshot)

    def create_log_file(self) -> None:
        """Create the log file whose base is the current state."""
        path = self._folder / _log_name(self._number)
        base = _Base(self.state, self.snapshot, tuple(self.entries))
        data = file_header(_KIND_LOG) + encode_frame(msgspec.msgpack.encode(base))
        write_file_durably(self._files, path, data)
        self.open_log_file(len(data))

    def open_log_file(self, size_bytes: int) -> None:
        """Open the log file for appending; its valid content is `size_bytes` long."""
        self.close()
        path = self._folder / _log_name(self._number)
        self._descriptor = self._files.open_append(path)
        self.size_bytes = size_bytes

    def keep_durably(self, framed: FramedFile) -> None:
        """Make what was read from the log file durable, without its torn tail.

        A process that ended before its sync leaves a group that is readable, and that the
        next loss of power would take.
        """
        if framed.torn_bytes:
            self._files.truncate(self._descriptor, framed.size_bytes)
        self._files.sync(self._descriptor)


def _write_snapshot(files: FileSystem, folder: Path, snapshot: Snapshot, data: bytes) -> None:
    """Write a snapshot file with two frames: the metadata and the data."""
    metadata = encode_frame(msgspec.msgpack.encode(snapshot))
    content = file_header(_KIND_SNAPSHOT) + metadata + encode_frame(data)
    write_file_durably(files, folder / _snapshot_name(snapshot), content)


def _read_snapshot(files: FileSystem, folder: Path, snapshot: Snapshot) -> bytes:
    """Return the data of a snapshot; empty for the initial one at index 0."""
    if snapshot.index == 0:
        return b""
    path = folder / _snapshot_name(snapshot)
    framed = read_frames(files.read(path), _KIND_SNAPSHOT, path)
    if len(framed.payloads) != 2 or framed.torn_bytes:
        raise CorruptLogError(f"{path} at offset {framed.size_bytes}: snapshot is not whole")
    if msgspec.msgpack.decode(framed.payloads[0], type=Snapshot) != snapshot:
        raise CorruptLogError(f"{path}: is not the snapshot that the log names")
    return framed.payloads[1]


def remove_stale_files(files: FileSystem, folder: Path, number: int, snapshot: Snapshot) -> None:
    """Remove the files that recovery no longer needs."""
    current = {_log_name(number), _snapshot_name(snapshot)}
    for name in files.list_names(folder):
        if name.endswith((".log", ".snapshot", ".tmp")) and name not in current:
            files.remove(folder / name)
    files.sync_folder(folder)


def _decode(payload: bytes, kind: object, path: Path) -> object:
    """Decode a frame with a valid checksum; raise `CorruptLogError` when that fails."""
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.MsgspecError as error:
        raise CorruptLogError(f"{path}: a sound frame can't be read: {error}") from error


def open_journal(folder: Path, files: FileSystem) -> Journal:
    """Recover the durable state of a replica, or create an empty journal.

    A torn tail is truncated, and what is read is durable on return. Raises
    `CorruptLogError` when anything before the tail, or the snapshot, is damaged; damaged
    frames are never skipped.
    """
    numbers = [int(name[:-4]) for name in files.list_names(folder) if name.endswith(".log")]
    if not numbers:
        journal = Journal(folder, files, 1, _Base(PersistentState(), Snapshot(), ()))
        journal.create_log_file()
        return journal
    number = max(numbers)
    path = folder / _log_name(number)
    framed = read_frames(files.read(path), _KIND_LOG, path)
    if not framed.payloads:
        raise CorruptLogError(f"{path} at offset {framed.size_bytes}: the base is damaged")
    journal = Journal(folder, files, number, _decode(framed.payloads[0], _Base, path))
    for payload in framed.payloads[1:]:
        for change in _decode(payload, _Group, path):
            journal.apply(change)
    journal.snapshot_bytes = len(_read_snapshot(files, folder, journal.snapshot))
    journal.open_log_file(framed.size_bytes)
    journal.keep_durably(framed)
    remove_stale_files(files, folder, number, journal.snapshot)
    return journal
