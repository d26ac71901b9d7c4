"""Replace files atomically."""

import json
import os
from collections.abc import Mapping
from pathlib import Path

__all__ = ["replace_file_synced", "write_ready_file"]


def _sync_folder(folder: Path) -> None:
    """Sync a folder, so that a name in it survives a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file_synced(path: Path, data: bytes) -> None:
    """Replace a file atomically, so that the new content survives a crash.

    Raises `OSError` when writing or syncing fails. The path then still names a complete
    file, the old or the new one, but it is unknown whether the new content is on disk.
    """
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)


def write_ready_file(path: str, addresses: Mapping[str, object]) -> None:
    """Write the addresses of this process for the one that started it, if a path is set.

    The file appears atomically. It only signals readiness, so it is not synced.
    """
    if not path:
        return
    temporary = Path(f"{path}.partial")
    temporary.write_text(json.dumps(addresses), encoding="utf-8")
    temporary.replace(path)
