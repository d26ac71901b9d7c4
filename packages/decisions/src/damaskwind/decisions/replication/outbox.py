"""Delay each send until the writes that it depends on are durable."""

from damaskwind.decisions.replication.events import (
    AppendEntries,
    InstallSnapshot,
    Output,
    Send,
    TruncateFrom,
    WriteState,
)
from damaskwind.decisions.replication.messages import Envelope, LogEntry, PersistentState, Snapshot

__all__ = ["Outbox"]


class Outbox:
    """Collects the outputs of a step, numbers the writes and delays dependent sends.

    `durable_index` is the last index of the current log that is durable.
    """

    def __init__(self, durable_index: int) -> None:
        self.durable_index = durable_index
        self._outputs: list[Output] = []
        self._pending_sends: list[tuple[int, Send]] = []
        self._pending_appends: list[tuple[int, int]] = []
        self._last_write_id = 0
        self._state_write_id = 0
        self._durable_write_id = 0

    def drain(self) -> list[Output]:
        """Return the outputs collected since the last call, and clear them."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def emit(self, output: Output) -> None:
        """Add an output that depends on no write."""
        self._outputs.append(output)

    def send_after_state(self, envelope: Envelope) -> None:
        """Send once the term and the vote are durable."""
        self._send_after(self._state_write_id, envelope)

    def send_after_writes(self, envelope: Envelope) -> None:
        """Send once everything written so far is durable."""
        self._send_after(self._last_write_id, envelope)

    def discard_pending_sends(self) -> None:
        """Discard the pending sends of an earlier term, which have no effect any more."""
        self._pending_sends.clear()

    def write_state(self, state: PersistentState) -> None:
        """Write the term and the vote."""
        self._state_write_id = self._next_write_id()
        self.emit(WriteState(self._state_write_id, state))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries to the durable log."""
        write_id = self._next_write_id()
        self._pending_appends.append((write_id, entries[-1].index))
        self.emit(AppendEntries(write_id, entries))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all after it from the durable log."""
        self.emit(TruncateFrom(self._next_write_id(), index))
        self._limit_durable_index(index - 1)

    def install(
        self, snapshot: Snapshot, data: bytes, keep_suffix: bool, commit_index: int
    ) -> None:
        """Write a snapshot received from a leader.

        Without `keep_suffix` the log may differ from the leader's after `commit_index`,
        so until the snapshot is durable `durable_index` is limited to that.
        """
        if not keep_suffix:
            self._limit_durable_index(commit_index)
        write_id = self._next_write_id()
        self._pending_appends.append((write_id, snapshot.index))
        self.emit(InstallSnapshot(write_id, snapshot, data, keep_suffix))

    def mark_durable(self, write_id: int) -> None:
        """Record that `write_id` and all earlier writes are durable; emit the ready sends."""
        self._durable_write_id = max(self._durable_write_id, write_id)
        done = [index for at, index in self._pending_appends if at <= self._durable_write_id]
        self._pending_appends = [
            pair for pair in self._pending_appends if pair[0] > self._durable_write_id
        ]
        self.durable_index = max([self.durable_index, *done])
        ready = [send for after, send in self._pending_sends if after <= self._durable_write_id]
        self._pending_sends = [
            pair for pair in self._pending_sends if pair[0] > self._durable_write_id
        ]
        self._outputs.extend(ready)

    def is_state_durable(self) -> bool:
        """Return whether the newest term and vote are durable."""
        return self._state_write_id <= self._durable_write_id

    def _limit_durable_index(self, last_index: int) -> None:
        self.durable_index = min(self.durable_index, last_index)
        self._pending_appends = [
            (at, min(index, last_index)) for at, index in self._pending_appends
        ]

    def _next_write_id(self) -> int:
        self._last_write_id += 1
        return self._last_write_id

    def _send_after(self, write_id: int, envelope: Envelope) -> None:
        if write_id <= self._durable_write_id:
            self.emit(Send(envelope))
        else:
            self._pending_sends.append((write_id, Send(envelope)))
