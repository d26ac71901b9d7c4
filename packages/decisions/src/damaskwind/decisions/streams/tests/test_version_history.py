"""Tests of the versions of a service that are known now or were lately."""

import unittest

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.membership.target_table import TOMBSTONE_S, TargetTable
from damaskwind.decisions.streams.holders import HOLDERS, choose_holders
from damaskwind.decisions.streams.version_history import VERSION_MEMORY_S, VersionHistory
from damaskwind.model.targets import Address


def record(target_id, version, phase=TargetPhase.SERVING, born_ms=1):
    address = Address("127.0.0.1", 1)
    return TargetRecord(target_id, "s", address, "d", phase, 1, born_ms=born_ms, version=version)


class HistoryTest(unittest.TestCase):
    def setUp(self):
        self.table, self.history = TargetTable(), VersionHistory()

    def merge(self, item, now_s):
        self.table.merge(item, now_s)
        return self.history.update(self.table.versions(), now_s)

    def test_second_version_is_told_once(self):
        """Guards against streams that are not written down, or over and over."""
        self.assertEqual(self.merge(record("a", "v1"), 0.0), set())
        self.assertEqual(self.merge(record("b", "v2"), 1.0), {"s"})
        self.assertEqual(self.merge(record("c", "v3"), 2.0), set())
        self.assertEqual(self.history.versions("s", 2.0), {"v1", "v2", "v3"})

    def test_target_that_is_gone_still_counts(self):
        """Guards against the claim that the version that is left served alone before."""
        self.merge(record("a", "v1"), 0.0)
        self.merge(record("b", "v2"), 1.0)
        self.merge(record("a", "v1", TargetPhase.GONE), 2.0)
        self.assertTrue(self.history.has_several("s", 30.0))

    def test_target_that_restarts_with_another_version_leaves_the_former_one_known(self):
        """Guards against an upgrade in place that is forgotten with the record it replaced."""
        self.merge(record("a", "v1"), 0.0)
        self.assertEqual(self.merge(record("a", "v2", born_ms=2), 1.0), {"s"})
        self.assertEqual(self.history.versions("s", VERSION_MEMORY_S), {"v1", "v2"})
        forgotten_s = 1.0 + TOMBSTONE_S + 1.0
        self.assertEqual(len(self.table.forget(forgotten_s)), 2)
        self.history.update({"s": {"v2"}}, forgotten_s)
        last_s = forgotten_s + VERSION_MEMORY_S
        self.assertEqual(self.history.versions("s", last_s - 1.0), {"v1", "v2"})
        self.assertEqual(self.history.versions("s", last_s + 1.0), {"v2"})

    def test_targets_without_versions_are_none(self):
        """Guards against a service whose streams are written down though it has no versions."""
        self.merge(record("a", ""), 0.0)
        self.assertEqual(self.history.versions("s", 0.0), frozenset())

    def test_target_without_version_beside_others_counts_as_one(self):
        """Guards against streams that go on where nobody knows which version runs."""
        self.merge(record("a", ""), 0.0)
        self.assertEqual(self.merge(record("b", "v1"), 1.0), {"s"})

    def test_late_version_of_a_target_is_no_second_one(self):
        """Guards against a release that is seen where a version only came late."""
        self.merge(record("a", ""), 0.0)
        self.merge(record("a", "v1"), 1.0)
        self.assertEqual(self.history.versions("s", 2.0), {"v1"})


class HoldersTest(unittest.TestCase):
    def test_holders_are_the_same_at_all_routers_and_spread(self):
        """Guards against a replica that is first for every stream."""
        hosts = [f"h{number}" for number in range(7)]
        keys = [number.to_bytes(8, "big") for number in range(700)]
        firsts = [choose_holders(key, hosts, ())[0] for key in keys]
        self.assertEqual(firsts, [choose_holders(key, hosts[::-1], ())[0] for key in keys])
        self.assertLess(max(firsts.count(host) for host in hosts), 150)
        self.assertEqual({len(choose_holders(key, hosts, ())) for key in keys}, {HOLDERS})


if __name__ == "__main__":
    unittest.main()
