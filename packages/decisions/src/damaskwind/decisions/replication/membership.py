"""Membership changes of the log, one member at a time.

Any majorities of two memberships that differ by one voter overlap. Single-server
changes are therefore safe (Ongaro, "Consensus: Bridging Theory and Practice", 2014,
chapter 4), provided that a leader first commits an entry of its own term.
"""

from collections.abc import Callable, Collection, Iterable

import msgspec

from damaskwind.decisions.replication.messages import (
    ChangeKind,
    Member,
    Membership,
    MembershipChange,
)

__all__ = [
    "apply_change",
    "decode_membership",
    "encode_membership",
    "is_majority",
    "majority_value",
    "next_repair",
]


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership as the payload of a log entry."""
    return msgspec.json.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Decode the payload of a membership entry."""
    return msgspec.json.decode(payload, type=Membership)


def is_majority(voters: Collection[Member], answered: Iterable[Member]) -> bool:
    """Return whether `answered` contains more than half of the voters.

    >>> a, b, c = (Member(name, "1") for name in "abc")
    >>> is_majority([a, b, c], [a, b]), is_majority([a, b, c], [a, Member("b", "2")])
    (True, False)
    """
    return 2 * len(set(voters) & set(answered)) > len(voters)


def majority_value(voters: Collection[Member], value_of: Callable[[Member], float]) -> float:
    """Return the highest value that more than half of the voters have reached."""
    values = sorted((value_of(voter) for voter in voters), reverse=True)
    return values[len(values) // 2] if values else 0


def _without(members: Iterable[Member], member: Member) -> tuple[Member, ...]:
    return tuple(other for other in members if other != member)


def _add_learner(membership: Membership, member: Member) -> Membership | None:
    """Add a learner; an earlier learner of the same replica lost its disk and is dropped."""
    if member in membership.voters or member in membership.learners:
        return None
    others = [other for other in membership.learners if other.replica_id != member.replica_id]
    return membership._replace(learners=(*others, member))


def _promote(membership: Membership, member: Member) -> Membership | None:
    if member not in membership.learners:
        return None
    return Membership((*membership.voters, member), _without(membership.learners, member))


def _remove(membership: Membership, member: Member) -> Membership | None:
    if member not in membership.voters and member not in membership.learners:
        return None
    changed = Membership(_without(membership.voters, member), _without(membership.learners, member))
    return changed if changed.voters else None


_CHANGES: dict[ChangeKind, Callable[[Membership, Member], Membership | None]] = {
    ChangeKind.ADD_LEARNER: _add_learner,
    ChangeKind.PROMOTE: _promote,
    ChangeKind.REMOVE: _remove,
}


def apply_change(membership: Membership, change: MembershipChange) -> Membership | None:
    """Return the membership after `change`, or None if the change is invalid."""
    return _CHANGES[change.kind](membership, change.member)


def next_repair(
    membership: Membership,
    caught_up: Callable[[Member], bool],
    silent: Callable[[Member], bool] = lambda voter: False,
    lost: Callable[[Member], bool] = lambda voter: False,
    least_voters: int = 3,
    most_voters: float = float("inf"),
) -> MembershipChange | None:
    """Return the next change that promotes a caught-up learner or removes a lost voter.

    Before a learner is promoted, a voter with an earlier identity of the same replica
    is removed: its disk is lost, and as long as it is a voter it only raises the
    majority. A learner of another replica replaces a `silent` voter. A `lost` voter is
    removed without a replacement as long as there are more than `least_voters`
    voters. No learner is promoted beyond `most_voters`.
    """
    voters = membership.voters
    for learner in membership.learners:
        if not caught_up(learner):
            continue
        former = [voter for voter in voters if voter.replica_id == learner.replica_id]
        replaced = former or [voter for voter in voters if silent(voter)]
        # With fewer than `least_voters` voters, one was just removed in favour of this
        # learner. Removing another silent voter before the promotion would leave it
        # without a replacement, and too few voters to commit anything.
        has_vacancy = not former and len(voters) < least_voters
        if replaced and len(voters) > 1 and not has_vacancy:
            return MembershipChange(ChangeKind.REMOVE, replaced[0])
        if len(voters) < most_voters:
            return MembershipChange(ChangeKind.PROMOTE, learner)
    surplus = [voter for voter in voters if lost(voter)]
    if surplus and len(voters) > least_voters:
        return MembershipChange(ChangeKind.REMOVE, surplus[0])
    return None
