"""Record the incarnations of a claim holder in its data folder.

Each start gets a higher incarnation than all earlier ones, synced to disk before
the holder answers any call. A holder that starts for the first time may vote at
once, since it has no earlier votes to lose. A holder whose data folder was lost
must restart under a new id.
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
    """One start of a holder; `saved_memory` comes from the previous clean stop."""

    incarnation: int
    is_first_start: bool
    saved_memory: HolderMemory | None = None


class _StartRecord(NamedTuple):
    """The content of the file."""

    holder_id: str
    incarnation: int


def _read_last_start(path: Path, holder_id: str) -> _StartRecord:
    """Read the record of the last start; its incarnation is 0 if there was none."""
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
    """Record this start durably; raise `StorageError` when that fails.

    `is_founder` tells whether this holder existed when its cluster was founded.
    One added later must catch up even at its first start, since it replaces
    another holder that has voted.
    """
    path = folder / FILE_NAME
    last = _read_last_start(path, holder_id)
    saved_memory = load_records(folder, holder_id, last.incarnation)
    record = _StartRecord(holder_id, last.incarnation + 1)
    try:
        replace_file_synced(path, msgspec.json.encode(record))
    except OSError as error:
        raise StorageError(f"{path.name}: {error}") from error
    delete_records(folder)
    return HolderStart(record.incarnation, is_founder and last.incarnation == 0, saved_memory)
