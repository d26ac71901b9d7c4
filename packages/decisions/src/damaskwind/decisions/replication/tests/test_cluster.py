"""A simulated cluster under the faults that the core is meant for."""

from unittest import TestCase

from damaskwind.decisions.replication.messages import Member
from damaskwind.decisions.replication.tests.cluster import TICK_INTERVAL_S, Cluster


class ClusterTest(TestCase):
    """Each fault brought about by order; the oracle watches throughout."""

    def setUp(self) -> None:
        self.cluster = Cluster(seed=3)
        self.cluster.stabilize()
        self.first = self.cluster.leader().member.replica_id

    def isolate(self, name: str) -> None:
        """Cut a node off silently."""
        for other in self.cluster.nodes:
            self.cluster.network.cut |= {(name, other), (other, name)}

    def test_isolated_leader_stops_in_time_and_another_takes_over(self) -> None:
        node = self.cluster.nodes[self.first]
        self.isolate(self.first)
        self.cluster.run(
            (self.cluster.timing.election_timeout_min_s + 2 * TICK_INTERVAL_S) / node.rate
        )
        self.assertEqual(node.core.role, "follower")
        self.assertFalse(node.core.holds_lease(self.cluster.clock_s(node)))
        lost = self.cluster.propose(self.first)
        self.cluster.run(5.0)
        leader = self.cluster.leader().member.replica_id
        self.assertNotEqual(leader, self.first)
        kept = self.cluster.propose(leader)
        self.cluster.run(1.0)
        self.assertIn(kept, self.cluster.oracle.confirmed)
        self.assertIn(lost, self.cluster.oracle.refused)

    def test_returning_replica_disturbs_nobody(self) -> None:
        follower = next(name for name in self.cluster.nodes if name != self.first)
        term = self.cluster.leader().core.term
        self.isolate(follower)
        self.cluster.run(20.0)
        self.cluster.heal()
        self.cluster.run(3.0)
        leader = self.cluster.leader()
        self.assertEqual((leader.member.replica_id, leader.core.term), (self.first, term))

    def test_second_machine_lost_right_after_a_repair(self) -> None:
        follower, other = (name for name in self.cluster.nodes if name != self.first)
        proposal_id = self.cluster.propose(self.first)
        self.cluster.lose_disk(follower)
        self.cluster.start(follower)
        self.assertTrue(self.cluster.await_repair(follower))
        self.cluster.run(1.0)
        self.cluster.crash(self.first)
        self.cluster.run(5.0)
        leader = self.cluster.leader()
        self.assertIn(leader.member.replica_id, (follower, other))
        self.assertNotIn(Member(follower, f"{follower}1"), leader.core.membership.voters)
        later = self.cluster.propose(leader.member.replica_id)
        self.cluster.run(1.0)
        self.assertLess(
            self.cluster.oracle.confirmed[proposal_id], self.cluster.oracle.confirmed[later]
        )

    def test_replica_behind_a_snapshot_catches_up(self) -> None:
        follower = next(name for name in self.cluster.nodes if name != self.first)
        self.cluster.crash(follower)
        for _ in range(20):
            self.cluster.propose(self.first)
        self.cluster.run(1.0)
        self.cluster.take_snapshot(self.first)
        self.cluster.start(follower)
        self.cluster.run(3.0)
        node = self.cluster.nodes[follower]
        self.assertGreater(node.disk.snapshot.index, 20)
        self.assertEqual(node.applied, self.cluster.nodes[self.first].applied)
