"""A target's record with what one process knows of its freshness, and who has an address."""

from collections.abc import Iterable

import xxhash

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.targets import Address

__all__ = ["TargetEntry", "contested_addresses", "occupant", "record_mark"]

# So many heartbeats after another was heard at its address, a silent target has lost it.
HEARD_BEATS = 3.0


def record_mark(record: TargetRecord) -> int:
    """Return a number for what a record says.

    What a heartbeat changes without news, its number and the cold time, is left out.
    """
    told = record._replace(sequence=0, cold_s=0.0)
    return xxhash.xxh3_64_intdigest(repr(tuple(told)).encode())


class TargetEntry:
    """A record with what this process knows about its freshness."""

    __slots__ = (
        "changed_at",
        "cold_until_s",
        "described_at",
        "first_s",
        "first_sequence",
        "gone_s",
        "heard_s",
        "record",
    )

    def __init__(self, record: TargetRecord, heard_s: float, changed_at: int) -> None:
        self.record = record
        self.heard_s = heard_s
        self.changed_at = changed_at
        # When more than the phase changed last.
        self.described_at = changed_at
        self.first_s = heard_s
        self.first_sequence = record.sequence
        self.gone_s = float("-inf")
        self.cold_until_s = heard_s + record.cold_s


def contested_addresses(entries: Iterable[TargetEntry]) -> dict[Address, list[TargetEntry]]:
    """Return the entries, none of them gone, of each address that several have."""
    at: dict[Address, list[TargetEntry]] = {}
    for entry in entries:
        if entry.record.phase is not TargetPhase.GONE:
            at.setdefault(entry.record.address, []).append(entry)
    return {address: rivals for address, rivals in at.items() if len(rivals) > 1}


def occupant(rivals: list[TargetEntry], heartbeat_s: float) -> TargetEntry:
    """Return the last to start of those at an address that were heard lately."""
    oldest_s = max(entry.heard_s for entry in rivals) - HEARD_BEATS * heartbeat_s
    heard = [entry for entry in rivals if entry.heard_s >= oldest_s]
    return max(heard, key=lambda entry: entry.first_s - entry.first_sequence * heartbeat_s)
