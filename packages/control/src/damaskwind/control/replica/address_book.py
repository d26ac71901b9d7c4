"""Where the replicas can be reached: what the log holds, and what was heard since.

A replica's address is in the log, so that it outlasts a restart of all. What a
replica says of itself with each message comes first: it may have moved. Fixed
addresses come before both: behind forwarded ports no replica knows its own.
"""

from typing import NamedTuple

import msgspec

from damaskwind.decisions.replication.messages import Member
from damaskwind.model.targets import Address

__all__ = ["AddressBook", "AddressRecord"]


class AddressRecord(NamedTuple):
    """Where one replica listens for calls, and in which failure domain it is."""

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

    def apply(self, payload: bytes) -> None:
        """Take a record from the log; what was heard before is older."""
        record = msgspec.msgpack.decode(payload, type=AddressRecord)
        self._logged[record.replica_id] = record
        self._announced.pop(record.replica_id, None)

    def record_announced(self, member: Member, address: Address) -> None:
        """Take note of what a replica says of itself."""
        self._announced[member.replica_id] = address

    def address_of(self, replica_id: str) -> Address | None:
        """Return the best known address of a replica."""
        current = self._fixed.get(replica_id) or self._announced.get(replica_id)
        record = self.record_of(replica_id)
        return current or (record.address if record else None)

    def record_of(self, replica_id: str) -> AddressRecord | None:
        """Return what the log, or else the settings, say of a replica."""
        return self._logged.get(replica_id) or self._configured.get(replica_id)

    def snapshot(self) -> tuple[AddressRecord, ...]:
        """Return what the log holds."""
        return tuple(self._logged.values())

    def restore(self, records: tuple[AddressRecord, ...]) -> None:
        """Replace what the log holds."""
        self._logged = {record.replica_id: record for record in records}
