"""A target's record with what one process knows of its freshness, and who has an address."""

from collections.abc import Iterable

import xxhash

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.targets import Address

__all__ = ["TargetEntry", "contested_addresses", "address_owner", "record_hash"]

# So many heartbeats after another was heard at its address, a silent target has lost it.
SUPERSEDED_AFTER_HEARTBEATS = 3.0


def record_hash(record: TargetRecord) -> int:
    """Return a number for what a record says.

    What a heartbeat changes without news, its number and the cold time, is left out.
    """
    told = record._replace(sequence=0, cold_s=0.0)
    return xxhash.xxh3_64_intdigest(repr(tuple(told)).encode())


class TargetEntry:
    """A record with what this process knows about its freshness."""

    __slots__ = (
        "changed_revision",
        "cold_until_s",
        "content_revision",
        "first_seen_s",
        "first_sequence",
        "gone_at_s",
        "last_seen_s",
        "record",
    )

    def __init__(self, record: TargetRecord, received_s: float, revision: int) -> None:
        self.record = record
        self.last_seen_s = received_s
        self.changed_revision = revision
        # When more than the phase changed last.
        self.content_revision = revision
        self.first_seen_s = received_s
        self.first_sequence = record.sequence
        self.gone_at_s = float("-inf")
        self.cold_until_s = received_s + record.cold_s


def contested_addresses(entries: Iterable[TargetEntry]) -> dict[Address, list[TargetEntry]]:
    """Return the entries, none of them gone, of each address that several have."""
    at: dict[Address, list[TargetEntry]] = {}
    for entry in entries:
        if entry.record.phase is not TargetPhase.GONE:
            at.setdefault(entry.record.address, []).append(entry)
    return {address: rivals for address, rivals in at.items() if len(rivals) > 1}


def address_owner(contenders: list[TargetEntry], heartbeat_s: float) -> TargetEntry:
    """Return the last to start of those at an address that were heard lately."""
    oldest_s = (
        max(entry.last_seen_s for entry in contenders) - SUPERSEDED_AFTER_HEARTBEATS * heartbeat_s
    )
    heard = [entry for entry in contenders if entry.last_seen_s >= oldest_s]
    return max(heard, key=lambda entry: entry.first_seen_s - entry.first_sequence * heartbeat_s)
