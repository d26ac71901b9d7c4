"""The state that the log's commands change: the state machine and the address book.

The first byte of a command's payload selects one of the two.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple, Protocol

import msgspec

from damaskwind.control.replica.address_book import AddressBook, AddressRecord
from damaskwind.decisions.replication.messages import EntryKind, LogEntry

__all__ = [
    "ReplicatedState",
    "StateMachine",
    "address_command",
    "machine_command",
    "machine_payload",
]

_FOR_MACHINE = b"M"
_FOR_ADDRESSES = b"A"
MAX_RESULTS = 4096


class StateMachine(Protocol):
    """A deterministic state machine driven by the log."""

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, payload: bytes) -> None:
        """Replace the whole state."""
        ...


class _Snapshot(NamedTuple):
    """The content of a snapshot."""

    addresses: tuple[AddressRecord, ...]
    machine: bytes


def machine_command(payload: bytes) -> bytes:
    """Return a command for the state machine as the payload of a log entry."""
    return _FOR_MACHINE + payload


def machine_payload(payload: bytes) -> bytes | None:
    """Return the command for the state machine in a log entry, or None if it has another."""
    return payload[1:] if payload[:1] == _FOR_MACHINE else None


def address_command(record: AddressRecord) -> bytes:
    """Return a replica's address as the payload of a log entry."""
    return _FOR_ADDRESSES + msgspec.msgpack.encode(record)


class ReplicatedState:
    """Apply entries in order and keep the most recent results."""

    def __init__(self, machine: StateMachine, addresses: AddressBook) -> None:
        self.addresses = addresses
        self.applied_index = 0
        self._machine = machine
        self._results: OrderedDict[int, bytes] = OrderedDict()

    def apply(self, entries: Iterable[LogEntry]) -> None:
        """Apply committed entries."""
        for entry in entries:
            self.applied_index = entry.index
            if entry.kind is not EntryKind.COMMAND:
                continue
            component, payload = entry.payload[:1], entry.payload[1:]
            if component == _FOR_ADDRESSES:
                self.addresses.apply(payload)
                continue
            self._results[entry.index] = self._machine.apply(entry.index, payload)
            while len(self._results) > MAX_RESULTS:
                self._results.popitem(last=False)

    def recall_addresses(self, entries: Iterable[LogEntry]) -> None:
        """Take addresses from the entries on disk, before it is known which are committed."""
        for entry in entries:
            if entry.kind is EntryKind.COMMAND and entry.payload[:1] == _FOR_ADDRESSES:
                self.addresses.recall(entry.payload[1:])

    def result_at(self, index: int) -> bytes | None:
        """Return the result of the command at `index`, or `None` if it is no longer kept."""
        return self._results.get(index)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        content = _Snapshot(self.addresses.snapshot(), self._machine.snapshot())
        return msgspec.msgpack.encode(content)

    def restore(self, index: int, data: bytes) -> None:
        """Replace the whole state with that of a snapshot at `index`."""
        content = msgspec.msgpack.decode(data, type=_Snapshot)
        self.addresses.restore(content.addresses)
        self._machine.restore(content.machine)
        self._results.clear()
        self.applied_index = index
