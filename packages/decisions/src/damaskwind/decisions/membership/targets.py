"""The targets known to a router: leases, tombstones and loads.

A target is live until its lease expires, counted from its last renewal at any
router. Renewals are gossiped as packed loads with the age of the announcement, so
that all routers expire the lease at the same time without further communication.
Targets of other failure domains are renewed when a router of their domain
confirms the whole domain by its digest.
"""

from heapq import heappop, heappush
from itertools import islice

from damaskwind.decisions.membership.digests import (
    BUCKETS,
    DigestTable,
    Member,
    target_key,
    target_version,
)
from damaskwind.decisions.membership.live_target import (
    MAX_LEASE_S,
    LiveTarget,
    MergeOutcome,
    make_view,
    record_from_announcement,
    supersedes_tombstone,
)
from damaskwind.decisions.membership.loads import (
    ENTRY_BYTES,
    MAX_AGE_S,
    PackedLoad,
    pack_load,
    sequence_step,
    unpack_loads,
)
from damaskwind.decisions.membership.messages import GoneReason, LeasedTargetRecord, Tombstone
from damaskwind.decisions.membership.tombstones import TombstoneTable
from damaskwind.model.targets import (
    LoadReport,
    TargetAnnouncement,
    TargetView,
)

__all__ = [
    "REMOTE_LEASE_S",
    "MAX_LEASE_S",
    "LiveTarget",
    "MergeOutcome",
    "LeasedTargetTable",
]

REMOTE_LEASE_S = 180.0
_NEVER_S = float("-inf")
_MIN_FRESHNESS_GAIN_S = 0.5
_GAP_SMOOTHING = 0.02


