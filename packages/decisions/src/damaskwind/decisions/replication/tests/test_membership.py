"""Tests of membership changes and of the steps that repair a membership."""

from unittest import TestCase

from damaskwind.decisions.replication.membership import (
    apply_change,
    decode_membership,
    encode_membership,
    next_repair,
)
from damaskwind.decisions.replication.messages import (
    ChangeKind,
    Member,
    Membership,
    MembershipChange,
)

A, B, C = (Member(name, f"{name}1") for name in "abc")
NEW_C = Member("c", "c2")


class MembershipTest(TestCase):
    """Each change adds or removes at most one voter."""

    def test_encoding_round_trip(self) -> None:
        membership = Membership((A, B), (NEW_C,))
        self.assertEqual(decode_membership(encode_membership(membership)), membership)

    def test_new_learner_replaces_an_earlier_learner_of_its_replica(self) -> None:
        change = MembershipChange(ChangeKind.ADD_LEARNER, Member("c", "c3"))
        changed = apply_change(Membership((A, B), (NEW_C,)), change)
        self.assertEqual(changed, Membership((A, B), (Member("c", "c3"),)))

    def test_last_voter_is_not_removed(self) -> None:
        change = MembershipChange(ChangeKind.REMOVE, A)
        self.assertIsNone(apply_change(Membership((A,)), change))

    def test_old_identity_is_removed_before_the_new_one_votes(self) -> None:
        membership = Membership((A, B, C), (NEW_C,))
        self.assertIsNone(next_repair(membership, lambda learner: False))
        removal = next_repair(membership, lambda learner: True)
        self.assertEqual(removal, MembershipChange(ChangeKind.REMOVE, C))
        promotion = next_repair(apply_change(membership, removal), lambda learner: True)
        self.assertEqual(promotion, MembershipChange(ChangeKind.PROMOTE, NEW_C))

    def test_caught_up_learner_replaces_a_silent_voter(self) -> None:
        new_learner = Member("d", "d1")
        membership = Membership((A, B, C), (new_learner,))
        removal = next_repair(membership, lambda learner: True, lambda voter: voter == C)
        self.assertEqual(removal, MembershipChange(ChangeKind.REMOVE, C))
        changed = apply_change(membership, removal)
        promotion = next_repair(changed, lambda learner: True, lambda voter: False)
        self.assertEqual(promotion, MembershipChange(ChangeKind.PROMOTE, new_learner))

    def test_silent_voter_without_replacement_is_not_removed(self) -> None:
        membership = Membership((A, B, C))
        self.assertIsNone(next_repair(membership, lambda m: True, lambda v: v == C))

    def test_learners_beyond_the_maximum_number_of_voters_stay_learners(self) -> None:
        new_learner = Member("d", "d1")
        membership = Membership((A, B, C), (new_learner,))
        self.assertIsNone(next_repair(membership, lambda m: True, most_voters=3))
        removal = next_repair(membership, lambda m: True, lambda v: v == C, most_voters=3)
        self.assertEqual(removal, MembershipChange(ChangeKind.REMOVE, C))
        changed = apply_change(membership, removal)
        promotion = next_repair(changed, lambda m: True, most_voters=3)
        self.assertEqual(promotion, MembershipChange(ChangeKind.PROMOTE, new_learner))

    def test_second_learner_replaces_a_lost_disk_if_the_first_is_beyond_the_maximum(self) -> None:
        new_learner = Member("d", "d1")
        membership = Membership((A, B, C), (new_learner, NEW_C))
        removal = next_repair(membership, lambda m: True, most_voters=3)
        self.assertEqual(removal, MembershipChange(ChangeKind.REMOVE, C))

    def test_lost_voter_is_removed_only_while_enough_voters_remain(self) -> None:
        def lost(voter: Member) -> bool:
            return voter == C

        four = Membership((A, B, C, Member("d", "d1")))
        removal = next_repair(four, lambda m: True, lost, lost)
        self.assertEqual(removal, MembershipChange(ChangeKind.REMOVE, C))
        self.assertIsNone(next_repair(Membership((A, B, C)), lambda m: True, lost, lost))
