"""The state that a router keeps of a live target."""

from enum import Enum

from damaskwind.decisions.membership.loads import load_key
from damaskwind.decisions.membership.messages import GoneReason, LeasedTargetRecord, Tombstone
from damaskwind.model.targets import TargetAnnouncement, TargetState, TargetView

__all__ = [
    "MAX_LEASE_S",
    "LiveTarget",
    "MergeOutcome",
    "supersedes_tombstone",
    "record_from_announcement",
    "make_view",
]

MAX_LEASE_S = 60.0
MIN_LEASE_S = 1.0


class LiveTarget:
    """A live target: its record and the state that changes with each renewal."""

    __slots__ = ("load_key", "measured_at_s", "observed", "record", "renewed_at_s", "transmissions")

    def __init__(self, record: LeasedTargetRecord, renewed_at_s: float) -> None:
        self.record = record
        self.renewed_at_s = renewed_at_s
        self.measured_at_s = renewed_at_s - record.load_lag_s
        self.observed = False
        self.transmissions = 0
        self.load_key = load_key(record.target_id, record.incarnation)


def record_from_announcement(announcement: TargetAnnouncement) -> LeasedTargetRecord:
    """Convert a target's announcement to a record of age zero."""
    load = announcement.load
    return LeasedTargetRecord(
        announcement.target_id,
        announcement.incarnation,
        announcement.sequence,
        announcement.sequence,
        announcement.kind,
        announcement.service,
        announcement.failure_domain,
        announcement.address,
        min(max(announcement.lease_s, MIN_LEASE_S), MAX_LEASE_S),
        0.0,
        max(load.age_s, 0.0),
        load.load_tokens,
        load.capacity_tokens,
        announcement.models,
        announcement.fencing,
    )


class MergeOutcome(Enum):
    """Result of merging a record received from a target or a peer."""

    NEW = "new"
    CHANGED = "changed"
    RENEWED = "renewed"
    KNOWN = "known"
    STALE = "stale"
    TOMBSTONED = "tombstoned"
    EXPIRED = "expired"


def supersedes_tombstone(record: LeasedTargetRecord, tombstone: Tombstone) -> bool:
    """Tell whether a live record supersedes a tombstone."""
    if record.incarnation != tombstone.incarnation:
        return record.incarnation > tombstone.incarnation
    is_lapsed = tombstone.reason == GoneReason.LAPSED
    return is_lapsed and record.renewed_sequence > tombstone.sequence


def make_view(target: LiveTarget, now_s: float) -> TargetView:
    """Return a live target in the form used by placement."""
    record = target.record
    return TargetView(
        record.target_id,
        record.incarnation,
        record.kind,
        record.service,
        record.failure_domain,
        record.address,
        TargetState.SERVING,
        float(record.load_tokens),
        record.capacity_tokens,
        max(now_s - target.measured_at_s, 0.0),
        record.models,
    )
