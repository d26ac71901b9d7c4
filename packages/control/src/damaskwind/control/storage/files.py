"""The file operations that the storage needs, behind a small interface.

Tests substitute a failing implementation. Every failure is raised as a
`StorageError`. A failed fsync is never retried, since the kernel may have
discarded the pages that it could not write.
"""

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from damaskwind.model.exception import StorageError

__all__ = ["FileSystem", "write_file_durably"]


@contextmanager
def _convert_os_error(action: str, path: object) -> Iterator[None]:
    """Convert an `OSError` to a `StorageError` that names the action and the file."""
    try:
        yield
    except OSError as error:
        raise StorageError(f"{action} {path}: {error.strerror or error}") from error


class FileSystem:
    """Operations on the files of the operating system."""

    def make_folder(self, path: Path) -> None:
        """Create a folder durably, and those above it, unless it exists."""
        missing = [item for item in (path, *path.parents) if not item.is_dir()]
        with _convert_os_error("create folder", path):
            path.mkdir(parents=True, exist_ok=True)
        for folder in reversed(missing):
            self.sync_folder(folder.parent)

    def lock(self, path: Path) -> int:
        """Lock a file exclusively without waiting and return its descriptor."""
        with _convert_os_error("open lock file", path):
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise StorageError(f"{path.parent}: another process uses this folder") from error
        return descriptor

    def open_append(self, path: Path) -> int:
        """Open a file for appending; create it if it does not exist."""
        with _convert_os_error("open", path):
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            return os.open(path, flags, 0o600)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        with _convert_os_error("close", f"descriptor {descriptor}"):
            os.close(descriptor)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data`."""
        view = memoryview(data)
        with _convert_os_error("write", f"descriptor {descriptor}"):
            while view:
                view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make the written data of a file durable."""
        with _convert_os_error("fsync", f"descriptor {descriptor}"):
            os.fsync(descriptor)

    def sync_folder(self, path: Path) -> None:
        """Make creations, renames and removals in a folder durable."""
        with _convert_os_error("fsync folder", path):
            descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """Truncate a file to a size."""
        with _convert_os_error("truncate", f"descriptor {descriptor}"):
            os.ftruncate(descriptor, size_bytes)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing any file of the new name."""
        with _convert_os_error("rename", source):
            os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        with _convert_os_error("remove", path):
            path.unlink(missing_ok=True)

    def read(self, path: Path) -> bytes:
        """Return a file's content."""
        with _convert_os_error("read", path):
            return path.read_bytes()

    def list_names(self, path: Path) -> list[str]:
        """Return the sorted names in a folder."""
        with _convert_os_error("list", path):
            return sorted(os.listdir(path))


def write_file_durably(files: FileSystem, path: Path, data: bytes) -> None:
    """Write a file atomically and durably: after a crash it is complete or absent."""
    temporary = path.with_name(path.name + ".tmp")
    files.remove(temporary)
    descriptor = files.open_append(temporary)
    try:
        files.write(descriptor, data)
        files.sync(descriptor)
    finally:
        files.close(descriptor)
    files.rename(temporary, path)
    files.sync_folder(path.parent)
