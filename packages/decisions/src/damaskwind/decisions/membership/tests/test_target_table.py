"""Tests of the merged table of targets, by hand and against shuffled histories."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.membership.target_table import TargetPhase, TargetRecord, TargetTable
from damaskwind.model.targets import Address


def record(target_id="t", phase=TargetPhase.SERVING, sequence=1, port=1):
    return TargetRecord(target_id, "s", Address("127.0.0.1", port), "d", phase, sequence, 4)


RECORDS = st.lists(
    st.builds(
        record,
        st.sampled_from(["a", "b"]),
        st.sampled_from(list(TargetPhase)),
        st.integers(0, 5),
    ),
    max_size=12,
)


class TargetTableTest(unittest.TestCase):
    def test_late_report_revives_nothing(self):
        table = TargetTable()
        table.take(record(sequence=5), 0.0)
        self.assertTrue(table.leave("t", 1.0))
        self.assertFalse(table.take(record(sequence=9), 2.0))
        self.assertEqual(table.serving(), [])

    def test_leave_of_an_unknown_target_is_kept(self):
        table = TargetTable()
        table.leave("t", 0.0)
        self.assertFalse(table.take(record(sequence=9), 1.0))

    def test_leaving_is_final_and_still_living(self):
        table = TargetTable()
        table.take(record(phase=TargetPhase.LEAVING, sequence=3), 0.0)
        self.assertFalse(table.take(record(sequence=4), 0.0))
        self.assertEqual(table.serving(), [])
        self.assertEqual(len(table.living()), 1)

    def test_heartbeat_without_news_changes_no_revision(self):
        table = TargetTable()
        table.take(record(sequence=1), 0.0)
        before = table.revision
        self.assertFalse(table.take(record(sequence=2), 1.0))
        self.assertEqual(table.revision, before)
        self.assertEqual(table.heard_s("t"), 1.0)

    def test_changed_address_is_news(self):
        table = TargetTable()
        table.take(record(sequence=1), 0.0)
        revision = table.revision
        self.assertTrue(table.take(record(sequence=2, port=2), 1.0))
        self.assertEqual(table.changed_since(revision), [record(sequence=2, port=2)])

    def test_tombstone_outlives_a_silent_target(self):
        table = TargetTable()
        table.take(record("quiet"), 0.0)
        table.leave("gone", 0.0)
        self.assertEqual(table.forget(50.0), ["quiet"])
        self.assertFalse(table.take(record("gone"), 50.0))
        self.assertEqual(table.forget(61.0), ["gone"])

    @given(RECORDS, st.integers(0, 1 << 30))
    def test_order_and_repetition_make_no_difference(self, records, seed):
        forward, shuffled = TargetTable(), TargetTable()
        for item in records:
            forward.take(item, 0.0)
        mixed = records * 2
        Random(seed).shuffle(mixed)
        for item in mixed:
            shuffled.take(item, 0.0)
        for target_id in ("a", "b"):
            self.assertEqual(forward.phase_of(target_id), shuffled.phase_of(target_id))
        self.assertEqual(
            {item.target_id for item in forward.serving()},
            {item.target_id for item in shuffled.serving()},
        )

    @given(RECORDS)
    def test_what_was_told_converges(self, records):
        told, learned = TargetTable(), TargetTable()
        seen = 0
        for item in records:
            told.take(item, 0.0)
            for change in told.changed_since(seen):
                learned.take(change, 0.0)
            seen = told.revision
        for target_id in ("a", "b"):
            self.assertEqual(told.phase_of(target_id), learned.phase_of(target_id))
