"""Partition of a failure domain with two of five voters, with one learner available.

The leader replaces a silent voter by a caught-up learner in two changes, a removal and a
promotion. It used to look for silent voters again in between and removed the second one
as well, which left four voters where the losses to be tolerated require five. The fifth
rejoined only after the partition had healed and its call into the partition had timed out,
which took up to five seconds. Six replicas with five voters therefore acknowledged no
configuration for 5.8 s after the partition healed, and logged for each call

    "configuration not committed" why "too few voters yet"
"""

from unittest import TestCase

from damaskwind.decisions.replication.membership import apply_change, next_repair
from damaskwind.decisions.replication.messages import ChangeKind, Member, Membership
from damaskwind.decisions.replication.tests.cluster import Cluster

VOTERS = 5
SEEDS = 20
CUT_S = 10.0


def cut_off(cluster, names):
    """Cut the links between `names` and all other replicas."""
    for name in names:
        for other in set(cluster.nodes) - set(names):
            cluster.network.cut.update({(name, other), (other, name)})


class CutDomainTest(TestCase):
    def test_learner_is_promoted_before_another_voter_is_removed(self) -> None:
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

    def test_number_of_voters_is_restored_during_the_cut(self) -> None:
        for seed in range(SEEDS):
            cluster = Cluster(seed, 6, voters=VOTERS)
            cluster.stabilize()
            cluster.run(4.0)
            cut_off(cluster, "ab")
            cluster.run(CUT_S)
            voters = cluster.leader().core.membership.voters
            self.assertEqual(len(voters), VOTERS, seed)
            cluster.check_recovery()
