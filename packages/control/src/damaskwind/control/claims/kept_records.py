"""Persist a holder's records across a clean stop.

The file contains the incarnation that wrote it and is valid only for the next
start. That start durably records a new incarnation before it answers any call,
which makes the file stale, so a later crash can't bring old promises back.
"""

from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash
from loguru import logger

from damaskwind.decisions.claims.messages import HolderMemory
from damaskwind.runtime.files import replace_file_synced

__all__ = ["delete_records", "load_records", "save_records"]

FILE_NAME = "claim-records.msgpack"
DIGEST_BYTES = 8


class _SavedRecords(NamedTuple):
    """The content of the file after its digest."""

    holder_id: str
    start: int
    memory: HolderMemory


_DECODER = msgspec.msgpack.Decoder(_SavedRecords)


def save_records(folder: Path, holder_id: str, start: int, memory: HolderMemory) -> None:
    """Write the records of a holder at a clean stop; raise `OSError` when that fails."""
    body = msgspec.msgpack.encode(_SavedRecords(holder_id, start, memory))
    replace_file_synced(folder / FILE_NAME, xxhash.xxh3_64_digest(body) + body)


def load_records(folder: Path, holder_id: str, last_start: int) -> HolderMemory | None:
    """Return the records that the last start wrote; `None` when missing, damaged or stale."""
    try:
        data = (folder / FILE_NAME).read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        logger.warning("claims of the last start not read", error=str(error))
        return None
    saved = _decode(data)
    if saved is None or saved.holder_id != holder_id or saved.start != last_start:
        logger.warning(
            "stored claims are damaged or not from the last start", last_start=last_start
        )
        return None
    return saved.memory


def _decode(data: bytes) -> _SavedRecords | None:
    """Decode the content of the file; return `None` when it is damaged."""
    body = data[DIGEST_BYTES:]
    if xxhash.xxh3_64_digest(body) != data[:DIGEST_BYTES]:
        return None
    try:
        return _DECODER.decode(body)
    except msgspec.DecodeError:
        return None


def delete_records(folder: Path) -> None:
    """Delete the stale file to free its disk space."""
    try:
        (folder / FILE_NAME).unlink(missing_ok=True)
    except OSError as error:
        logger.warning("stale claims not deleted", error=str(error))
