"""Replace files whole or not at all."""

import json
import os
from collections.abc import Mapping
from pathlib import Path

__all__ = ["replace_file_synced", "write_ready_file"]


def _sync_folder(folder: Path) -> None:
    """Sync a folder, so that a name in it outlives a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file_synced(path: Path, data: bytes) -> None:
    """Replace a file so that the new content outlives a crash.

    Raises `OSError` when writing or syncing fails; the old file is then still
    there, but whether the new one is on the disk is not known.
    """
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)


def write_ready_file(path: str, addresses: Mapping[str, object]) -> None:
    """Tell whoever started this process its addresses, when a path is set.

    The file appears whole; it is a signal, so it is not synced.
    """
    if not path:
        return
    temporary = Path(f"{path}.partial")
    temporary.write_text(json.dumps(addresses), encoding="utf-8")
    temporary.replace(path)
