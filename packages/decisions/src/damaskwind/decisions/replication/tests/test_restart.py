"""Tests of the time from a restart of all replicas to the election of a leader."""

from unittest import TestCase

from damaskwind.decisions.replication.tests.cluster import Cluster

# Time from the start of the process to the opening of the log on a VM with a quarter of a
# core.
START_UP_S = 2.0
HISTORIES = 40


def seconds_to_leader(seed):
    """Restart all replicas of a stable cluster and return the time to a leader, in seconds."""
    cluster = Cluster(seed)
    cluster.stabilize()
    cluster.run(2.0)
    for name in cluster.nodes:
        cluster.crash(name)
    cluster.run(START_UP_S)
    for name in cluster.nodes:
        cluster.start(name)
    started_s = cluster.now_s
    while not cluster.has_leader_with_lease() and cluster.now_s < started_s + 10.0:
        cluster.run(0.02)
    return cluster.now_s - started_s


class RestartTest(TestCase):
    def test_leader_is_elected_soon_after_all_were_down_for_longer_than_an_election_timeout(self):
        times_s = sorted(seconds_to_leader(seed) for seed in range(HISTORIES))
        self.assertLess(times_s[HISTORIES // 2], 0.5)
        self.assertLess(times_s[-1], 1.5)

    def test_replica_that_was_down_briefly_still_withholds_its_vote(self):
        cluster = Cluster(1)
        cluster.stabilize()
        cluster.run(2.0)
        leader = cluster.leader()
        for name in cluster.nodes:
            if name != leader.member.replica_id:
                cluster.crash(name)
                cluster.start(name)
        self.assertTrue(cluster.has_leader_with_lease())
        cluster.crash(leader.member.replica_id)
        crashed_s = cluster.now_s
        while cluster.leader() is None:
            cluster.run(0.02)
        shortest_s = cluster.timing.election_timeout_min_s / 1.05
        self.assertGreater(cluster.now_s - crashed_s, shortest_s - 0.05)
