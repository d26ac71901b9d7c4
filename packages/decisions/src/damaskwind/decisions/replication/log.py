"""Hold the replicated log in memory, after its newest snapshot.

The whole log after the snapshot is kept in memory: a configuration change is
small and the shell takes a snapshot every so many entries.
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
    """The log would have to break a promise: a fault of code or of disk."""


class ReplicatedLog:
    """Entries after a snapshot, with the membership that each prefix implies.

    >>> log = ReplicatedLog(Snapshot(), [LogEntry(1, 1, EntryKind.NOOP, b"")])
    >>> log.last_index, log.term_at(1), log.term_at(7)
    (1, 1, None)
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry]) -> None:
        self.snapshot = snapshot
        self._entries: list[LogEntry] = []
        self._memberships: list[tuple[int, Membership]] = []
        self._restart(snapshot, entries)

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
        """Return the term at `index`, or None where the log does not reach."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self._entries[index - self.snapshot.index - 1].term
        return None

    def membership_at(self, index: int) -> Membership:
        """Return the membership that the log up to `index` implies."""
        return next(value for at, value in reversed(self._memberships) if at <= index)

    def memberships_since(self, index: int) -> list[Membership]:
        """Return the membership at `index` and all later ones."""
        later = [value for at, value in self._memberships if at > index]
        return [self.membership_at(index), *later]

    def entries(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        base = self.snapshot.index + 1
        return tuple(self._entries[first - base : last - base + 1])

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries to the end."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise LogError(f"entry {entry.index} after {self.last_index}: a gap in the log")
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self._memberships.append((entry.index, decode_membership(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all after it."""
        if index <= self.snapshot.index:
            raise LogError(f"cannot truncate from {index}: snapshot at {self.snapshot.index}")
        del self._entries[index - self.snapshot.index - 1 :]
        self._memberships = [pair for pair in self._memberships if pair[0] < index]

    def snapshot_at(self, index: int) -> Snapshot:
        """Return the head of a snapshot at `index`."""
        term = self.term_at(index)
        if term is None:
            raise LogError(f"no entry {index} to take a snapshot at")
        return Snapshot(index, term, self.membership_at(index))

    def compact(self, snapshot: Snapshot, keep_suffix: bool) -> None:
        """Let `snapshot` stand for everything up to its index."""
        suffix = self.entries(snapshot.index + 1, self.last_index) if keep_suffix else ()
        self._restart(snapshot, suffix)

    def _restart(self, snapshot: Snapshot, entries: Iterable[LogEntry]) -> None:
        """Hold just these entries after `snapshot`."""
        self.snapshot = snapshot
        self._entries = []
        self._memberships = [(snapshot.index, snapshot.membership)]
        self.append(entries)


def initial_log(voters: Sequence[Member]) -> tuple[PersistentState, tuple[LogEntry, ...]]:
    """Return state and log of a new cluster, the same for each of its voters.

    Exactly one act of an operator creates a cluster; every replica that comes
    later, or comes back without its disk, starts empty and joins as a learner.
    """
    payload = encode_membership(Membership(tuple(voters)))
    return PersistentState(term=1), (LogEntry(1, 1, EntryKind.MEMBERSHIP, payload),)


def recover_log(snapshot: Snapshot, entries: Sequence[LogEntry]) -> ReplicatedLog:
    """Rebuild the log from what the disk holds after a crash.

    The disk may still hold entries that the snapshot covers. When the entry at
    the snapshot's index has another term, the crash came between installing a
    leader's snapshot and clearing the old log: nothing of that log is kept.
    """
    at_snapshot = next((entry for entry in entries if entry.index == snapshot.index), None)
    if at_snapshot is not None and at_snapshot.term != snapshot.term:
        return ReplicatedLog(snapshot, ())
    return ReplicatedLog(snapshot, [entry for entry in entries if entry.index > snapshot.index])
