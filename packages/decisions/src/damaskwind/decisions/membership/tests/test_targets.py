from unittest import TestCase

from damaskwind.decisions.membership.digests import DigestTable
from damaskwind.decisions.membership.loads import pack_load
from damaskwind.decisions.membership.messages import GoneReason
from damaskwind.decisions.membership.targets import (
    MAX_LEASE_S,
    REMOTE_LEASE_S,
    LeasedTargetTable,
    MergeOutcome,
)
from damaskwind.decisions.membership.tests.samples import announcement
from damaskwind.decisions.membership.tombstones import TOMBSTONE_S
from damaskwind.model.targets import LoadReport, TargetState


class LeasedTargetTableTest(TestCase):
    def setUp(self) -> None:
        self.table = LeasedTargetTable("a", DigestTable())
        self.peer = LeasedTargetTable("a", DigestTable())

    def load(self, sequence: int, tokens: int, observed: bool = False, age_s: float = 0.0) -> bytes:
        key = self.table.live["target"].load_key
        return pack_load(key, sequence, tokens, observed, age_s)

    def test_old_gossip_does_not_resurrect_a_target_that_left(self):
        self.peer.announce(announcement(sequence=9), 0.0)
        self.table.announce(announcement(sequence=1), 0.0)
        self.table.announce_leave(announcement(sequence=2, state=TargetState.LEAVING), 1.0)
        stale = self.peer.record("target", 1.5)
        self.assertEqual(self.table.merge(stale, 1.5), MergeOutcome.TOMBSTONED)
        self.assertNotIn("target", self.table.live)
        self.assertEqual(
            self.table.announce(announcement(sequence=50), 2.0), MergeOutcome.TOMBSTONED
        )
        self.assertEqual(self.table.announce(announcement(incarnation=2), 2.0), MergeOutcome.NEW)

    def test_a_leave_is_final_even_after_a_later_sequence(self):
        self.table.announce(announcement(sequence=9), 0.0)
        late = announcement(sequence=3, state=TargetState.LEAVING)
        self.assertIsNotNone(self.table.announce_leave(late, 1.0))
        self.table.announce(announcement(incarnation=2), 1.0)
        self.assertIsNone(self.table.announce_leave(late, 1.0))

    def test_a_tombstone_outlives_every_record_it_must_reject(self):
        self.assertGreater(TOMBSTONE_S, REMOTE_LEASE_S + MAX_LEASE_S)
        self.peer.announce(announcement(lease_s=1e9), 0.0)
        self.table.announce_leave(announcement(sequence=2, state=TargetState.LEAVING), 0.0)
        kept = self.peer.record("target", 0.0)
        self.table.tombstones.expire(TOMBSTONE_S - 1.0)
        self.assertEqual(self.table.merge(kept, TOMBSTONE_S - 1.0), MergeOutcome.TOMBSTONED)
        self.table.tombstones.expire(TOMBSTONE_S + 1.0)
        aged = kept._replace(age_s=TOMBSTONE_S + 1.0)
        self.assertEqual(self.table.merge(aged, TOMBSTONE_S + 1.0), MergeOutcome.EXPIRED)
        self.peer.expire_leases(MAX_LEASE_S + 0.1)
        self.assertIsNone(self.peer.record("target", MAX_LEASE_S + 0.1))

    def test_an_expired_lease_yields_only_to_a_later_renewal(self):
        self.table.announce(announcement(sequence=3), 0.0)
        same = self.table.record("target", 0.0)
        self.assertEqual(self.table.expire_leases(5.9), [])
        self.assertEqual(self.table.expire_leases(6.1)[0].reason, GoneReason.LAPSED)
        self.assertEqual(self.table.merge(same, 6.1), MergeOutcome.TOMBSTONED)
        later = same._replace(renewed_sequence=4)
        self.assertEqual(self.table.merge(later, 6.1), MergeOutcome.NEW)

    def test_a_record_keeps_its_age_from_router_to_router(self):
        self.table.announce(announcement(), 0.0)
        self.peer.merge(self.table.record("target", 4.0), 104.0)
        self.assertEqual(len(self.peer.expire_leases(106.1)), 1)

    def test_a_packed_load_renews_the_lease_and_an_observed_one_does_not(self):
        self.table.announce(announcement(sequence=1), 0.0)
        self.table.merge_loads(self.load(2, 50, age_s=1.0), 5.0)
        self.assertEqual(self.table.expire_leases(9.9), [])
        self.table.merge_loads(self.load(2, 70, observed=True), 9.9)
        self.assertEqual(self.table.view("target", 9.9).load_tokens, 70)
        self.assertEqual(len(self.table.expire_leases(10.1)), 1)

    def test_a_late_or_repeated_load_changes_nothing(self):
        self.table.announce(announcement(sequence=8, load_tokens=40), 0.0)
        for sequence in (8, 7, 3):
            self.table.merge_loads(self.load(sequence, 900), 3.0)
        self.assertEqual(self.table.view("target", 3.0).load_tokens, 40)
        self.assertEqual(self.table.expires_s(self.table.live["target"]), 6.0)

    def test_a_load_of_a_former_incarnation_is_ignored(self):
        self.table.announce(announcement(sequence=1), 0.0)
        old = self.load(5, 900)
        self.table.announce(announcement(incarnation=2, load_tokens=40), 1.0)
        self.table.merge_loads(old, 2.0)
        self.assertEqual(self.table.view("target", 2.0).load_tokens, 40)

    def test_changed_content_wins_by_its_own_sequence(self):
        self.table.announce(announcement(sequence=1), 0.0)
        self.peer.announce(announcement(sequence=1), 0.0)
        changed = announcement(sequence=2)._replace(service="other")
        self.table.announce(changed, 1.0)
        self.peer.merge_loads(self.load(5, 1), 1.0)
        outcome = self.peer.merge(self.table.record("target", 1.0), 1.0)
        self.assertEqual(outcome, MergeOutcome.CHANGED)
        self.assertEqual(self.peer.live["target"].record.renewed_sequence, 5)
        outcome = self.table.merge(self.peer.record("target", 1.0), 1.0)
        self.assertEqual(self.table.live["target"].record.service, "other", outcome)

    def test_observed_loads_alternate_with_renewals(self):
        self.table.announce(announcement(sequence=1), 0.0)
        self.table.observe("target", LoadReport(77, 1000, 1, 0, 0.0), 2.0)
        self.peer.announce(announcement(sequence=1), 0.0)
        for _ in range(2):
            self.peer.merge_loads(self.table.pack_loads(60, 9, 2.0), 2.0)
        self.assertEqual(self.peer.view("target", 2.0).load_tokens, 77)
        self.assertEqual(self.peer.expires_s(self.peer.live["target"]), 6.0)

    def test_targets_of_another_domain_are_live_while_it_confirms_them(self):
        self.table.announce(announcement(domain="b"), 0.0)
        self.table.confirm_buckets("b", list(range(16)), 10.0, 110.0)
        self.assertEqual(self.table.expire_leases(99.0 + REMOTE_LEASE_S), [])
        self.assertEqual(len(self.table.expire_leases(101.0 + REMOTE_LEASE_S)), 1)
