"""The messages that routers send each other, and the records inside them.

All times are ages in seconds, counted by the sender's monotonic clock up to the
moment of sending, so that no two clocks need to agree.
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
    "TargetRecord",
    "Tombstone",
]


class RouterState(IntEnum):
    """Where a router stands; at equal incarnations the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class GoneReason(IntEnum):
    """Why a target is gone: by its own word, or because its lease ran out."""

    LAPSED = 0
    LEAVING = 1


class RouterRecord(NamedTuple):
    """A router as the fleet knows it.

    `address` takes datagrams, `peer_address` calls from other processes.
    """

    router_id: str
    incarnation: int
    state: RouterState
    failure_domain: str
    address: Address
    peer_address: Address


class TargetRecord(NamedTuple):
    """A live target: its announcement, and the age of its last renewal.

    `sequence` is that of the announcement, `renewed_sequence` that of the last
    renewal heard since. `load_lag_s` is how old a load measurement is when the
    target sends it.
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
    """A target that is gone, as of an incarnation and a sequence."""

    target_id: str
    incarnation: int
    sequence: int
    reason: GoneReason
    failure_domain: str
    age_s: float


class Summary(NamedTuple):
    """The digest of a failure domain's live routers and targets.

    `age_s` is how long ago a router of that domain vouched for it. `digests`
    holds four bytes in all, or four bytes for each bucket in a `Compare`.
    """

    failure_domain: str
    age_s: float
    digests: bytes


class News(NamedTuple):
    """Records to merge, and the keys of those whose records the sender wants.

    A `repair` levels two routers with each other and is not passed on. `spills` are
    spill notes, packed as `damaskwind.decisions.membership.spill_gossip` says.
    """

    routers: tuple[RouterRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    tombstones: tuple[Tombstone, ...] = ()
    wanted: bytes = b""
    repair: bool = False
    spills: bytes = b""


class Probe(NamedTuple):
    """Ask a router whether it lives, with news and loads on the way.

    The sender's `revision` is the configuration it has in force; `loads` are
    packed as `damaskwind.decisions.membership.loads` says, `vector` as `load_vector`
    says. `sender` introduces a router that the other one may not know. `overdue` are
    the keys of targets whose renewal the sender has not heard for long.
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
    """Answer a probe, with news and loads on the way.

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
    """Ask a router to probe another one and to pass its answer on."""

    nonce: int
    router_id: str


class Compare(NamedTuple):
    """Ask a router whose digest differs to compare bucket by bucket."""

    summary: Summary


class Sketch(NamedTuple):
    """What the sender holds in some buckets of a failure domain.

    `entries` are eight bytes a target: four of its key, four of its version.
    """

    failure_domain: str
    buckets: bytes
    entries: bytes


class Custom(NamedTuple):
    """Bytes of another part of the router, which shares the socket and the budget."""

    kind: str
    payload: bytes


Message = Probe | Ack | IndirectProbe | Compare | Sketch | News | Custom
