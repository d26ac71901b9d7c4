"""Tests of the invariant checks: what they must report, and what they must accept."""

from unittest import TestCase

from damaskwind.decisions.replication.events import AppendEntries
from damaskwind.decisions.replication.membership import encode_membership
from damaskwind.decisions.replication.messages import EntryKind, LogEntry, Membership
from damaskwind.decisions.replication.tests.cluster import Cluster
from damaskwind.decisions.replication.tests.invariants import check_promotion
from damaskwind.decisions.replication.tests.oracle import InvariantError


class PromotionCheckTest(TestCase):
    """A learner whose disk is empty is promoted although something was committed."""

    def setUp(self):
        self.cluster = Cluster(3)
        self.cluster.stabilize()
        self.cluster.add()
        learner = self.cluster.nodes["d"].member
        voters = self.cluster.leader().core.membership.voters
        self.before = Membership(voters, (learner,))
        payload = encode_membership(Membership((*voters, learner), ()))
        entry = LogEntry(9, 1, EntryKind.MEMBERSHIP, payload)
        self.output = AppendEntries(1, (entry,))

    def test_leader_may_not_promote_a_learner_that_lacks_committed_entries(self):
        with self.assertRaises(InvariantError):
            check_promotion(self.cluster, self.cluster.leader(), self.before, 5, self.output)

    def test_follower_may_receive_a_promotion_after_a_later_commit(self):
        leader = self.cluster.leader()
        follower = next(node for node in self.cluster.running() if node is not leader)
        check_promotion(self.cluster, follower, self.before, 5, self.output)
