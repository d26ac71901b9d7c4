"""Encode reports and grants compactly, with digests in place of names.

Both ends know the accounts and failure domains from the confirmed configuration,
so a name is sent as 32 bits of its hash. Names whose digests collide are sent in
full. The sender of a datagram is known from its envelope and not repeated. Trailing
fields of a demand with default values are omitted: the lease of a router matters only
to an allocator that did not grant it.
"""

from collections.abc import Iterable
from typing import NamedTuple, TypeVar

import msgspec
import xxhash

from damaskwind.decisions.limits.messages import (
    AccountDemand,
    AccountGrant,
    DemandReport,
    ShareGrant,
)
from damaskwind.model.exception import MessageError

__all__ = ["LimitsCodec", "name_digest"]

DIGEST_MASK = 0xFFFFFFFF
CONFIRM = 1
RECALL_PENDING = 2

Packed = TypeVar("Packed")
_Name = int | str


class _PackedDemand(NamedTuple):
    """A demand; `age` is how many reports ago the applied grant was requested."""

    name: _Name
    in_use: int
    wanted: int
    wanted_tokens_per_s: int
    age: int
    held: int = 0
    held_tokens_per_s: int = 0
    held_remaining_ms: int = 0
    granted_by: str = ""


class _PackedReport(NamedTuple):
    """A report; an empty `router_domain` stands for the domain of the slice."""

    sequence: int
    slice_domain: _Name
    router_domain: str
    demands: list[_PackedDemand]


class _PackedShare(NamedTuple):
    """The share of one account, with `CONFIRM` and `RECALL_PENDING` as `flags`."""

    name: _Name
    units: int
    tokens_per_s: int
    flags: int = 0


class _PackedGrant(NamedTuple):
    """The grants that respond to the report numbered `sequence`."""

    sequence: int
    slice_domain: _Name
    lease_ms: int
    grants: list[_PackedShare]


_ENCODER = msgspec.msgpack.Encoder()
_REPORT_DECODER = msgspec.msgpack.Decoder(_PackedReport)
_GRANT_DECODER = msgspec.msgpack.Decoder(_PackedGrant)


def name_digest(name: str) -> int:
    """Return the 32-bit digest that represents a name.

    >>> name_digest("account-1") == name_digest("account-1") <= DIGEST_MASK
    True
    """
    return xxhash.xxh3_64_intdigest(name.encode()) & DIGEST_MASK


class LimitsCodec:
    """Encode and decode reports and grants for the configured names.

    >>> codec = LimitsCodec()
    >>> codec.set_names(["x"], ["a"])
    >>> grant = ShareGrant("r1", "a", 7, 9000, (AccountGrant("x", 2, 50),))
    >>> codec.decode_grant("r1", codec.encode_grant(grant)) == grant
    True
    """

    def __init__(self) -> None:
        self._configured: frozenset[str] = frozenset()
        self._names: dict[int, str] = {}
        self._digests: dict[str, int] = {}

    def set_names(self, accounts: Iterable[str], domains: Iterable[str]) -> None:
        """Set the configured accounts and failure domains."""
        configured = frozenset((*accounts, *domains))
        if configured == self._configured:
            return
        self._configured = configured
        shared: set[int] = set()
        self._names = {}
        for name in configured:
            digest = name_digest(name)
            if self._names.setdefault(digest, name) != name:
                shared.add(digest)
        for digest in shared:
            del self._names[digest]
        self._digests = {name: digest for digest, name in self._names.items()}

    def encode_report(self, report: DemandReport, allocator_id: str) -> bytes:
        """Encode a report to an allocator."""
        router_domain = report.router_domain
        packed = _PackedReport(
            report.sequence,
            self._pack(report.slice_domain),
            "" if router_domain == report.slice_domain else router_domain,
            [self._pack_demand(item, report.sequence, allocator_id) for item in report.demands],
        )
        return _ENCODER.encode(packed)

    def decode_report(self, router_id: str, allocator_id: str, payload: bytes) -> DemandReport:
        """Decode a report from `router_id`, omitting unknown accounts."""
        packed = _decode(_REPORT_DECODER, payload)
        slice_domain = self._unpack(packed.slice_domain) or ""
        demands = (
            self._unpack_demand(item, packed.sequence, allocator_id) for item in packed.demands
        )
        return DemandReport(
            router_id,
            packed.router_domain or slice_domain,
            slice_domain,
            packed.sequence,
            tuple(item for item in demands if item.account),
        )

    def encode_grant(self, grant: ShareGrant) -> bytes:
        """Encode a grant."""
        grants = [self._pack_share(item) for item in grant.grants]
        domain = self._pack(grant.slice_domain)
        return _ENCODER.encode((grant.report_sequence, domain, grant.lease_ms, grants))

    def decode_grant(self, allocator_id: str, payload: bytes) -> ShareGrant:
        """Decode a grant from `allocator_id`, omitting unknown accounts."""
        packed = _decode(_GRANT_DECODER, payload)
        grants = (self._unpack_share(item) for item in packed.grants)
        return ShareGrant(
            allocator_id,
            self._unpack(packed.slice_domain) or "",
            packed.sequence,
            packed.lease_ms,
            tuple(item for item in grants if item.account),
        )

    def _pack(self, name: str) -> _Name:
        """Return a name's digest, or the name itself if the digest is not unique."""
        return self._digests.get(name, name)

    def _unpack(self, packed: _Name) -> str | None:
        """Return the name that was packed, or `None` for an unknown digest."""
        return packed if isinstance(packed, str) else self._names.get(packed)

    def _pack_share(self, share: AccountGrant) -> tuple:
        """Pack a share, omitting the flags if none is set."""
        packed = (self._pack(share.account), share.units, share.tokens_per_s)
        flags = CONFIRM * share.confirm + RECALL_PENDING * share.recall_pending
        return (*packed, flags) if flags else packed

    def _unpack_share(self, packed: _PackedShare) -> AccountGrant:
        """Unpack a share; its account is empty if the digest is unknown."""
        flags = packed.flags
        return AccountGrant(
            self._unpack(packed.name) or "",
            packed.units,
            packed.tokens_per_s,
            bool(flags & CONFIRM),
            bool(flags & RECALL_PENDING),
        )

    def _pack_demand(self, demand: AccountDemand, sequence: int, allocator_id: str) -> tuple:
        """Pack a demand, omitting the lease if the recipient granted it."""
        is_other_allocator = demand.granted_by not in ("", allocator_id)
        age = sequence - demand.applied_sequence if demand.granted_by else 0
        packed = (self._pack(demand.account), demand.in_use, demand.wanted)
        packed += (demand.wanted_tokens_per_s, age)
        if not is_other_allocator:
            return packed
        held = (demand.held, demand.held_tokens_per_s, demand.held_remaining_ms)
        return (*packed, *held, demand.granted_by)

    def _unpack_demand(
        self, packed: _PackedDemand, sequence: int, allocator_id: str
    ) -> AccountDemand:
        """Unpack a demand; its account is empty if the digest is unknown."""
        return AccountDemand(
            self._unpack(packed.name) or "",
            packed.in_use,
            packed.wanted,
            packed.wanted_tokens_per_s,
            packed.held,
            packed.held_tokens_per_s,
            packed.held_remaining_ms,
            packed.granted_by or (allocator_id if packed.age else ""),
            sequence - packed.age if packed.age else 0,
        )


def _decode(decoder: "msgspec.msgpack.Decoder[Packed]", payload: bytes) -> Packed:
    """Decode a payload or raise `MessageError`."""
    try:
        return decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise MessageError(f"malformed message about limits: {error}") from error
