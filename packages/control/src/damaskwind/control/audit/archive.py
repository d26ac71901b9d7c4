"""Closed segments of the audit trail as files in a replica's data folder.

Each replica writes a segment when it closes; a replica that joined later has the
segments from its first snapshot on. A file gets its name once it is complete and
synced, and is not modified afterwards.
"""

import os
from pathlib import Path

from damaskwind.control.audit.trail import SEGMENT_ENTRIES, AuditTrail
from damaskwind.model.exception import StorageError

__all__ = ["AuditArchive"]


class AuditArchive:
    """The segment files in one folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._folder.mkdir(parents=True, exist_ok=True)
        self._stored = {int(path.stem.split("-")[1]) for path in folder.glob("audit-*.jsonl")}

    @property
    def first_sequence(self) -> int | None:
        """Return the number of the oldest entry on disk; `None` if there is none."""
        return min(self._stored, default=None)

    def store_closed(self, trail: AuditTrail) -> int:
        """Write the closed segments that are not on disk yet; return their number.

        Call it after every command; it returns at once if no segment has closed.
        """
        written = 0
        start = trail.first_sequence
        while start + SEGMENT_ENTRIES - 1 <= trail.last_sequence:
            if start not in self._stored:
                self._write(start, trail.lines_after(start - 1, SEGMENT_ENTRIES))
                written += 1
            start += SEGMENT_ENTRIES
        return written

    def _path(self, start: int) -> Path:
        """Return the path of the segment that starts at an entry number."""
        return self._folder / f"audit-{start:012d}.jsonl"

    def _write(self, start: int, lines: list[bytes]) -> None:
        """Write one segment to a temporary file, sync it and rename it."""
        path = self._path(start)
        temporary = path.with_suffix(".tmp")
        try:
            with temporary.open("wb") as file:
                file.write(b"\n".join(lines) + b"\n")
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(path)
            self._sync_folder()
        except OSError as error:
            raise StorageError(f"audit archive: {error.strerror}") from error
        self._stored.add(start)

    def _sync_folder(self) -> None:
        """Sync the folder, so that a rename is durable."""
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lines_after(self, sequence: int, limit: int) -> list[bytes]:
        """Return up to `limit` encoded entries after an entry number, from one segment."""
        start = sequence // SEGMENT_ENTRIES * SEGMENT_ENTRIES + 1
        if start not in self._stored:
            later = [stored for stored in self._stored if stored > sequence]
            if not later:
                return []
            start = min(later)
        lines = self._path(start).read_bytes().splitlines()
        skipped = max(sequence + 1 - start, 0)
        return lines[skipped : skipped + limit]
