"""Number the starts of a claim holder in its data folder.

Each start gets an incarnation above all earlier ones, synced to disk before the
holder answers anyone. The first start of all may vote at once: a holder that
never voted has forgotten nothing. A holder whose data folder was lost must come
back under a new id.
"""

from pathlib import Path
from typing import NamedTuple

import msgspec

from damaskwind.control.claims.kept_records import delete_records, load_records
from damaskwind.decisions.claims.messages import HolderMemory
from damaskwind.model.exception import StorageError
from damaskwind.runtime.files import replace_file_synced

__all__ = ["HolderStart", "record_start"]

FILE_NAME = "claim-holder.json"


class HolderStart(NamedTuple):
    """One start of a holder; `kept` is what the start before it wrote at a clean stop."""

    incarnation: int
    is_first_start: bool
    kept: HolderMemory | None = None


class _StartRecord(NamedTuple):
    """What the file holds."""

    holder_id: str
    incarnation: int


def _read_last_start(path: Path, holder_id: str) -> _StartRecord:
    """Read the mark of the last start; incarnation 0 when there was none."""
    try:
        record = msgspec.json.decode(path.read_bytes(), type=_StartRecord)
    except FileNotFoundError:
        return _StartRecord(holder_id, 0)
    except (OSError, msgspec.DecodeError) as error:
        raise StorageError(f"{path.name}: {error}") from error
    if record.holder_id != holder_id:
        raise StorageError(f"{path.name}: belongs to holder '{record.holder_id}'")
    return record


def record_start(folder: Path, holder_id: str, is_founder: bool) -> HolderStart:
    """Number this start and sync it; raise `StorageError` when that fails.

    `is_founder` says that this holder was there when its cluster began. One that
    was added later must catch up at its first start too: it takes the place of
    another that did vote.
    """
    path = folder / FILE_NAME
    last = _read_last_start(path, holder_id)
    kept = load_records(folder, holder_id, last.incarnation)
    record = _StartRecord(holder_id, last.incarnation + 1)
    try:
        replace_file_synced(path, msgspec.json.encode(record))
    except OSError as error:
        raise StorageError(f"{path.name}: {error}") from error
    delete_records(folder)
    return HolderStart(record.incarnation, is_founder and last.incarnation == 0, kept)
