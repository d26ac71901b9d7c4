"""The targets that a router knows: leases, tombstones, loads.

A target lives as long as its lease, counted from its last renewal, whoever
heard it. Renewals travel as packed loads with the age of the announcement, so
that every router ends the lease at the same moment by itself, without a word.
Targets of other failure domains are renewed when a router of their domain
vouches for the whole domain by its digest.
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
from damaskwind.decisions.membership.messages import GoneReason, TargetRecord, Tombstone
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
    "TargetTable",
]

REMOTE_LEASE_S = 180.0
_NEVER_S = float("-inf")
_MIN_FRESHNESS_GAIN_S = 0.5
_GAP_SMOOTHING = 0.02


class TargetTable:
    """All targets that one router knows."""

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
        held = self.live.get(target_id)
        live = held.record.incarnation if held else -1
        return max(live, self.tombstones.incarnation(target_id))

    def announce(self, announcement: TargetAnnouncement, now_s: float) -> MergeOutcome:
        """Take a target's own word that it serves."""
        record = record_from_announcement(announcement)
        held = self.live.get(record.target_id)
        same = held is not None and held.record.incarnation == record.incarnation
        if same and record.sequence <= held.record.renewed_sequence:
            return MergeOutcome.STALE
        return self.merge(record, now_s)

    def announce_leave(self, announcement: TargetAnnouncement, now_s: float) -> Tombstone | None:
        """Take a target's own word that it leaves; `None` when that is stale.

        A leave ends its incarnation for good, so only a known later incarnation
        makes it stale, whatever its sequence.
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

    def merge(self, record: TargetRecord, now_s: float) -> MergeOutcome:
        """Take a record, from a target itself or from a peer."""
        renewed_at_s = now_s - max(record.age_s, 0.0)
        if now_s >= renewed_at_s + self._lease_s(record):
            return MergeOutcome.EXPIRED
        if self.tombstones.blocks(record):
            return MergeOutcome.TOMBSTONED
        held = self.live.get(record.target_id)
        if held is None:
            self._store(LiveTarget(record, renewed_at_s))
            return MergeOutcome.NEW
        known = held.record
        if record.incarnation < known.incarnation:
            return MergeOutcome.STALE
        if record.incarnation > known.incarnation:
            self._store(LiveTarget(record, renewed_at_s))
            return MergeOutcome.NEW
        return self._merge_same_incarnation(held, record, renewed_at_s)

    def _merge_same_incarnation(
        self, held: LiveTarget, record: TargetRecord, renewed_at_s: float
    ) -> MergeOutcome:
        """Take a record of the incarnation already held."""
        known = held.record
        renewed = record.renewed_sequence > known.renewed_sequence
        newer = record.sequence > known.sequence
        changed = newer and target_version(record) != target_version(known)
        if changed:
            sequence = max(record.renewed_sequence, known.renewed_sequence)
            fresher = LiveTarget(
                record._replace(renewed_sequence=sequence), max(renewed_at_s, held.renewed_at_s)
            )
            self._store(fresher)
            return MergeOutcome.CHANGED
        if not renewed:
            return MergeOutcome.KNOWN
        self._renew(held, record.renewed_sequence, renewed_at_s)
        self._set_load(held, record.load_tokens, renewed_at_s - record.load_lag_s, False)
        return MergeOutcome.RENEWED

    def _store(self, held: LiveTarget) -> None:
        """Hold a target anew."""
        record = held.record
        former = self.live.get(record.target_id)
        if former is not None:
            self.by_load_key.pop(former.load_key, None)
        self.tombstones.drop(record.target_id)
        self.live[record.target_id] = held
        self.members_version += 1
        self.by_load_key[held.load_key] = record.target_id
        self._queue_load(record)
        member = Member(False, record.target_id, target_version(record))
        self._digests.put(record.failure_domain, target_key(record.target_id), member)
        heappush(self._expiries, (self.expires_s(held), record.target_id))

    # Leases

    def _lease_s(self, record: TargetRecord) -> float:
        """Return how long a renewal lasts here."""
        if record.failure_domain == self.failure_domain:
            return max(record.lease_s, self.lease_floor_s)
        return max(record.lease_s, REMOTE_LEASE_S)

    def renewed_at_s(self, held: LiveTarget) -> float:
        """Return when a target was last known to live."""
        record = held.record
        if record.failure_domain == self.failure_domain:
            return held.renewed_at_s
        bucket = (record.failure_domain, target_key(record.target_id) % BUCKETS)
        return max(held.renewed_at_s, self._confirmed_at_s.get(bucket, _NEVER_S))

    def expires_s(self, held: LiveTarget) -> float:
        """Return when the lease of a target ends."""
        return self.renewed_at_s(held) + self._lease_s(held.record)

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
        """Return how long ago a whole domain was vouched for; 0 for the own one."""
        if failure_domain == self.failure_domain:
            return 0.0
        oldest = min(
            self._confirmed_at_s.get((failure_domain, b), _NEVER_S) for b in range(BUCKETS)
        )
        return now_s - oldest

    def expire_leases(self, now_s: float) -> list[Tombstone]:
        """End the leases that are over and return their tombstones."""
        lapsed = []
        while self._expiries and self._expiries[0][0] <= now_s:
            _, target_id = heappop(self._expiries)
            held = self.live.get(target_id)
            if held is None:
                continue
            expires_s = self.expires_s(held)
            if expires_s > now_s:
                heappush(self._expiries, (expires_s, target_id))
                continue
            record = held.record
            tombstone = Tombstone(
                target_id,
                record.incarnation,
                record.renewed_sequence,
                GoneReason.LAPSED,
                record.failure_domain,
                0.0,
            )
            self.add_tombstone(tombstone, now_s)
            lapsed.append(tombstone)
        return lapsed

    def overdue_keys(self, share: float, now_s: float) -> list[int]:
        """Return the keys of own targets whose lease is used up by this share."""
        keys = []
        for target_id, held in self.live.items():
            record = held.record
            if record.failure_domain != self.failure_domain:
                continue
            if now_s - held.renewed_at_s > share * self._lease_s(record):
                keys.append(target_key(target_id))
        return keys

    # Tombstones

    def add_tombstone(self, tombstone: Tombstone, now_s: float) -> bool:
        """Keep a tombstone and drop the target; tell whether it was news."""
        held = self.live.get(tombstone.target_id)
        if held is not None and supersedes_tombstone(held.record, tombstone):
            return False
        if not self.tombstones.put(tombstone, now_s):
            return False
        if held is not None:
            del self.live[tombstone.target_id]
            self.members_version += 1
            self.by_load_key.pop(held.load_key, None)
            self._dequeue_load(tombstone.target_id)
            self._digests.remove(target_key(tombstone.target_id))
        return True

    # Loads

    def observe(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Take a load that came with an answer; it renews no lease."""
        held = self.live.get(target_id)
        if held is not None:
            self._set_load(held, report.load_tokens, now_s - max(report.age_s, 0.0), True)

    def merge_loads(self, packed: bytes, now_s: float) -> list[str]:
        """Take a load vector; return the targets whose load is fresher now."""
        fresher = []
        for entry in unpack_loads(packed):
            target_id = self.by_load_key.get(entry.key)
            if target_id is None or entry.age_s >= MAX_AGE_S:
                continue
            if self._merge_load(self.live[target_id], entry, now_s - entry.age_s):
                fresher.append(target_id)
        return fresher

    def merge_observed_load(
        self, target_id: str, load_tokens: int, measured_at_s: float, min_gain_s: float
    ) -> bool:
        """Take a load from a vector; tell whether it is fresher. It renews no lease."""
        held = self.live[target_id]
        return self._set_load(held, load_tokens, measured_at_s, True, min_gain_s)

    def merge_renewal(self, target_id: str, low_bits: int, renewed_at_s: float) -> bool:
        """Take a renewal by the low bits of its sequence; tell whether it is news."""
        held = self.live[target_id]
        step = sequence_step(held.record.renewed_sequence, low_bits)
        if step:
            self._renew(held, held.record.renewed_sequence + step, renewed_at_s)
        else:
            # Whoever sent it knows it already: it needs passing on once less.
            held.transmissions += held.record.renewed_sequence % 16 == low_bits
        return step > 0

    def _merge_load(self, held: LiveTarget, entry: PackedLoad, heard_at_s: float) -> bool:
        """Take one load: a renewal by its sequence, one seen on an answer by its age."""
        record = held.record
        if entry.observed:
            return self._set_load(held, entry.load_tokens, heard_at_s, True)
        if not self.merge_renewal(record.target_id, entry.sequence, heard_at_s):
            return False
        return self._set_load(held, entry.load_tokens, heard_at_s - record.load_lag_s, False)

    def resend_renewal(self, key: int) -> None:
        """Pass a target's renewal on once more, since a peer asked for it."""
        member = self._digests.member(key)
        held = self.live.get(member.name) if member else None
        if held is not None:
            held.transmissions = 0
            self._queue_load(held.record)

    def pack_loads(
        self,
        limit_bytes: int,
        max_transmissions: int,
        now_s: float,
        only: set[str] | None = None,
    ) -> bytes:
        """Return the loads passed on least, the freshest first, then other domains'."""
        entries = max(limit_bytes // ENTRY_BYTES, 0)
        fresh = self._queued_local if only is None else only.intersection(self._queued_local)
        chosen = sorted(fresh, key=self._load_order)[:entries]
        chosen += islice(self._queued_remote, entries - len(chosen))
        return b"".join(self._pack(target_id, max_transmissions, now_s) for target_id in chosen)

    def _load_order(self, target_id: str) -> tuple[int, float]:
        """Return what puts one load before another: passed on least, fresh."""
        held = self.live[target_id]
        return (held.transmissions, -held.measured_at_s)

    def _queue_load(self, record: TargetRecord) -> None:
        """Mark a target's load to be passed on."""
        near = record.failure_domain == self.failure_domain
        (self._queued_local if near else self._queued_remote)[record.target_id] = None

    def _dequeue_load(self, target_id: str) -> None:
        """Pass a target's load on no more."""
        self._queued_local.pop(target_id, None)
        self._queued_remote.pop(target_id, None)

    def _pack(self, target_id: str, max_transmissions: int, now_s: float) -> bytes:
        """Pack one target's load and count that it was passed on."""
        held = self.live[target_id]
        held.transmissions += 1
        # Every other time the load seen on an answer goes out, else the renewal.
        observed = held.observed and held.transmissions % 2 == 0
        age_s = now_s - (held.measured_at_s if observed else held.renewed_at_s)
        if held.transmissions >= max_transmissions or age_s >= MAX_AGE_S:
            self._dequeue_load(target_id)
        if age_s >= MAX_AGE_S:
            return b""
        record = held.record
        return pack_load(
            held.load_key, record.renewed_sequence, record.load_tokens, observed, age_s
        )

    def _renew(self, held: LiveTarget, sequence: int, renewed_at_s: float) -> None:
        """Move a lease on."""
        if held.record.failure_domain == self.failure_domain:
            gap_s = max(renewed_at_s - held.renewed_at_s, 0.0)
            self.renewal_gap_s += _GAP_SMOOTHING * (gap_s - self.renewal_gap_s)
        held.record = held.record._replace(renewed_sequence=sequence)
        held.renewed_at_s = max(held.renewed_at_s, renewed_at_s)
        held.transmissions = 0
        self._queue_load(held.record)

    def _set_load(
        self,
        held: LiveTarget,
        load_tokens: int,
        measured_at_s: float,
        observed: bool,
        min_gain_s: float = _MIN_FRESHNESS_GAIN_S,
    ) -> bool:
        """Take a load when it is fresher than the one held."""
        if measured_at_s <= held.measured_at_s + min_gain_s:
            return False
        held.record = held.record._replace(load_tokens=load_tokens)
        held.measured_at_s = measured_at_s
        held.observed = observed
        if not (observed and self.loads_by_vector):
            held.transmissions = min(held.transmissions, 1)
            self._queue_load(held.record)
        return True

    # Views

    def record(self, target_id: str, now_s: float) -> TargetRecord | None:
        """Return a target's record with its age, for a peer."""
        held = self.live.get(target_id)
        if held is None:
            return None
        return held.record._replace(age_s=max(now_s - self.renewed_at_s(held), 0.0))

    def load_report(self, target_id: str, now_s: float) -> LoadReport:
        """Return the load of a held target with its age."""
        view = self.view(target_id, now_s)
        return LoadReport(int(view.load_tokens), view.capacity_tokens, 0, 0, view.report_age_s)

    def view(self, target_id: str, now_s: float) -> TargetView:
        """Return a held target as the placement wants it."""
        return make_view(self.live[target_id], now_s)
