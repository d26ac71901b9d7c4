"""A file system in memory that loses its power.

Names that were created, renamed or removed since the last sync of their folder may each be
kept or lost, and so may data that wasn't synced: it is there, missing or torn.
"""

from collections.abc import Callable
from pathlib import Path
from random import Random

from damaskwind.control.storage.files import FileSystem

__all__ = ["PowerFileSystem", "PowerLostError"]

Names = dict[Path, "StoredFile"]


class PowerLostError(Exception):
    """The power, or the process, ended at this operation."""


class StoredFile:
    """A file's data, and how much of it is durable."""

    def __init__(self) -> None:
        self.data = b""
        self.durable = b""

    def lose_power(self, random: Random) -> None:
        """Keep the durable data, and some, none or all of what was written since."""
        is_appended = self.data.startswith(self.durable)
        unsynced = self.data[len(self.durable) :] if is_appended else b""
        kept = unsynced[: random.choice((0, len(unsynced) // 2, len(unsynced)))]
        zeros = bytes(len(unsynced) - len(kept)) if random.random() < 0.3 else b""
        if not is_appended and random.random() < 0.5:
            self.durable = self.data
        self.data = self.durable = self.durable + kept + zeros


class PowerFileSystem(FileSystem):
    """A folder in memory; with `ends_at`, that operation doesn't come to its end."""

    def __init__(self, ends_at: int | None = None) -> None:
        self.ends_at = ends_at
        self.operations = 0
        self._names: Names = {}
        self._durable_names: Names = {}
        self._changes: list[Callable[[Names], None]] = []
        self._open: dict[int, StoredFile] = {}

    def lose_power(self, random: Random) -> None:
        """Lose what isn't durable, in part; which part is drawn."""
        for change in self._changes:
            if random.random() < 0.5:
                change(self._durable_names)
        for file in {id(item): item for item in self._durable_names.values()}.values():
            file.lose_power(random)
        self._changes.clear()
        self._names = dict(self._durable_names)
        self.restart()

    def restart(self) -> None:
        """End the process alone; what it had written is still there."""
        self._open.clear()
        self.ends_at = None

    def make_folder(self, path: Path) -> None:
        """Do nothing, as the one folder exists."""

    def lock(self, path: Path) -> int:
        """Return a descriptor."""
        return self.open_append(path)

    def open_append(self, path: Path) -> int:
        """Open a file; create its name if there is none."""
        if path not in self._names:
            file = StoredFile()
            self._change(lambda names: names.__setitem__(path, file))
        descriptor = len(self._open) + 3
        self._open[descriptor] = self._names[path]
        return descriptor

    def close(self, descriptor: int) -> None:
        """Do nothing; descriptors aren't used again."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write, at the end of the power only a half."""
        file = self._open[descriptor]
        half = len(data) // 2
        file.data += data[:half]
        self._count()
        file.data += data[half:]

    def sync(self, descriptor: int) -> None:
        """Make a file's data durable."""
        self._count()
        file = self._open[descriptor]
        file.durable = file.data

    def sync_folder(self, path: Path) -> None:
        """Make all names durable."""
        self._count()
        self._changes.clear()
        self._durable_names = dict(self._names)

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """Shorten a file."""
        self._count()
        file = self._open[descriptor]
        file.data = file.data[:size_bytes]

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file."""
        self._count()
        file = self._names[source]

        def change(names: Names) -> None:
            names.pop(source, None)
            names[target] = file

        self._change(change)

    def remove(self, path: Path) -> None:
        """Remove a name if it exists."""
        self._count()
        if path in self._names:
            self._change(lambda names: names.pop(path, None))

    def read(self, path: Path) -> bytes:
        """Return a file's content."""
        return self._names[path].data

    def list_names(self, path: Path) -> list[str]:
        """Return the sorted names."""
        return sorted(name.name for name in self._names)

    def _change(self, change: Callable[[Names], None]) -> None:
        """Change the names; durable with the next sync of the folder."""
        change(self._names)
        self._changes.append(change)

    def _count(self) -> None:
        """Count an operation; end at the one that was chosen."""
        self.operations += 1
        if self.operations == self.ends_at:
            raise PowerLostError
