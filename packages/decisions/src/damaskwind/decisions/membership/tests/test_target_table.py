"""Tests of the target table with single cases and with shuffled histories."""

import unittest
from random import Random

import xxhash
from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.membership.target_table import (
    STALE_INCARNATION_S,
    TOMBSTONE_S,
    TargetTable,
)
from damaskwind.model.targets import Address


def record(target_id="t", phase=TargetPhase.SERVING, sequence=1, port=1, born_ms=0):
    address = Address("127.0.0.1", port)
    return TargetRecord(target_id, "s", address, "d", phase, sequence, 4, born_ms=born_ms)


def table_ids(records):
    return {item.target_id for item in records}


RECORDS = st.lists(
    st.builds(
        record,
        st.sampled_from(["a", "b"]),
        st.sampled_from(list(TargetPhase)),
        st.integers(0, 5),
        born_ms=st.integers(0, 2),
    ),
    max_size=12,
)


def with_versions(records, known):
    """Give the records software versions where `known` is set, one for each incarnation."""
    pairs = zip(records, known, strict=False)
    return [item._replace(version=f"v{item.born_ms}" if has else "") for item, has in pairs]


VERSIONED = st.builds(with_versions, RECORDS, st.lists(st.booleans(), min_size=12, max_size=12))


class TargetTableTest(unittest.TestCase):
    def test_late_report_does_not_revive_a_gone_target(self):
        table = TargetTable()
        table.merge(record(sequence=5), 0.0)
        self.assertTrue(table.leave("t", 1.0))
        self.assertFalse(table.merge(record(sequence=9), 2.0))
        self.assertEqual(table.serving(), [])

    def test_leave_of_an_unknown_target_is_stored(self):
        table = TargetTable()
        table.leave("t", 0.0)
        self.assertFalse(table.merge(record(sequence=9), 1.0))

    def test_leaving_is_final_but_not_gone(self):
        table = TargetTable()
        table.merge(record(phase=TargetPhase.LEAVING, sequence=3), 0.0)
        self.assertFalse(table.merge(record(sequence=4), 0.0))
        self.assertEqual(table.serving(), [])
        self.assertEqual(len(table.serving_or_leaving()), 1)

    def test_heartbeat_without_changes_keeps_the_revision(self):
        table = TargetTable()
        table.merge(record(sequence=1), 0.0)
        before = table.revision
        self.assertFalse(table.merge(record(sequence=2), 1.0))
        self.assertEqual(table.revision, before)
        self.assertEqual(table.last_seen_s("t"), 1.0)

    def test_changed_address_is_a_change(self):
        table = TargetTable()
        table.merge(record(sequence=1), 0.0)
        revision = table.revision
        self.assertTrue(table.merge(record(sequence=2, port=2), 1.0))
        self.assertEqual(table.changed_since(revision).records, (record(sequence=2, port=2),))

    def test_tombstone_outlives_a_silent_target(self):
        table = TargetTable()
        table.merge(record("quiet"), 0.0)
        table.leave("gone", 0.0)
        self.assertEqual(table.forget(50.0), ["quiet"])
        self.assertFalse(table.merge(record("gone"), 50.0))
        self.assertEqual(table.forget(61.0), ["gone"])

    def test_restarted_target_serves_at_once_with_new_sequence_numbers(self):
        table = TargetTable()
        table.merge(record(sequence=40)._replace(born_ms=5), 0.0)
        table.leave("t", 1.0, 900)
        for sequence in (0, 1, 2):
            again = record(sequence=sequence)._replace(born_ms=6)
            self.assertEqual(table.merge(again, 2.0 + sequence), sequence == 0)
        self.assertEqual([item.born_ms for item in table.serving()], [6])
        self.assertLess(table.age_s("t", 4.0, 1.2), 4.0)

    def test_late_report_of_a_former_incarnation_does_not_change_the_next(self):
        former = record(sequence=41)._replace(born_ms=5)
        late = (
            former,
            former._replace(phase=TargetPhase.LEAVING),
            former._replace(phase=TargetPhase.GONE, service=""),
            record(sequence=99),
            record(sequence=99, phase=TargetPhase.GONE),
        )
        table = TargetTable()
        table.merge(record(sequence=0)._replace(born_ms=6), 0.0)
        for item in late:
            self.assertFalse(table.merge(item, 1.0), item)
            self.assertFalse(table.report(item, 1.0), item)
        self.assertEqual(len(table.serving()), 1)
        self.assertEqual(table.last_seen_s("t"), 0.0)

    def test_leave_of_an_unknown_target_ends_only_incarnations_started_before_it(self):
        table = TargetTable()
        table.leave("t", 0.0, 700)
        self.assertFalse(table.merge(record()._replace(born_ms=700), 1.0))
        self.assertTrue(table.merge(record()._replace(born_ms=701), 2.0))
        self.assertEqual(len(table.serving()), 1)

    def test_leave_of_an_unknown_incarnation_ends_the_known_former_one(self):
        elsewhere, table = TargetTable(), TargetTable()
        table.merge(record(sequence=9)._replace(born_ms=5), 0.0)
        elsewhere.leave("t", 1.0, 700)
        self.assertTrue(table.merge(elsewhere.record_of("t"), 1.1))
        self.assertEqual((table.serving(), table.phase_of("t")), ([], TargetPhase.GONE))
        self.assertEqual(len(table.departed(1.2, 2.0)), 1)

    def test_earlier_start_time_is_late_while_the_known_incarnation_reports(self):
        table = TargetTable()
        table.report(record()._replace(born_ms=9_000), 0.0)
        after_clock_step = record(sequence=0)._replace(born_ms=4_000)
        for second in range(1, 20):
            table.report(record(sequence=second)._replace(born_ms=9_000), float(second))
            self.assertFalse(table.report(after_clock_step, second + 0.5))
        self.assertTrue(table.report(after_clock_step, 19.0 + STALE_INCARNATION_S))
        self.assertFalse(table.report(record(sequence=90)._replace(born_ms=9_000), 31.0))
        self.assertTrue(table.report(record(sequence=0)._replace(born_ms=9_500), 32.0))
        self.assertEqual(table.record_of("t").born_ms, 9_500)

    def test_records_after_a_clock_step_back_converge_in_any_order(self):
        replica = TargetTable()
        replica.report(record()._replace(born_ms=9_000), 0.0)
        former = replica.record_of("t")
        replica.report(record(sequence=0)._replace(born_ms=4_000), 20.0)
        for order in ((former, replica.record_of("t")), (replica.record_of("t"), former)):
            table = TargetTable()
            for item in order:
                table.merge(item, 21.0)
            self.assertEqual(table.record_of("t").born_ms, 4_000)

    def test_report_that_names_another_service_changes_nothing(self):
        table = TargetTable()
        table.report(record(), 0.0)
        for foreign in (
            record(sequence=9)._replace(service="other"),
            record(sequence=9, phase=TargetPhase.LEAVING)._replace(service="other"),
            record()._replace(service="other", born_ms=99),
        ):
            self.assertFalse(table.report(foreign, 1.0))
        self.assertEqual(table.record_of("t"), record())
        self.assertEqual(table.last_seen_s("t"), 0.0)

    @given(RECORDS, st.integers(0, 1 << 30))
    def test_merge_is_independent_of_order_and_repetition(self, records, seed):
        forward, shuffled = TargetTable(), TargetTable()
        for item in records:
            forward.merge(item, 0.0)
        mixed = records * 2
        Random(seed).shuffle(mixed)
        for item in mixed:
            shuffled.merge(item, 0.0)
        for target_id in ("a", "b"):
            self.assertEqual(forward.phase_of(target_id), shuffled.phase_of(target_id))
        self.assertEqual(
            {item.target_id for item in forward.serving()},
            {item.target_id for item in shuffled.serving()},
        )

    @given(VERSIONED, st.integers(0, 1 << 30))
    def test_version_survives_records_without_it_in_any_order(self, records, seed):
        """Guards against a version that is lost to a record from a process of earlier version."""
        forward, shuffled = TargetTable(), TargetTable()
        mixed = records * 2
        Random(seed).shuffle(mixed)
        for item in records:
            forward.merge(item, 0.0)
        for item in mixed:
            shuffled.merge(item, 0.0)
        for target_id in table_ids(records):
            found = [table.record_of(target_id) for table in (forward, shuffled)]
            self.assertEqual(found[0].version, found[1].version)
            of_incarnation = {
                item.version
                for item in records
                if (item.target_id, item.incarnation) == (target_id, found[0].incarnation)
            }
            self.assertEqual(found[0].version, max(of_incarnation))

    def test_later_incarnation_has_the_version_that_it_reports(self):
        """Guards against the version of a former incarnation that stands for the present one."""
        table = TargetTable()
        table.merge(record(born_ms=1)._replace(version="v1"), 0.0)
        table.merge(record(born_ms=2), 1.0)
        self.assertEqual(table.record_of("t").version, "")
        table.merge(record(born_ms=2, sequence=2)._replace(version="v2"), 2.0)
        self.assertEqual(table.record_of("t").version, "v2")

    def test_tombstone_keeps_the_version(self):
        table = TargetTable()
        table.merge(record()._replace(version="v1"), 0.0)
        table.leave("t", 1.0)
        self.assertEqual(table.record_of("t").version, "v1")

    def test_end_of_an_unknown_incarnation_has_no_version(self):
        table = TargetTable()
        table.merge(record(born_ms=1)._replace(version="v1"), 0.0)
        end = record(phase=TargetPhase.GONE, born_ms=2)._replace(service="")
        self.assertTrue(table.merge(end, 1.0))
        self.assertEqual(table.record_of("t").version, "")

    def test_target_restarted_without_a_start_time_has_the_version_reported_last(self):
        table = TargetTable()
        table.report(record(sequence=1)._replace(version="v1"), 0.0)
        self.assertFalse(table.is_heartbeat(record(sequence=2)._replace(version="v2")))
        self.assertTrue(table.report(record(sequence=2)._replace(version="v2"), 1.0))
        self.assertEqual(table.record_of("t").version, "v2")

    def test_former_version_of_a_target_is_known_to_processes_that_start_later(self):
        """Guards against an upgrade in place that only processes which saw it remember."""
        for later in ({"sequence": 2}, {"born_ms": 2}):
            table, late = TargetTable(), TargetTable()
            table.merge(record(sequence=1)._replace(version="v1"), 0.0)
            table.merge(record(**later)._replace(version="v2"), 1.0)
            for item in table.changed_since(0).records:
                late.merge(item, 2.0)
            self.assertEqual(late.versions(), {"s": {"v1", "v2"}})
            self.assertEqual(late.digest, table.digest)
            self.assertEqual([item.target_id for item in late.serving_or_leaving()], ["t"])

    def test_upgrade_of_many_targets_leaves_one_tombstone(self):
        """Guards against as many more records as there are targets."""
        table = TargetTable()
        for number in range(9):
            item = record(f"t{number}", sequence=1)
            table.merge(item._replace(version="v1"), 0.0)
            table.merge(item._replace(version="v2", sequence=2), 1.0)
        self.assertEqual(len(table), 10)

    def test_digest_tells_versions_apart_and_is_unchanged_without_them(self):
        """Guards against tables that differ in a version alone and are taken for equal."""
        digests = []
        for version in ("", "v1", "v2"):
            table = TargetTable()
            table.merge(record()._replace(version=version), 0.0)
            digests.append(table.digest)
        self.assertEqual(len(set(digests)), 3)
        earlier = tuple(record()._replace(sequence=0))[:-1]
        self.assertEqual(digests[0], xxhash.xxh3_64_intdigest(repr(earlier).encode()))

    @given(VERSIONED)
    def test_digest_depends_on_the_contents_and_not_on_the_history(self, records):
        table, fresh = TargetTable(), TargetTable()
        for item in records:
            table.merge(item, 0.0)
        self.assertEqual(table.digest == 0, not records)
        for item in table.changed_since(0).records:
            fresh.merge(item._replace(sequence=item.sequence + 7, cold_s=1.0), 5.0)
        self.assertEqual(fresh.digest, table.digest)
        fresh.merge(record("c"), 6.0)
        self.assertNotEqual(fresh.digest, table.digest)
        self.assertIn("c", fresh.forget(60.0))
        for target_id in ("a", "b"):
            table.leave(target_id, 7.0)
        forgotten = table.forget(7.0 + TOMBSTONE_S + 1)
        targets = [target_id for target_id in forgotten if " " not in target_id]
        self.assertEqual(len(targets), len(table_ids(records) | {"a", "b"}))
        self.assertEqual(table.digest, 0)

    @given(VERSIONED)
    def test_limited_changes_and_phase_changes_converge(self, records):
        source, replica, known_revision = TargetTable(), TargetTable(), 0

        def send_changes():
            changes = source.compact_changes_since(known_revision, 1)
            for change in (*changes.records, *replica.expand_phases(changes.phases)):
                replica.merge(change, 0.0)
            return changes.revision

        for item in records:
            source.merge(item, 0.0)
            known_revision = send_changes()
        while known_revision < source.revision:
            known_revision = send_changes()
        self.assertEqual(replica.digest, source.digest)

    @given(VERSIONED)
    def test_changes_converge(self, records):
        source, replica = TargetTable(), TargetTable()
        known_revision = 0
        for item in records:
            source.merge(item, 0.0)
            for change in source.changed_since(known_revision).records:
                replica.merge(change, 0.0)
            known_revision = source.revision
        for target_id in ("a", "b"):
            self.assertEqual(source.phase_of(target_id), replica.phase_of(target_id))


