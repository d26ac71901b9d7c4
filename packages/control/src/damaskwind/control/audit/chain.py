"""Verify a sequence of audit entries: hashes, links and consecutive numbers."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from damaskwind.control.audit.entry import AuditEntry, entry_hash

__all__ = ["ChainHead", "ChainVerdict", "head_faults", "verify_chain"]


class ChainHead(NamedTuple):
    """The last verified entry of a chain: its number and its hash.

    Comparing with the head of an earlier check detects a trail that has been rewritten
    as a whole since then, which the chain alone can't show.
    """

    sequence: int
    entry_hash: str


class ChainVerdict(NamedTuple):
    """The result of a check; `faults` lists each break, `head` is the last entry."""

    entries: int
    head: ChainHead | None
    faults: tuple[str, ...]


def _faults_of(entry: AuditEntry, before: ChainHead | None) -> list[str]:
    """Return the faults of one entry, given the one before it."""
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


def head_faults(entries: Sequence[AuditEntry], known: ChainHead | None) -> list[str]:
    """Return the contradictions between entries in order and the head of an earlier check.

    The entry at the head's number must have its hash; when the entries start
    right after it, the first must be chained to it.
    """
    if known is None:
        return []
    last = entries[-1].sequence if entries else 0
    if last < known.sequence:
        return [f"the trail ends at {last}, before the known entry {known.sequence}"]
    faults = []
    for entry in entries:
        if entry.sequence == known.sequence and entry.entry_hash != known.entry_hash:
            faults.append(f"entry {entry.sequence}: differs from the head that was known")
        if entry.sequence == known.sequence + 1 and entry.previous_hash != known.entry_hash:
            faults.append(f"entry {entry.sequence}: not chained to the head that was known")
    return faults


def verify_chain(entries: Iterable[AuditEntry]) -> ChainVerdict:
    """Verify the hashes, the links and the numbers of entries in order."""
    faults: list[str] = []
    before: ChainHead | None = None
    count = 0
    for entry in entries:
        faults += _faults_of(entry, before)
        before = ChainHead(entry.sequence, entry.entry_hash)
        count += 1
    return ChainVerdict(count, before, tuple(faults))
