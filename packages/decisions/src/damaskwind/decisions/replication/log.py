"""The replicated log in memory, from its newest snapshot on.

All entries after the snapshot stay in memory. A configuration change is small, and the
shell takes a snapshot after a fixed number of entries.
"""

from collections.abc import Iterable, Sequence

from damaskwind.decisions.replication.membership import (
    decode_membership,
    encode_membership,
)
from damaskwind.decisions.replication.messages import (
    EntryKind,
    LogEntry,
    Member,
    Membership,
    PersistentState,
    Snapshot,
)
from damaskwind.model.exception import DamaskwindError

__all__ = ["LogError", "ReplicatedLog", "initial_log", "recover_log"]


class LogError(DamaskwindError):
    """An operation would violate the consistency of the log; a bug or a disk fault."""


class ReplicatedLog:
    """Entries after a snapshot, with the membership as of each index.

    >>> log = ReplicatedLog(Snapshot(), [LogEntry(1, 1, EntryKind.NOOP, b"")])
    >>> log.last_index, log.term_at(1), log.term_at(7)
    (1, 1, None)
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry]) -> None:
        self.snapshot = snapshot
        self._entries: list[LogEntry] = []
        self._memberships: list[tuple[int, Membership]] = []
        self._reset(snapshot, entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the entry that set the newest membership."""
        return self._memberships[-1][0]

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or None if `index` is compacted or past the end."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self._entries[index - self.snapshot.index - 1].term
        return None

    def membership_at(self, index: int) -> Membership:
        """Return the membership as of `index`."""
        return next(value for at, value in reversed(self._memberships) if at <= index)

    def memberships_since(self, index: int) -> list[Membership]:
        """Return the membership as of `index` and all later ones."""
        later = [value for at, value in self._memberships if at > index]
        return [self.membership_at(index), *later]

    def entries(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        base = self.snapshot.index + 1
        return tuple(self._entries[first - base : last - base + 1])

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Append entries to the end of the log."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise LogError(
                    f"log is not contiguous: entry {entry.index} after {self.last_index}"
                )
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self._memberships.append((entry.index, decode_membership(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all after it."""
        if index <= self.snapshot.index:
            raise LogError(
                f"cannot truncate from index {index}: snapshot ends at {self.snapshot.index}"
            )
        del self._entries[index - self.snapshot.index - 1 :]
        self._memberships = [pair for pair in self._memberships if pair[0] < index]

    def snapshot_at(self, index: int) -> Snapshot:
        """Return the metadata of a snapshot at `index`."""
        term = self.term_at(index)
        if term is None:
            raise LogError(f"cannot take a snapshot at index {index}: no such entry")
        return Snapshot(index, term, self.membership_at(index))

    def compact(self, snapshot: Snapshot, keep_suffix: bool) -> None:
        """Replace everything up to the index of `snapshot` by the snapshot."""
        suffix = self.entries(snapshot.index + 1, self.last_index) if keep_suffix else ()
        self._reset(snapshot, suffix)

    def _reset(self, snapshot: Snapshot, entries: Iterable[LogEntry]) -> None:
        """Reset the log to `snapshot` followed by `entries`."""
        self.snapshot = snapshot
        self._entries = []
        self._memberships = [(snapshot.index, snapshot.membership)]
        self.append(entries)


def initial_log(voters: Sequence[Member]) -> tuple[PersistentState, tuple[LogEntry, ...]]:
    """Return the state and log of a new cluster, identical for each of its voters.

    A cluster is created exactly once, by an operator. Every replica that is added
    later, or returns without its disk, starts empty and joins as a learner.
    """
    payload = encode_membership(Membership(tuple(voters)))
    return PersistentState(term=1), (LogEntry(1, 1, EntryKind.MEMBERSHIP, payload),)


def recover_log(snapshot: Snapshot, entries: Sequence[LogEntry]) -> ReplicatedLog:
    """Rebuild the log from the contents of the disk after a crash.

    The disk may still contain entries that the snapshot covers. If the entry at the
    snapshot's index has another term, the crash happened between installing a
    leader's snapshot and clearing the old log, so the whole old log is discarded.
    """
    at_snapshot = next((entry for entry in entries if entry.index == snapshot.index), None)
    if at_snapshot is not None and at_snapshot.term != snapshot.term:
        return ReplicatedLog(snapshot, ())
    return ReplicatedLog(snapshot, [entry for entry in entries if entry.index > snapshot.index])