class AddressTest(unittest.TestCase):
    """Two targets that reported the same address: which of them owns it?"""

    def test_target_that_ended_young_loses_its_address_to_one_that_still_reports(self):
        # A restarted router received the record of a target that had ended after its third
        # heartbeat, and that of its successor at the same address after its eighth. It took
        # the first for the later start and sent it twenty of sixty calls, which were refused
        # with "target said so: status 421". Only the successor kept reporting.
        table = TargetTable()
        table.merge(record("ended", sequence=3), 100.0)
        table.merge(record("runs", sequence=8), 100.0)
        for now_s in (101.0, 102.2, 103.4, 104.6):
            table.mark_seen("runs", now_s)
        self.assertTrue(table.is_superseded("ended", 1.2))
        self.assertFalse(table.is_superseded("runs", 1.2))

    def test_late_report_does_not_displace_the_later_start(self):
        table = TargetTable()
        table.merge(record("runs", sequence=1), 100.0)
        table.merge(record("ended", sequence=40), 101.0)
        table.mark_seen("runs", 101.2)
        self.assertTrue(table.is_superseded("ended", 1.2))
        self.assertFalse(table.is_superseded("runs", 1.2))


class ColdPeriodTest(unittest.TestCase):
    """A target reports how long it stays cold; the report has to reach all processes."""

    def test_target_that_becomes_cold_again_is_a_change(self):
        # When the cold time did not count as a change, routers kept sending requests as before.
        table = TargetTable()
        table.report(record(sequence=1)._replace(cold_s=3.0), 0.0)
        revision = table.revision
        self.assertFalse(table.report(record(sequence=2)._replace(cold_s=1.8), 1.2))
        self.assertFalse(table.report(record(sequence=9), 9.6))
        self.assertTrue(table.report(record(sequence=10)._replace(cold_s=2.9), 10.8))
        self.assertGreater(table.revision, revision)
        (update,) = table.with_remaining_cold_time(table.changed_since(revision).records, 11.8)
        self.assertAlmostEqual(update.cold_s, 1.9)
        self.assertEqual(update.cold_sequence, 10)

    def test_cold_periods_received_by_different_replicas_converge(self):
        first, second = TargetTable(), TargetTable()
        for table in (first, second):
            table.merge(record(sequence=1), 0.0)
        first.report(record(sequence=5)._replace(cold_s=2.0), 20.0)
        second.report(record(sequence=6), 21.2)
        second.merge(first.record_of("t"), 21.3)
        first.merge(second.record_of("t"), 21.4)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(second.record_of("t").cold_sequence, 5)

    def test_warm_target_is_not_reported_as_cold_later(self):
        table = TargetTable()
        table.merge(record()._replace(cold_s=3.0), 0.0)
        (update,) = table.with_remaining_cold_time(table.changed_since(0).records, 60.0)
        self.assertEqual(update.cold_s, 0.0)
