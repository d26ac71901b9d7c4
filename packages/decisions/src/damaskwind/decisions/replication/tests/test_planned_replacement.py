"""Tests of planned replacements of voters, with the timing of a fleet.

A new replica starts, the one that it replaces ends 1 s later, and `CATCH_UP_S` after the start
of the new one the cluster must tolerate a loss again.
"""

from unittest import TestCase

from damaskwind.decisions.replication.tests.cluster import Cluster

CATCH_UP_S = 4.0
ENDS_AFTER_S = 1.0
SEEDS = range(40)
# From the end of the old voter until the new one votes.
REPLACED_WITHIN_S = CATCH_UP_S - ENDS_AFTER_S


def steady_cluster(seed: int, size: int) -> Cluster:
    """Return a cluster with a leader in which all replicas vote."""
    cluster = Cluster(seed, size, voters=size, replace_after_s=CATCH_UP_S / 2)
    cluster.stabilize()
    cluster.run(3.0)
    return cluster


def choose_voter(cluster: Cluster, leads: bool) -> str:
    """Return the name of the leader or of a follower that votes."""
    leader = cluster.leader().member.replica_id
    return leader if leads else next(name for name in cluster.voters() if name != leader)


def seconds_to_replace(cluster: Cluster, leads: bool, limit_s: float = 10.0) -> float | None:
    """Replace the leader or a follower as planned; return the time from its end."""
    cluster.add()
    cluster.run(ENDS_AFTER_S)
    cluster.end(choose_voter(cluster, leads))
    return cluster.await_voters(limit_s)


class PlannedReplacementTest(TestCase):
    def test_replaced_voter_is_out_of_the_quorum_in_time(self) -> None:
        """Guards against a silence of the former leader that counts from the next election."""
        for size in (3, 5):
            for leads in (True, False):
                with self.subTest(size=size, leads=leads):
                    times_s = [
                        seconds_to_replace(steady_cluster(seed, size), leads) for seed in SEEDS
                    ]
                    self.assertLess(max(times_s), REPLACED_WITHIN_S)

    def test_disk_lost_once_the_new_voter_counts_does_not_stop_the_log(self) -> None:
        """Guards against a lost quorum: one voter gone, one wiped, of three."""
        for seed in SEEDS:
            cluster = steady_cluster(seed, 3)
            seconds_to_replace(cluster, leads=True, limit_s=REPLACED_WITHIN_S)
            lost = choose_voter(cluster, leads=seed % 2 == 0)
            cluster.lose_disk(lost)
            cluster.run(1.0)
            cluster.start(lost)
            self.assertIsNotNone(cluster.await_voters(10.0), f"seed {seed}")

    def test_second_replacement_right_after_the_first_is_in_time_too(self) -> None:
        """Guards against a first replacement that still counts as a loss during the second."""
        for seed in SEEDS:
            cluster = steady_cluster(seed, 3)
            seconds_to_replace(cluster, leads=True, limit_s=REPLACED_WITHIN_S)
            took_s = seconds_to_replace(cluster, leads=seed % 2 == 0)
            self.assertIsNotNone(took_s, f"seed {seed}")
            self.assertLess(took_s, REPLACED_WITHIN_S)

    def test_restarted_leader_keeps_its_vote_though_a_learner_stands_by(self) -> None:
        """Guards against replacing a voter that is only restarted."""
        for seed in SEEDS:
            cluster = steady_cluster(seed, 3)
            cluster.add()
            cluster.run(1.0)
            voters = cluster.voters()
            restarted = choose_voter(cluster, leads=True)
            cluster.crash(restarted)
            cluster.run(1.5)
            cluster.start(restarted)
            cluster.run(6.0)
            self.assertEqual(cluster.voters(), voters, f"seed {seed}")
