"""Addresses of the replicas: from the settings, from the log and as announced.

Addresses are stored in the log, so that they survive a restart of all
replicas. The address that a replica announces with each message takes
precedence, since the replica may have moved. Fixed addresses take precedence
over both: behind forwarded ports, a replica doesn't know its own address.
"""

from typing import NamedTuple

import msgspec

from damaskwind.decisions.replication.messages import Member
from damaskwind.model.targets import Address

__all__ = ["AddressBook", "AddressRecord"]


class AddressRecord(NamedTuple):
    """The address at which one replica listens, and its failure domain."""

    replica_id: str
    address: Address
    failure_domain: str


class AddressBook:
    """The addresses of the replicas by id."""

    def __init__(self, records: tuple[AddressRecord, ...] = (), is_fixed: bool = False) -> None:
        self._configured = {record.replica_id: record for record in records}
        self._fixed = {record.replica_id: record.address for record in records if is_fixed}
        self._logged: dict[str, AddressRecord] = {}
        self._announced: dict[str, Address] = {}
        self._recalled: dict[str, Address] = {}

    def recall(self, payload: bytes) -> None:
        """Take a record from an entry that may not be committed, for want of a better one.

        After a restart of all replicas nothing is known to be committed until a leader is elected,
        for which the replicas have to find each other.
        """
        record = msgspec.msgpack.decode(payload, type=AddressRecord)
        self._recalled[record.replica_id] = record.address

    def apply(self, payload: bytes) -> None:
        """Apply a record from the log; it replaces an address announced earlier."""
        record = msgspec.msgpack.decode(payload, type=AddressRecord)
        self._logged[record.replica_id] = record
        self._announced.pop(record.replica_id, None)

    def record_announced(self, member: Member, address: Address) -> None:
        """Record the address that a replica announced for itself."""
        self._announced[member.replica_id] = address

    def address_of(self, replica_id: str) -> Address | None:
        """Return the address of a replica with the highest precedence, or `None`."""
        preferred = self._fixed.get(replica_id) or self._announced.get(replica_id)
        record = self.record_of(replica_id)
        return preferred or (record.address if record else self._recalled.get(replica_id))

    def record_of(self, replica_id: str) -> AddressRecord | None:
        """Return the record of a replica from the log, or else from the settings."""
        return self._logged.get(replica_id) or self._configured.get(replica_id)

    def is_logged(self, record: AddressRecord) -> bool:
        """Return whether the log has this record and nothing else is known since."""
        is_latest = self.address_of(record.replica_id) == record.address
        return is_latest and self._logged.get(record.replica_id) == record

    def snapshot(self) -> tuple[AddressRecord, ...]:
        """Return the records from the log."""
        return tuple(self._logged.values())

    def restore(self, records: tuple[AddressRecord, ...]) -> None:
        """Replace the records from the log."""
        self._logged = {record.replica_id: record for record in records}
