"""Faults that the histories found, each by its name."""

from unittest import TestCase

from damaskwind.decisions.replication.membership import encode_membership
from damaskwind.decisions.replication.messages import EntryKind, LogEntry, Member, Membership
from damaskwind.decisions.replication.tests.cluster import Cluster


class RegressionTest(TestCase):
    """Each test failed before its fix."""

    def test_leader_that_removed_itself_and_crashed_can_still_win(self) -> None:
        """The only replica with the longest log must campaign though it is no voter in it.

        Before, it gave no vote (its log was longer) and asked for none (it was
        no voter by its uncommitted last entry), so that nobody could ever win.
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