class LeasedTargetTable:
    """All targets known to one router by gossip, each live until its lease expires.

    `target_table.TargetTable` is the table of the processes that targets report to.
    """

    def __init__(self, failure_domain: str, digests: DigestTable) -> None:
        self.failure_domain = failure_domain
        self.lease_floor_s = 0.0
        self.renewal_gap_s = 0.0
        self.live: dict[str, LiveTarget] = {}
        self.members_version = 0
        self.loads_by_vector = False
        self._digests = digests
        self.tombstones = TombstoneTable()
        self.by_load_key: dict[int, str] = {}
        self._queued_local: dict[str, None] = {}
        self._queued_remote: dict[str, None] = {}
        self._confirmed_at_s: dict[tuple[str, int], float] = {}
        self._expiries: list[tuple[float, str]] = []

    # Announcements and records

    def known_incarnation(self, target_id: str) -> int:
        """Return the highest incarnation known of a target, or -1."""
        target = self.live.get(target_id)
        live = target.record.incarnation if target else -1
        return max(live, self.tombstones.incarnation(target_id))

    def announce(self, announcement: TargetAnnouncement, now_s: float) -> MergeOutcome:
        """Merge a target's own announcement that it serves."""
        record = record_from_announcement(announcement)
        target = self.live.get(record.target_id)
        same_incarnation = target is not None and target.record.incarnation == record.incarnation
        if same_incarnation and record.sequence <= target.record.renewed_sequence:
            return MergeOutcome.STALE
        return self.merge(record, now_s)

    def announce_leave(self, announcement: TargetAnnouncement, now_s: float) -> Tombstone | None:
        """Merge a target's own announcement that it leaves; return `None` if it is stale.

        A leave is final for its incarnation, so only a known later incarnation makes it
        stale, whatever its sequence.
        """
        if announcement.incarnation < self.known_incarnation(announcement.target_id):
            return None
        tombstone = Tombstone(
            announcement.target_id,
            announcement.incarnation,
            announcement.sequence,
            GoneReason.LEAVING,
            announcement.failure_domain,
            0.0,
        )
        self.add_tombstone(tombstone, now_s)
        return tombstone

    def merge(self, record: LeasedTargetRecord, now_s: float) -> MergeOutcome:
        """Merge a record from a target itself or from a peer."""
        renewed_at_s = now_s - max(record.age_s, 0.0)
        if now_s >= renewed_at_s + self._lease_s(record):
            return MergeOutcome.EXPIRED
        if self.tombstones.blocks(record):
            return MergeOutcome.TOMBSTONED
        target = self.live.get(record.target_id)
        if target is None:
            self._store(LiveTarget(record, renewed_at_s))
            return MergeOutcome.NEW
        known = target.record
        if record.incarnation < known.incarnation:
            return MergeOutcome.STALE
        if record.incarnation > known.incarnation:
            self._store(LiveTarget(record, renewed_at_s))
            return MergeOutcome.NEW
        return self._merge_same_incarnation(target, record, renewed_at_s)

    def _merge_same_incarnation(
        self, target: LiveTarget, record: LeasedTargetRecord, renewed_at_s: float
    ) -> MergeOutcome:
        """Merge a record of the known incarnation."""
        known = target.record
        is_renewed = record.renewed_sequence > known.renewed_sequence
        is_newer = record.sequence > known.sequence
        has_changed = is_newer and target_version(record) != target_version(known)
        if has_changed:
            sequence = max(record.renewed_sequence, known.renewed_sequence)
            merged = LiveTarget(
                record._replace(renewed_sequence=sequence), max(renewed_at_s, target.renewed_at_s)
            )
            self._store(merged)
            return MergeOutcome.CHANGED
        if not is_renewed:
            return MergeOutcome.KNOWN
        self._renew(target, record.renewed_sequence, renewed_at_s)
        self._set_load(target, record.load_tokens, renewed_at_s - record.load_lag_s, False)
        return MergeOutcome.RENEWED

    def _store(self, target: LiveTarget) -> None:
        """Store a new or changed target."""
        record = target.record
        former = self.live.get(record.target_id)
        if former is not None:
            self.by_load_key.pop(former.load_key, None)
        self.tombstones.drop(record.target_id)
        self.live[record.target_id] = target
        self.members_version += 1
        self.by_load_key[target.load_key] = record.target_id
        self._queue_load(record)
        member = Member(False, record.target_id, target_version(record))
        self._digests.put(record.failure_domain, target_key(record.target_id), member)
        heappush(self._expiries, (self.expires_s(target), record.target_id))

    # Leases

    def _lease_s(self, record: LeasedTargetRecord) -> float:
        """Return the effective lease duration of a target at this router."""
        if record.failure_domain == self.failure_domain:
            return max(record.lease_s, self.lease_floor_s)
        return max(record.lease_s, REMOTE_LEASE_S)

    def renewed_at_s(self, target: LiveTarget) -> float:
        """Return when a target was last renewed or confirmed."""
        record = target.record
        if record.failure_domain == self.failure_domain:
            return target.renewed_at_s
        bucket = (record.failure_domain, target_key(record.target_id) % BUCKETS)
        return max(target.renewed_at_s, self._confirmed_at_s.get(bucket, _NEVER_S))

    def expires_s(self, target: LiveTarget) -> float:
        """Return when the lease of a target expires."""
        return self.renewed_at_s(target) + self._lease_s(target.record)

    def confirm_buckets(
        self, failure_domain: str, buckets: list[int], age_s: float, now_s: float
    ) -> None:
        """Renew the targets in some buckets of another failure domain."""
        for bucket in buckets:
            key = (failure_domain, bucket)
            self._confirmed_at_s[key] = max(
                self._confirmed_at_s.get(key, _NEVER_S), now_s - max(age_s, 0.0)
            )

    def confirmed_age_s(self, failure_domain: str, now_s: float) -> float:
        """Return the time since a whole domain was confirmed; 0 for the local domain."""
        if failure_domain == self.failure_domain:
            return 0.0
        oldest = min(
            self._confirmed_at_s.get((failure_domain, b), _NEVER_S) for b in range(BUCKETS)
        )
        return now_s - oldest

    def expire_leases(self, now_s: float) -> list[Tombstone]:
        """Remove targets whose leases have expired, and return their tombstones."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_s:
            _, target_id = heappop(self._expiries)
            target = self.live.get(target_id)
            if target is None:
                continue
            expires_s = self.expires_s(target)
            if expires_s > now_s:
                heappush(self._expiries, (expires_s, target_id))
                continue
            record = target.record
            tombstone = Tombstone(
                target_id,
                record.incarnation,
                record.renewed_sequence,
                GoneReason.LAPSED,
                record.failure_domain,
                0.0,
            )
            self.add_tombstone(tombstone, now_s)
            expired.append(tombstone)
        return expired

    def overdue_keys(self, share: float, now_s: float) -> list[int]:
        """Return the keys of local targets that have used up more than a share of their lease."""
        keys = []
        for target_id, target in self.live.items():
            record = target.record
            if record.failure_domain != self.failure_domain:
                continue
            if now_s - target.renewed_at_s > share * self._lease_s(record):
                keys.append(target_key(target_id))
        return keys

    # Tombstones

    def add_tombstone(self, tombstone: Tombstone, now_s: float) -> bool:
        """Store a tombstone and remove its target; tell whether the tombstone was new."""
        target = self.live.get(tombstone.target_id)
        if target is not None and supersedes_tombstone(target.record, tombstone):
            return False
        if not self.tombstones.put(tombstone, now_s):
            return False
        if target is not None:
            del self.live[tombstone.target_id]
            self.members_version += 1
            self.by_load_key.pop(target.load_key, None)
            self._dequeue_load(tombstone.target_id)
            self._digests.remove(target_key(tombstone.target_id))
        return True

    # Loads

    def observe(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Record a load reported with a response; it does not renew the lease."""
        target = self.live.get(target_id)
        if target is not None:
            self._set_load(target, report.load_tokens, now_s - max(report.age_s, 0.0), True)

    def merge_loads(self, packed: bytes, now_s: float) -> list[str]:
        """Merge packed loads; return the targets whose load became fresher."""
        fresher_ids = []
        for entry in unpack_loads(packed):
            target_id = self.by_load_key.get(entry.key)
            if target_id is None or entry.age_s >= MAX_AGE_S:
                continue
            if self._merge_load(self.live[target_id], entry, now_s - entry.age_s):
                fresher_ids.append(target_id)
        return fresher_ids

    def merge_observed_load(
        self, target_id: str, load_tokens: int, measured_at_s: float, min_gain_s: float
    ) -> bool:
        """Merge a load from a vector; tell whether it was fresher. It renews no lease."""
        target = self.live[target_id]
        return self._set_load(target, load_tokens, measured_at_s, True, min_gain_s)

    def merge_renewal(self, target_id: str, low_bits: int, renewed_at_s: float) -> bool:
        """Merge a renewal by the low bits of its sequence; tell whether it was newer."""
        target = self.live[target_id]
        step = sequence_step(target.record.renewed_sequence, low_bits)
        if step:
            self._renew(target, target.record.renewed_sequence + step, renewed_at_s)
        else:
            # The sender has this renewal already: it needs one transmission less.
            target.transmissions += target.record.renewed_sequence % 16 == low_bits
        return step > 0

    def _merge_load(self, target: LiveTarget, entry: PackedLoad, received_at_s: float) -> bool:
        """Merge one load: a renewal by its sequence, an observed load by its age."""
        record = target.record
        if entry.observed:
            return self._set_load(target, entry.load_tokens, received_at_s, True)
        if not self.merge_renewal(record.target_id, entry.sequence, received_at_s):
            return False
        return self._set_load(target, entry.load_tokens, received_at_s - record.load_lag_s, False)

    def resend_renewal(self, key: int) -> None:
        """Send a target's renewal again because a peer requested it."""
        member = self._digests.member(key)
        target = self.live.get(member.name) if member else None
        if target is not None:
            target.transmissions = 0
            self._queue_load(target.record)

    def pack_loads(
        self,
        limit_bytes: int,
        max_transmissions: int,
        now_s: float,
        only: set[str] | None = None,
    ) -> bytes:
        """Pack local loads, least sent and then freshest first, followed by remote ones."""
        entries = max(limit_bytes // ENTRY_BYTES, 0)
        fresh = self._queued_local if only is None else only.intersection(self._queued_local)
        chosen = sorted(fresh, key=self._load_order)[:entries]
        chosen += islice(self._queued_remote, entries - len(chosen))
        return b"".join(self._pack(target_id, max_transmissions, now_s) for target_id in chosen)

    def _load_order(self, target_id: str) -> tuple[int, float]:
        """Return the sort key of queued loads: least sent first, then freshest."""
        target = self.live[target_id]
        return (target.transmissions, -target.measured_at_s)

    def _queue_load(self, record: LeasedTargetRecord) -> None:
        """Queue a target's load for gossip."""
        is_local = record.failure_domain == self.failure_domain
        (self._queued_local if is_local else self._queued_remote)[record.target_id] = None

    def _dequeue_load(self, target_id: str) -> None:
        """Remove a target's load from the gossip queues."""
        self._queued_local.pop(target_id, None)
        self._queued_remote.pop(target_id, None)

    def _pack(self, target_id: str, max_transmissions: int, now_s: float) -> bytes:
        """Pack one target's load and count the transmission."""
        target = self.live[target_id]
        target.transmissions += 1
        # Alternate between an observed load and the renewal.
        observed = target.observed and target.transmissions % 2 == 0
        age_s = now_s - (target.measured_at_s if observed else target.renewed_at_s)
        if target.transmissions >= max_transmissions or age_s >= MAX_AGE_S:
            self._dequeue_load(target_id)
        if age_s >= MAX_AGE_S:
            return b""
        record = target.record
        return pack_load(
            target.load_key, record.renewed_sequence, record.load_tokens, observed, age_s
        )

    def _renew(self, target: LiveTarget, sequence: int, renewed_at_s: float) -> None:
        """Extend a lease and queue the renewal for gossip."""
        if target.record.failure_domain == self.failure_domain:
            gap_s = max(renewed_at_s - target.renewed_at_s, 0.0)
            self.renewal_gap_s += _GAP_SMOOTHING * (gap_s - self.renewal_gap_s)
        target.record = target.record._replace(renewed_sequence=sequence)
        target.renewed_at_s = max(target.renewed_at_s, renewed_at_s)
        target.transmissions = 0
        self._queue_load(target.record)

    def _set_load(
        self,
        target: LiveTarget,
        load_tokens: int,
        measured_at_s: float,
        observed: bool,
        min_gain_s: float = _MIN_FRESHNESS_GAIN_S,
    ) -> bool:
        """Store a load if it is fresher than the known one by more than `min_gain_s`."""
        if measured_at_s <= target.measured_at_s + min_gain_s:
            return False
        target.record = target.record._replace(load_tokens=load_tokens)
        target.measured_at_s = measured_at_s
        target.observed = observed
        if not (observed and self.loads_by_vector):
            target.transmissions = min(target.transmissions, 1)
            self._queue_load(target.record)
        return True

    # Views

    def record(self, target_id: str, now_s: float) -> LeasedTargetRecord | None:
        """Return a target's record with its current age, for a peer."""
        target = self.live.get(target_id)
        if target is None:
            return None
        return target.record._replace(age_s=max(now_s - self.renewed_at_s(target), 0.0))

    def load_report(self, target_id: str, now_s: float) -> LoadReport:
        """Return the load of a live target with its age."""
        view = self.view(target_id, now_s)
        return LoadReport(int(view.load_tokens), view.capacity_tokens, 0, 0, view.report_age_s)

    def view(self, target_id: str, now_s: float) -> TargetView:
        """Return a live target in the form used by placement."""
        return make_view(self.live[target_id], now_s)
