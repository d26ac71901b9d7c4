"""Regression tests for faults that the histories found."""

from unittest import TestCase

from damaskwind.decisions.replication.membership import encode_membership
from damaskwind.decisions.replication.messages import EntryKind, LogEntry, Member, Membership
from damaskwind.decisions.replication.tests.cluster import Cluster


class RegressionTest(TestCase):
    """Each test reproduces a fixed fault."""

    def test_leader_that_removed_itself_and_crashed_can_still_win(self) -> None:
        """A replica must campaign although its uncommitted last entry removes it.

        It used not to campaign, as it was no voter by that entry, and granted no vote
        either, as its log was longer than the others. No replica could win.
        """
        cluster = Cluster(seed=1, size=2)
        for name in "ab":
            cluster.crash(name)
        removal = encode_membership(Membership((Member("a", "a1"),)))
        cluster.nodes["b"].disk.entries.append(LogEntry(2, 1, EntryKind.MEMBERSHIP, removal))
        cluster.check_recovery()
        leader = cluster.leader()
        self.assertIsNotNone(leader)
        self.assertEqual(leader.member, Member("a", "a1"))
