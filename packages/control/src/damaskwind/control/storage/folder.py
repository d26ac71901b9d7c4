"""A replica's data folder: its lock and its identity.

A random identity is generated when the folder is first used. A replica that
lost its disk gets a new identity and is a different member of the log, so it
can't vote again in a term in which it has already voted.
"""

import secrets
from pathlib import Path
from time import time
from typing import NamedTuple

import msgspec
from loguru import logger

from damaskwind.control.storage.files import FileSystem, write_file_durably
from damaskwind.control.storage.frames import encode_frame, file_header, read_frames
from damaskwind.model.exception import StorageError

__all__ = ["DataFolder", "Identity", "open_data_folder"]

_KIND_IDENTITY = 1
_KIND_FOUNDING = 4
_FOUNDING_NAME = "founding"
_IDENTITY_NAME = "identity"
_LOCK_NAME = "lock"


class Identity(NamedTuple):
    """The owner of a data folder and the random identity of its disk.

    `created_s` is the wall-clock time at which the folder was first used.
    """

    cluster: str
    replica_id: str
    identity: str
    created_s: int = 0


class DataFolder(NamedTuple):
    """An open, locked data folder."""

    path: Path
    files: FileSystem
    identity: Identity
    lock_descriptor: int

    @property
    def is_founding(self) -> bool:
        """Return whether this replica existed before its cluster was founded."""
        return _FOUNDING_NAME in self.files.list_names(self.path)

    def mark_founding(self) -> None:
        """Record permanently that this replica existed before its cluster."""
        data = file_header(_KIND_FOUNDING)
        write_file_durably(self.files, self.path / _FOUNDING_NAME, data)

    def close(self) -> None:
        """Release the lock."""
        self.files.close(self.lock_descriptor)


def _read_identity(files: FileSystem, path: Path) -> Identity:
    """Read the identity file; raise `StorageError` when it is damaged."""
    framed = read_frames(files.read(path), _KIND_IDENTITY, path)
    if len(framed.payloads) != 1 or framed.torn_bytes:
        raise StorageError(f"{path}: damaged; restore this replica as a new member")
    return msgspec.msgpack.decode(framed.payloads[0], type=Identity)


def _create_identity(files: FileSystem, path: Path, cluster: str, replica_id: str) -> Identity:
    """Generate an identity and make it durable."""
    identity = Identity(cluster, replica_id, secrets.token_hex(8), int(time()))
    data = file_header(_KIND_IDENTITY) + encode_frame(msgspec.msgpack.encode(identity))
    write_file_durably(files, path, data)
    return identity


def _load_identity(files: FileSystem, path: Path, cluster: str, replica_id: str) -> Identity:
    """Return the folder's identity; create one in an unused folder, or if the log is lost.

    A replica writes its log right after its identity, before it takes part. Without a log, this
    identity has either never taken part, or what it acknowledged is lost.

    Raises `StorageError` when the folder has a log but no identity, or the
    identity of another replica.
    """
    names = files.list_names(path)
    if _IDENTITY_NAME not in names:
        leftover = [name for name in names if name.endswith((".log", ".snapshot"))]
        if leftover:
            raise StorageError(f"{path}: has {leftover[0]} but no identity file")
        return _create_identity(files, path / _IDENTITY_NAME, cluster, replica_id)
    identity = _read_identity(files, path / _IDENTITY_NAME)
    if (identity.cluster, identity.replica_id) != (cluster, replica_id):
        raise StorageError(
            f"{path}: belongs to replica '{identity.replica_id}' of cluster"
            f" '{identity.cluster}', not to '{replica_id}' of '{cluster}'"
        )
    if any(name.endswith(".log") for name in names):
        return identity
    logger.warning("identity without a log, replaced", identity=identity.identity)
    if _FOUNDING_NAME in names:
        files.remove(path / _FOUNDING_NAME)
        files.sync_folder(path)
    return _create_identity(files, path / _IDENTITY_NAME, cluster, replica_id)


def open_data_folder(path: Path, cluster: str, replica_id: str, files: FileSystem) -> DataFolder:
    """Open and lock a data folder; create it and its identity when it is new.

    Raises `StorageError` when another process has locked the folder or it
    belongs to another replica.
    """
    files.make_folder(path)
    descriptor = files.lock(path / _LOCK_NAME)
    try:
        identity = _load_identity(files, path, cluster, replica_id)
    except BaseException:
        files.close(descriptor)
        raise
    return DataFolder(path, files, identity, descriptor)
