"""A simulated disk that loses unsynced writes in a crash."""

from random import Random

from damaskwind.decisions.replication.events import (
    AppendEntries,
    InstallSnapshot,
    TruncateFrom,
    WriteState,
)
from damaskwind.decisions.replication.log import ReplicatedLog, recover_log
from damaskwind.decisions.replication.messages import LogEntry, PersistentState, Snapshot

__all__ = ["Disk"]

Write = WriteState | AppendEntries | TruncateFrom | InstallSnapshot


class Disk:
    """Synced state, log and snapshot, and the unsynced writes in the cache."""

    def __init__(self, state: PersistentState, entries: tuple[LogEntry, ...]) -> None:
        self.state = state
        self.entries = list(entries)
        self.snapshot = Snapshot()
        self.data = b""
        self.cached: list[Write] = []

    @property
    def last_index(self) -> int:
        """Return the last synced index."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    def write(self, write: Write) -> None:
        """Add a write to the cache."""
        self.cached.append(write)

    def sync(self, write_id: int) -> None:
        """Make the writes up to `write_id` durable."""
        while self.cached and self.cached[0].write_id <= write_id:
            self._make_durable(self.cached.pop(0))

    def crash(self, random: Random) -> None:
        """Lose the cache, except for a random prefix that reached the disk."""
        synced_count = random.randint(0, len(self.cached)) if random.random() < 0.3 else 0
        for write in self.cached[:synced_count]:
            self._make_durable(write)
        self.cached.clear()

    def save_snapshot(self, snapshot: Snapshot, data: bytes) -> None:
        """Save a snapshot of the replica's own state and compact the log up to it."""
        self.snapshot = snapshot
        self.data = data
        self.entries = [entry for entry in self.entries if entry.index > snapshot.index]

    def recover(self) -> ReplicatedLog:
        """Return the log recovered after a crash."""
        return recover_log(self.snapshot, self.entries)

    def _make_durable(self, write: Write) -> None:
        if isinstance(write, WriteState):
            self.state = write.state
        elif isinstance(write, AppendEntries):
            self.entries.extend(write.entries)
        elif isinstance(write, TruncateFrom):
            self.entries = [entry for entry in self.entries if entry.index < write.index]
        else:
            self.snapshot, self.data = write.snapshot, write.data
            first = write.snapshot.index + 1 if write.keep_suffix else float("inf")
            self.entries = [entry for entry in self.entries if entry.index >= first]
