"""Keep a holder's records over a clean stop.

The file carries the number of the start that wrote it. It counts only at the very
next start: numbering that one, which is synced before any answer, makes the file
stale, so that a crash later can't bring old promises back.
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
    """What the file holds after its digest."""

    holder_id: str
    start: int
    memory: HolderMemory


_DECODER = msgspec.msgpack.Decoder(_SavedRecords)


def save_records(folder: Path, holder_id: str, start: int, memory: HolderMemory) -> None:
    """Write what a holder that stopped must not forget; raise `OSError` when that fails."""
    body = msgspec.msgpack.encode(_SavedRecords(holder_id, start, memory))
    replace_file_synced(folder / FILE_NAME, xxhash.xxh3_64_digest(body) + body)


def load_records(folder: Path, holder_id: str, last_start: int) -> HolderMemory | None:
    """Return what the last start wrote when it stopped; `None` when it did not, or not whole."""
    try:
        data = (folder / FILE_NAME).read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        logger.warning("claims of the last start not read", error=str(error))
        return None
    kept = _decode(data)
    if kept is None or kept.holder_id != holder_id or kept.start != last_start:
        logger.warning("claims kept are not those of the last start", last_start=last_start)
        return None
    return kept.memory


def _decode(data: bytes) -> _SavedRecords | None:
    """Decode a whole file; `None` for a damaged one."""
    body = data[DIGEST_BYTES:]
    if xxhash.xxh3_64_digest(body) != data[:DIGEST_BYTES]:
        return None
    try:
        return _DECODER.decode(body)
    except msgspec.DecodeError:
        return None


def delete_records(folder: Path) -> None:
    """Delete the file, which is stale by now, to free its place."""
    try:
        (folder / FILE_NAME).unlink(missing_ok=True)
    except OSError as error:
        logger.warning("stale claims not deleted", error=str(error))
