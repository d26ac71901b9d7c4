"""Incrementally maintained digests of the members of each failure domain.

The live routers and targets of a domain are divided into buckets by key. The digest
of a bucket is the XOR of its members' versions, so that an update takes constant time.
Two routers with equal digests have the same members.
"""

import struct
from typing import NamedTuple

import xxhash

from damaskwind.decisions.membership.messages import LeasedTargetRecord, RouterRecord

__all__ = [
    "BUCKETS",
    "DigestTable",
    "Member",
    "combine_digests",
    "pack_keys",
    "unpack_keys",
    "pack_entries",
    "router_key",
    "router_version",
    "target_key",
    "target_version",
    "unpack_entries",
]

BUCKETS = 16
_ENTRY = struct.Struct(">II")
_KEY = struct.Struct(">I")
_BUCKET_DIGESTS = struct.Struct(f">{BUCKETS}I")


class Member(NamedTuple):
    """A router or a target in a bucket."""

    is_router: bool
    name: str
    version: int


def router_key(router_id: str) -> int:
    """Return the 32-bit key of a router."""
    return xxhash.xxh32_intdigest(f"router\0{router_id}".encode())


def target_key(target_id: str) -> int:
    """Return the 32-bit key of a target."""
    return xxhash.xxh32_intdigest(f"target\0{target_id}".encode())


def router_version(record: RouterRecord) -> int:
    """Return the 32-bit version of a router's record."""
    text = f"{record.router_id}\0{record.incarnation}\0{record.address}\0{record.peer_address}"
    return xxhash.xxh32_intdigest(text.encode())


def target_version(record: LeasedTargetRecord) -> int:
    """Return the 32-bit version of a target's record.

    Fields that change with each renewal (sequences, age, load) are left out.
    """
    offers = sorted((offer.model, offer.version, sorted(offer.adapters)) for offer in record.models)
    fields = (
        record.target_id,
        record.incarnation,
        str(record.kind),
        record.service,
        str(record.address),
        round(record.lease_s, 3),
        record.capacity_tokens,
        offers,
        str(record.fencing),
    )
    return xxhash.xxh32_intdigest(repr(fields).encode())


def combine_digests(digests: bytes) -> bytes:
    """Return a four-byte digest of the digests of all buckets."""
    return xxhash.xxh32_digest(digests)


def pack_entries(entries: list[tuple[int, int]]) -> bytes:
    """Pack (key, version) pairs for a sketch."""
    return b"".join(_ENTRY.pack(*entry) for entry in entries)


def unpack_entries(packed: bytes) -> dict[int, int]:
    """Return the versions in a sketch by key; ignore a truncated entry at its end."""
    size_bytes = len(packed) // _ENTRY.size * _ENTRY.size
    return dict(_ENTRY.iter_unpack(packed[:size_bytes]))


def pack_keys(keys: list[int]) -> bytes:
    """Pack the keys of requested records."""
    return b"".join(_KEY.pack(key) for key in keys)


def unpack_keys(packed: bytes) -> list[int]:
    """Return the keys of requested records; ignore a truncated key at the end."""
    size_bytes = len(packed) // _KEY.size * _KEY.size
    return [key for (key,) in _KEY.iter_unpack(packed[:size_bytes])]


class DigestTable:
    """The bucket members and digests of all failure domains."""

    def __init__(self) -> None:
        self._digests: dict[str, list[int]] = {}
        self._buckets: dict[tuple[str, int], dict[int, Member]] = {}
        self._members: dict[int, tuple[str, Member]] = {}

    def put(self, failure_domain: str, key: int, member: Member) -> None:
        """Store a member, replacing its previous version."""
        stored = self._members.get(key)
        if stored == (failure_domain, member):
            return
        self.remove(key)
        self._members[key] = (failure_domain, member)
        self._buckets.setdefault((failure_domain, key % BUCKETS), {})[key] = member
        digests = self._digests.setdefault(failure_domain, [0] * BUCKETS)
        digests[key % BUCKETS] ^= member.version

    def remove(self, key: int) -> None:
        """Remove a member."""
        stored = self._members.pop(key, None)
        if stored is None:
            return
        failure_domain, member = stored
        del self._buckets[failure_domain, key % BUCKETS][key]
        self._digests[failure_domain][key % BUCKETS] ^= member.version

    def member(self, key: int) -> Member | None:
        """Return the member with this key."""
        stored = self._members.get(key)
        return stored[1] if stored else None

    def domains(self) -> list[str]:
        """Return all failure domains seen so far."""
        return list(self._digests)

    def digests(self, failure_domain: str) -> bytes:
        """Return the digests of all buckets of a domain."""
        return _BUCKET_DIGESTS.pack(*self._digests.get(failure_domain, [0] * BUCKETS))

    def bucket(self, failure_domain: str, bucket: int) -> dict[int, Member]:
        """Return the members of a bucket by key."""
        return self._buckets.get((failure_domain, bucket), {})

    def differing(self, failure_domain: str, digests: bytes) -> list[int]:
        """Return the buckets whose digests differ from those given."""
        if len(digests) != _BUCKET_DIGESTS.size:
            return []
        own_digests = self._digests.get(failure_domain, [0] * BUCKETS)
        return [
            i for i, value in enumerate(_BUCKET_DIGESTS.unpack(digests)) if value != own_digests[i]
        ]
