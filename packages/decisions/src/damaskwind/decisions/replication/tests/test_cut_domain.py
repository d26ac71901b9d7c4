"""A failure domain with two of five voters is cut off, and one learner is there.

Six replicas, of which five voted, acknowledged no configuration for 5.8 s after a cut of
a domain had healed, each call with the line

    "configuration not committed" why "too few voters yet"

The leader takes a silent voter out so that a learner that has caught up may have its place.
It looked for silent voters again before it gave the learner the place, took the second one
out as well, and was left with four voters for one learner. Of the five that the losses to
bear ask for one was missing until a replica behind the cut had come back, and that one was
still waiting for the answer to a call that it had sent into the cut, for up to five seconds.
"""

from unittest import TestCase

from damaskwind.decisions.replication.membership import apply_change, next_repair
from damaskwind.decisions.replication.messages import ChangeKind, Member, Membership
from damaskwind.decisions.replication.tests.cluster import Cluster

VOTERS = 5
SEEDS = 20
CUT_S = 10.0


def cut_off(cluster, names):
    """Cut the links between these replicas and all others."""
    for name in names:
        for other in set(cluster.nodes) - set(names):
            cluster.network.cut.update({(name, other), (other, name)})


class CutDomainTest(TestCase):
    def test_learner_gets_the_place_before_another_voter_goes(self) -> None:
        a, b, c, d, e, learner = (Member(name, "1") for name in "abcdef")
        membership = Membership((a, b, c, d, e), (learner,))
        kinds = []
        while True:
            change = next_repair(
                membership, lambda _: True, lambda voter: voter in (a, b), least_voters=VOTERS
            )
            if change is None:
                break
            kinds.append(change.kind)
            membership = apply_change(membership, change)
        self.assertEqual(kinds, [ChangeKind.REMOVE, ChangeKind.PROMOTE])
        self.assertEqual(len(membership.voters), VOTERS)

    def test_as_many_vote_during_the_cut_as_before(self) -> None:
        for seed in range(SEEDS):
            cluster = Cluster(seed, 6, voters=VOTERS)
            cluster.stabilize()
            cluster.run(4.0)
            cut_off(cluster, "ab")
            cluster.run(CUT_S)
            voters = cluster.leader().core.membership.voters
            self.assertEqual(len(voters), VOTERS, seed)
            cluster.check_recovery()
