"""Gossip messages exchanged by routers, and the records that they carry.

All times are ages in seconds, measured on the sender's monotonic clock up to the
moment of sending, so that clocks need not be synchronized.
"""

from enum import IntEnum
from typing import NamedTuple

from damaskwind.model.targets import Address, FencingMode, ModelOffer, TargetKind

__all__ = [
    "Ack",
    "Compare",
    "Custom",
    "GoneReason",
    "IndirectProbe",
    "Message",
    "News",
    "Probe",
    "RouterRecord",
    "RouterState",
    "Sketch",
    "Summary",
    "LeasedTargetRecord",
    "Tombstone",
]


class RouterState(IntEnum):
    """State of a router; at equal incarnations the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class GoneReason(IntEnum):
    """Why a target is gone: its lease expired, or it announced that it is leaving."""

    LAPSED = 0
    LEAVING = 1


class RouterRecord(NamedTuple):
    """The membership record of a router.

    `address` receives datagrams, `peer_address` calls from other processes.
    """

    router_id: str
    incarnation: int
    state: RouterState
    failure_domain: str
    address: Address
    peer_address: Address


class LeasedTargetRecord(NamedTuple):
    """A live target with its lease: its announcement, and the age of its last renewal.

    `sequence` is the sequence number of the announcement, `renewed_sequence` that of
    the last renewal received after it. `load_lag_s` is the age of a load measurement
    at the time when the target sends it.
    """

    target_id: str
    incarnation: int
    sequence: int
    renewed_sequence: int
    kind: TargetKind
    service: str
    failure_domain: str
    address: Address
    lease_s: float
    age_s: float
    load_lag_s: float
    load_tokens: int
    capacity_tokens: int
    models: tuple[ModelOffer, ...] = ()
    fencing: FencingMode = FencingMode.IGNORED


class Tombstone(NamedTuple):
    """Marks a target as gone as of an incarnation and a sequence number."""

    target_id: str
    incarnation: int
    sequence: int
    reason: GoneReason
    failure_domain: str
    age_s: float


class Summary(NamedTuple):
    """The digest of a failure domain's live routers and targets.

    `age_s` is the time since a router of that domain confirmed it. `digests` holds
    four bytes in total, or four bytes for each bucket in a `Compare`.
    """

    failure_domain: str
    age_s: float
    digests: bytes


class News(NamedTuple):
    """Records to merge, and the keys of records that the sender requests.

    A `repair` is the result of anti-entropy between two routers and is not forwarded.
    `spills` are spill notes in the format of
    `damaskwind.decisions.membership.spill_gossip`.
    """

    routers: tuple[RouterRecord, ...] = ()
    targets: tuple[LeasedTargetRecord, ...] = ()
    tombstones: tuple[Tombstone, ...] = ()
    wanted: bytes = b""
    repair: bool = False
    spills: bytes = b""


class Probe(NamedTuple):
    """Check whether a router is alive; updates and loads are piggybacked.

    `revision` is the configuration in force at the sender. `loads` has the format of
    `damaskwind.decisions.membership.loads`, `vector` that of `load_vector`. `sender`
    introduces a router that the recipient may not know. `overdue` holds the keys of
    targets from which the sender has received no renewal for a long time.
    """

    nonce: int
    revision: int
    sender: RouterRecord | None = None
    loads: bytes = b""
    overdue: bytes = b""
    summaries: tuple[Summary, ...] = ()
    updates: News | None = None
    vector: bytes = b""


class Ack(NamedTuple):
    """Acknowledge a probe; updates and loads are piggybacked.

    A router that did not know the prober introduces itself as `sender`.
    """

    nonce: int
    revision: int
    loads: bytes = b""
    summaries: tuple[Summary, ...] = ()
    updates: News | None = None
    sender: RouterRecord | None = None
    vector: bytes = b""


class IndirectProbe(NamedTuple):
    """Ask a router to probe another one and to forward its acknowledgement."""

    nonce: int
    router_id: str


class Compare(NamedTuple):
    """Ask a router whose digest differs to compare the buckets one by one."""

    summary: Summary


class Sketch(NamedTuple):
    """The sender's members in some buckets of a failure domain.

    `entries` takes eight bytes per member: four of its key, four of its version.
    """

    failure_domain: str
    buckets: bytes
    entries: bytes


class Custom(NamedTuple):
    """Payload of another router component that shares the socket and the byte budget."""

    kind: str
    payload: bytes


Message = Probe | Ack | IndirectProbe | Compare | Sketch | News | Custom
