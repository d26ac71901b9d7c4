"""The append-only trail in the replicated state, bounded by closed segments.

Entries are kept encoded, in segments of `SEGMENT_ENTRIES`. Beyond `MAX_CLOSED_SEGMENTS`
closed ones, the oldest is dropped from memory; by then every replica has had time to
write it to its archive. All replicas drop the same segment at the same entry.
"""

from collections.abc import Iterator
from typing import NamedTuple

from damaskwind.control.audit.entry import (
    GENESIS_HASH,
    AuditEntry,
    AuditEvent,
    decode_entry,
    encode_entry,
    make_entry,
)

__all__ = ["MAX_CLOSED_SEGMENTS", "SEGMENT_ENTRIES", "AuditTrail", "TrailState"]

SEGMENT_ENTRIES = 1000
MAX_CLOSED_SEGMENTS = 4
_DETAIL_LINES = 20
_TEXT_LENGTH = 200


class TrailState(NamedTuple):
    """The trail as stored in a snapshot: first entry number, last hash and all lines."""

    first_sequence: int = 1
    last_hash: str = GENESIS_HASH
    lines: tuple[bytes, ...] = ()


def _truncated(event: AuditEvent) -> AuditEvent:
    """Truncate the texts of an event to the limits of one entry."""
    detail = tuple(line[:_TEXT_LENGTH] for line in event.detail[:_DETAIL_LINES])
    left_out = len(event.detail) - _DETAIL_LINES
    if left_out > 0:
        detail += (f"and {left_out} more",)
    cut = {name: getattr(event, name)[:_TEXT_LENGTH] for name in ("origin", "subject")}
    return event._replace(detail=detail, **cut)


class AuditTrail:
    """The entries in memory and the head of the hash chain."""

    def __init__(self, state: TrailState | None = None) -> None:
        start = state or TrailState()
        self._first_sequence = start.first_sequence
        self._last_hash = start.last_hash
        self._lines = list(start.lines)

    @property
    def first_sequence(self) -> int:
        """Return the number of the oldest entry in memory."""
        return self._first_sequence

    @property
    def last_sequence(self) -> int:
        """Return the number of the newest entry; 0 if there is none yet."""
        return self._first_sequence + len(self._lines) - 1

    @property
    def last_hash(self) -> str:
        """Return the hash of the newest entry."""
        return self._last_hash

    def append(self, event: AuditEvent) -> AuditEntry:
        """Append an event to the trail and return its entry."""
        entry = make_entry(self.last_sequence + 1, _truncated(event), self._last_hash)
        self._lines.append(encode_entry(entry))
        self._last_hash = entry.entry_hash
        if len(self._lines) > (MAX_CLOSED_SEGMENTS + 1) * SEGMENT_ENTRIES:
            del self._lines[:SEGMENT_ENTRIES]
            self._first_sequence += SEGMENT_ENTRIES
        return entry

    def lines_after(self, sequence: int, limit: int) -> list[bytes]:
        """Return up to `limit` encoded entries after an entry number."""
        start = max(sequence + 1 - self._first_sequence, 0)
        return self._lines[start : start + limit]

    def entries(self) -> Iterator[AuditEntry]:
        """Return the decoded entries in memory, oldest first."""
        return map(decode_entry, self._lines)

    def state(self) -> TrailState:
        """Return the state for a snapshot."""
        return TrailState(self._first_sequence, self._last_hash, tuple(self._lines))
