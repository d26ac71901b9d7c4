"""Tests of a simulated cluster under the faults that the core must tolerate."""

from unittest import TestCase

from damaskwind.decisions.replication.messages import Member
from damaskwind.decisions.replication.tests.cluster import TICK_INTERVAL_S, Cluster


class ClusterTest(TestCase):
    """Scripted faults; the oracle checks safety throughout."""

    def setUp(self) -> None:
        self.cluster = Cluster(seed=3)
        self.cluster.stabilize()
        self.leader_name = self.cluster.leader().member.replica_id

    def isolate(self, name: str) -> None:
        """Cut all links of a node."""
        for other in self.cluster.nodes:
            self.cluster.network.cut |= {(name, other), (other, name)}

    def test_isolated_leader_steps_down_in_time_and_another_is_elected(self) -> None:
        node = self.cluster.nodes[self.leader_name]
        self.isolate(self.leader_name)
        self.cluster.run(
            (self.cluster.timing.election_timeout_min_s + 2 * TICK_INTERVAL_S) / node.rate
        )
        self.assertEqual(node.core.role, "follower")
        self.assertFalse(node.core.holds_lease(self.cluster.clock_s(node)))
        refused_id = self.cluster.propose(self.leader_name)
        self.cluster.run(5.0)
        leader = self.cluster.leader().member.replica_id
        self.assertNotEqual(leader, self.leader_name)
        confirmed_id = self.cluster.propose(leader)
        self.cluster.run(1.0)
        self.assertIn(confirmed_id, self.cluster.oracle.confirmed)
        self.assertIn(refused_id, self.cluster.oracle.refused)

    def test_returning_replica_does_not_disrupt_the_leader(self) -> None:
        follower = next(name for name in self.cluster.nodes if name != self.leader_name)
        term = self.cluster.leader().core.term
        self.isolate(follower)
        self.cluster.run(20.0)
        self.cluster.heal()
        self.cluster.run(3.0)
        leader = self.cluster.leader()
        self.assertEqual((leader.member.replica_id, leader.core.term), (self.leader_name, term))

    def test_second_node_lost_right_after_a_repair(self) -> None:
        follower, other = (name for name in self.cluster.nodes if name != self.leader_name)
        proposal_id = self.cluster.propose(self.leader_name)
        self.cluster.lose_disk(follower)
        self.cluster.start(follower)
        self.assertTrue(self.cluster.await_repair(follower))
        self.cluster.run(1.0)
        self.cluster.crash(self.leader_name)
        self.cluster.run(5.0)
        leader = self.cluster.leader()
        self.assertIn(leader.member.replica_id, (follower, other))
        self.assertNotIn(Member(follower, f"{follower}1"), leader.core.membership.voters)
        later_id = self.cluster.propose(leader.member.replica_id)
        self.cluster.run(1.0)
        self.assertLess(
            self.cluster.oracle.confirmed[proposal_id], self.cluster.oracle.confirmed[later_id]
        )

    def test_replica_behind_a_snapshot_catches_up(self) -> None:
        follower = next(name for name in self.cluster.nodes if name != self.leader_name)
        self.cluster.crash(follower)
        for _ in range(20):
            self.cluster.propose(self.leader_name)
        self.cluster.run(1.0)
        self.cluster.take_snapshot(self.leader_name)
        self.cluster.start(follower)
        self.cluster.run(3.0)
        node = self.cluster.nodes[follower]
        self.assertGreater(node.disk.snapshot.index, 20)
        self.assertEqual(node.applied, self.cluster.nodes[self.leader_name].applied)
