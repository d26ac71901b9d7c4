"""Verify a run of audit entries: hashes, links and numbers without gaps."""

from collections.abc import Iterable
from typing import NamedTuple

from damaskwind.control.audit.entry import AuditEntry, entry_hash

__all__ = ["ChainHead", "ChainVerdict", "verify_chain"]


class ChainHead(NamedTuple):
    """The place up to which a chain is known: a number and the hash found there.

    Whoever keeps the head of an earlier check finds out when the whole trail
    was written anew since, which the chain alone can't show.
    """

    sequence: int
    entry_hash: str


class ChainVerdict(NamedTuple):
    """Whether the run holds; `faults` names each break, `head` is its last entry."""

    entries: int
    head: ChainHead | None
    faults: tuple[str, ...]


def _faults_of(entry: AuditEntry, before: ChainHead | None) -> list[str]:
    """Name what is wrong with one entry after the one before it."""
    faults = []
    if entry.entry_hash != entry_hash(entry):
        faults.append(f"entry {entry.sequence}: its content does not match its hash")
    if before is None:
        return faults
    if entry.sequence != before.sequence + 1:
        faults.append(f"entry {entry.sequence}: follows entry {before.sequence}")
    if entry.previous_hash != before.entry_hash:
        faults.append(f"entry {entry.sequence}: not chained to the entry before it")
    return faults


def verify_chain(entries: Iterable[AuditEntry], known: ChainHead | None = None) -> ChainVerdict:
    """Verify entries in order; `known` is the head of an earlier check, if any.

    When the run starts before the known head, the entry at its number must have
    its hash; when it starts after, the first entry must be chained to it.
    """
    faults: list[str] = []
    before: ChainHead | None = None
    count = 0
    for entry in entries:
        if count == 0 and known is not None and entry.sequence > known.sequence:
            before = known
        faults += _faults_of(entry, before)
        before = ChainHead(entry.sequence, entry.entry_hash)
        if known is not None and known.sequence == entry.sequence and known != before:
            faults.append(f"entry {entry.sequence}: differs from the head that was known")
        count += 1
    last = before.sequence if before is not None else 0
    if known is not None and last < known.sequence:
        faults.append(f"the trail ends at {last}, before the known entry {known.sequence}")
    return ChainVerdict(count, before, tuple(faults))
