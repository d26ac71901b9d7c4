"""Tests of the time from the return of a replica without its disk until it votes.

They guard against a returned replica that can't yet take the place of the next one that is lost.
"""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple
from unittest import TestCase

from damaskwind.decisions.replication.messages import Timing
from damaskwind.decisions.replication.tests.cluster import Cluster
from damaskwind.decisions.replication.tests.machines import SYNC_S

__all__ = ["AWAY_S", "CASES", "CATCH_UP_S", "SIZES", "measure", "seconds_until_vote"]

CATCH_UP_S = 4.0
SIZES = (3, 5, 7)
AWAY_S = (0.05, 0.5, 1.2, 3.0)
LIMIT_S = 15.0
STEP_S = 0.05
SLOW_SYNC_S = 25 * SYNC_S
LOSS = 0.05
STOPPED_S = 5.0
SEEDS = range(4)


class Case(NamedTuple):
    """A trouble that is tolerated beside a lost disk, and whether changes are proposed."""

    trouble: Callable[[Cluster, str], None]
    proposes: bool = False


def no_trouble(cluster: Cluster, name: str) -> None:
    """Leave everything sound."""


def slow_disk(cluster: Cluster, name: str) -> None:
    """Let the disk of the replica that returns take longer to sync."""
    cluster.nodes[name].sync_s = SLOW_SYNC_S


def lose_messages(cluster: Cluster, name: str) -> None:
    """Lose some of all messages."""
    cluster.network.loss = LOSS


def stop_peer(cluster: Cluster, name: str) -> None:
    """Let another voter stand still for a while."""
    leader = cluster.leader().member.replica_id
    peers = [other for other in cluster.voters() if other not in (name, leader)]
    cluster.pause(peers[0], STOPPED_S)


def replace_before(cluster: Cluster, name: str) -> None:
    """Replace another voter as planned just before."""
    peers = [other for other in cluster.voters() if other != name]
    if not cluster.add():
        return
    cluster.run(1.0)
    cluster.end(peers[0])
    cluster.run(CATCH_UP_S - 1.0)


CASES = {
    "sound": Case(no_trouble),
    "slow disk": Case(slow_disk),
    "messages lost": Case(lose_messages),
    "peer stands still": Case(stop_peer),
    "replaced just before": Case(replace_before),
    "steady proposals": Case(no_trouble, proposes=True),
    "steady proposals, slow disk": Case(slow_disk, proposes=True),
}


def step(cluster: Cluster, proposes: bool) -> None:
    """Advance time by a little, with a proposal if asked to."""
    leader = cluster.leader()
    if proposes and leader is not None:
        cluster.propose(leader.member.replica_id)
    cluster.run(STEP_S)


def votes(cluster: Cluster, name: str) -> bool:
    """Return whether the leader knows the replica's present life as a voter."""
    leader = cluster.leader()
    return leader is not None and cluster.nodes[name].member in leader.core.membership.voters


def seconds_until_vote(case: Case, seed: int, size: int, leads: bool, away_s: float) -> float:
    """Lose a disk beside a trouble; return the time from the return until the vote."""
    cluster = Cluster(
        seed,
        size,
        voters=size,
        replace_after_s=CATCH_UP_S / 2,
        max_batch_entries=Timing().max_batch_entries,
    )
    cluster.stabilize()
    cluster.run(2.0)
    leader = cluster.leader().member.replica_id
    name = leader if leads else next(other for other in cluster.voters() if other != leader)
    case.trouble(cluster, name)
    cluster.lose_disk(name)
    away_until_s = cluster.now_s + away_s
    while cluster.now_s < away_until_s:
        step(cluster, case.proposes)
    cluster.start(name)
    returned_s = cluster.now_s
    while cluster.now_s < returned_s + LIMIT_S and not votes(cluster, name):
        step(cluster, case.proposes)
    return cluster.now_s - returned_s


def measure(case: Case, size: int, leads: bool, away_s: float, seeds: range) -> list[float]:
    """Return the sorted times until the vote over the seeds."""
    take = partial(seconds_until_vote, case, size=size, leads=leads, away_s=away_s)
    return sorted(take(seed=seed) for seed in seeds)


class TimeUntilVoteTest(TestCase):
    def check(self, name: str, sizes: tuple[int, ...] = SIZES) -> None:
        """Check that a replica votes in time in a case, for a leader and a follower."""
        for size in sizes:
            for leads in (True, False):
                for away_s in AWAY_S:
                    with self.subTest(size=size, leads=leads, away_s=away_s):
                        times_s = measure(CASES[name], size, leads, away_s, SEEDS)
                        self.assertLess(times_s[-1], CATCH_UP_S)

    def test_replica_back_without_its_disk_votes_in_time(self) -> None:
        self.check("sound")

    def test_replica_with_a_slow_disk_votes_in_time(self) -> None:
        self.check("slow disk")

    def test_lost_messages_delay_no_vote_for_long(self) -> None:
        self.check("messages lost")

    def test_peer_that_stands_still_delays_no_vote(self) -> None:
        """Three replicas have no majority meanwhile, so that only more of them are checked."""
        self.check("peer stands still", sizes=(5, 7))

    def test_replica_replaced_just_before_delays_no_vote(self) -> None:
        self.check("replaced just before")

    def test_learner_catches_up_though_entries_are_committed_all_the_time(self) -> None:
        self.check("steady proposals")
