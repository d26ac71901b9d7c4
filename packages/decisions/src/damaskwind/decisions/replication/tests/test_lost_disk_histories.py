"""Tests of disks that are lost one after another, in histories of many faults.

They guard against a replica that takes too long to vote after its return, and against votes
that are free though a leader relies on them. `tools/fuzz.py` runs histories for longer.
"""

from unittest import TestCase

from damaskwind.decisions.replication.tests.cluster import Cluster
from damaskwind.decisions.replication.tests.histories import (
    LogHistory,
    run_batch,
    seeded,
)
from damaskwind.decisions.replication.tests.lost_disk_histories import LostDiskHistory
from damaskwind.decisions.replication.tests.oracle import InvariantError

HISTORIES = 35
BUG_HISTORIES = 200
SEEDS = range(20)
ELECTED_S = 4.0
REFUSED_S = 4.0


def tell_late_of_an_ended_leader(cluster: Cluster) -> None:
    """Tell of the end of a leader whose disk is lost, once its successor leads."""
    cluster.stabilize()
    leader = cluster.leader()
    former, term = leader.member, leader.core.term
    cluster.lose_disk(former.replica_id)
    cluster.run(ELECTED_S)
    assert cluster.has_leader_with_lease()
    for node in cluster.running():
        cluster.tell_ended(node, former, term)
    cluster.run(REFUSED_S)


class LostDiskHistoriesTest(TestCase):
    def setUp(self) -> None:
        LogHistory.run_count = 0
        LogHistory.first_failed = None

    def check_found(self, bug: str, message: str) -> None:
        """Check that a seeded bug is found by the check that is meant for it."""
        with seeded(bug), self.assertRaisesRegex(InvariantError, message):
            run_batch(None, BUG_HISTORIES, shrinks=False, history=LostDiskHistory)

    def test_disks_lost_one_after_another_break_no_invariant(self) -> None:
        run_batch(None, HISTORIES, history=LostDiskHistory)
        self.assertGreaterEqual(LogHistory.run_count, HISTORIES)

    def test_wait_for_a_former_self_is_found(self) -> None:
        self.check_found("wait_for_former_self", "nothing is confirmed")

    def test_vote_freed_by_the_end_of_any_leader_is_found(self) -> None:
        with seeded("end_any_leader"), self.assertRaisesRegex(InvariantError, "holds a lease"):
            for seed in SEEDS:
                tell_late_of_an_ended_leader(Cluster(seed, size=5))

    def test_end_of_a_leader_that_is_told_late_frees_no_vote(self) -> None:
        for seed in SEEDS:
            tell_late_of_an_ended_leader(Cluster(seed, size=5))

    def test_vote_freed_while_the_leader_runs_is_found(self) -> None:
        self.check_found("end_running_leader", "holds a lease")
