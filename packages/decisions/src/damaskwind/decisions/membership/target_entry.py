"""Table entries with the freshness of a target's record, and the ownership of addresses."""

from collections.abc import Iterable

import xxhash

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.targets import Address

__all__ = ["TargetEntry", "contested_addresses", "address_owner", "record_hash"]

# A target loses its address if it is silent for this many heartbeats before the last report
# of another target there.
SUPERSEDED_AFTER_HEARTBEATS = 3.0


def record_hash(record: TargetRecord) -> int:
    """Return a hash of a record's contents.

    Sequence and cold time are left out, since every heartbeat changes them. A record without a
    software version has the hash that processes of earlier versions compute.
    """
    content = tuple(record._replace(sequence=0, cold_s=0.0))
    hashed = content if record.version else content[:-1]
    return xxhash.xxh3_64_intdigest(repr(hashed).encode())


class TargetEntry:
    """A target's record with its freshness as seen by this process.

    `changed_revision` is the table revision of the last change, `content_revision` that of
    the last change of more than the phase. `gone_at_s` is set if the target went from
    serving to gone without a leaving phase.
    """

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
        self.content_revision = revision
        self.first_seen_s = received_s
        self.first_sequence = record.sequence
        self.gone_at_s = float("-inf")
        self.cold_until_s = received_s + record.cold_s


def contested_addresses(entries: Iterable[TargetEntry]) -> dict[Address, list[TargetEntry]]:
    """Return the entries that are not gone, for each address shared by several of them."""
    by_address: dict[Address, list[TargetEntry]] = {}
    for entry in entries:
        if entry.record.phase is not TargetPhase.GONE:
            by_address.setdefault(entry.record.address, []).append(entry)
    return {
        address: contenders for address, contenders in by_address.items() if len(contenders) > 1
    }


def address_owner(contenders: list[TargetEntry], heartbeat_s: float) -> TargetEntry:
    """Return the entry that started last among those seen recently at an address."""
    oldest_seen_s = (
        max(entry.last_seen_s for entry in contenders) - SUPERSEDED_AFTER_HEARTBEATS * heartbeat_s
    )
    recent = [entry for entry in contenders if entry.last_seen_s >= oldest_seen_s]
    return max(recent, key=lambda entry: entry.first_seen_s - entry.first_sequence * heartbeat_s)
