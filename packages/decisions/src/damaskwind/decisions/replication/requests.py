"""Requests to a replica: proposals, membership changes and reads."""

from damaskwind.decisions.replication.events import (
    ProposalOutcome,
    Propose,
    ProposeMembership,
    ReadReady,
    ReadRefused,
    ReadRequest,
    RepairStarted,
)
from damaskwind.decisions.replication.leadership import (
    Leadership,
    Progress,
    holds_lease,
    lease_s,
    quorum_silent_s,
)
from damaskwind.decisions.replication.leading import add_read, append_entry
from damaskwind.decisions.replication.membership import (
    apply_change,
    encode_membership,
    next_repair,
)
from damaskwind.decisions.replication.messages import (
    ChangeKind,
    EntryKind,
    Member,
    MembershipChange,
    Outcome,
    RefusalReason,
)
from damaskwind.decisions.replication.replica import Replica

__all__ = ["is_caught_up", "on_membership", "on_propose", "on_read", "repair_membership"]


def on_propose(replica: Replica, request: Propose) -> None:
    """Append a command if this replica leads."""
    leadership = replica.leadership
    if leadership is None:
        _refuse(replica, request.proposal_id, RefusalReason.NOT_LEADER)
        return
    if _may_have_lost_quorum(replica, leadership):
        _refuse(replica, request.proposal_id, RefusalReason.NO_QUORUM)
        return
    append_entry(replica, EntryKind.COMMAND, request.payload, request.proposal_id)


def on_membership(replica: Replica, request: ProposeMembership) -> None:
    """Append a membership change if it is valid and no other one is pending."""
    leadership = replica.leadership
    if leadership is None:
        _refuse(replica, request.proposal_id, RefusalReason.NOT_LEADER)
        return
    if not _may_change(replica, leadership):
        _refuse(replica, request.proposal_id, RefusalReason.CHANGE_PENDING)
        return
    if not _append_change(replica, request.change, request.proposal_id):
        _refuse(replica, request.proposal_id, RefusalReason.INVALID_CHANGE)


def on_read(replica: Replica, request: ReadRequest) -> None:
    """Answer at once if a valid lease suffices, else wait for a majority to confirm."""
    leadership = replica.leadership
    if leadership is None:
        refused = ReadRefused(request.read_id, RefusalReason.NOT_LEADER, replica.leader)
        replica.outbox.emit(refused)
        return
    is_applied = replica.applied_index == replica.commit_index
    if request.lease_suffices and is_applied and holds_lease(replica, replica.now_s):
        replica.outbox.emit(ReadReady(request.read_id, replica.applied_index))
        return
    add_read(replica, leadership, request.read_id)


def repair_membership(replica: Replica) -> None:
    """Append the next change that promotes a caught-up learner or removes a lost voter."""
    leadership = replica.leadership
    if leadership is None or not _may_change(replica, leadership):
        return

    def caught_up(learner: Member) -> bool:
        progress = leadership.peers.get(learner)
        return progress is not None and is_caught_up(replica, progress)

    timing = replica.timing
    change = next_repair(
        replica.log.membership,
        caught_up,
        lambda voter: _silent_s(replica, leadership, voter) > timing.replace_after_s,
        lambda voter: _silent_s(replica, leadership, voter) > timing.remove_after_s,
        timing.least_voters,
        timing.most_voters,
    )
    if change is not None and _append_change(replica, change, None):
        silent_s = _silent_s(replica, leadership, change.member)
        replica.outbox.emit(RepairStarted(change, round(silent_s, 3)))


def _silent_s(replica: Replica, leadership: Leadership, voter: Member) -> float:
    """Return how long a voter has been silent; 0 until it had time to answer this leader."""
    first_answers_s = max(replica.timing.heartbeat_s, 2 * leadership.vote_trip_s)
    if voter == replica.member or replica.now_s < leadership.started_s + first_answers_s:
        return 0.0
    progress = leadership.peers.get(voter)
    last_response_s = progress.last_response_s if progress else float("-inf")
    return replica.now_s - max(last_response_s, _heard_before_s(replica, leadership, voter))


def _heard_before_s(replica: Replica, leadership: Leadership, voter: Member) -> float:
    """Return from when on a voter's silence counts if it never answers this leader.

    The leader before is known to be silent since its last message: its silence is why there
    was an election. Followers don't send each other messages, so that the silence of another
    voter counts from the election on.
    """
    if voter == replica.followed:
        return replica.followed_heard_s
    return leadership.started_s


def is_caught_up(replica: Replica, progress: Progress) -> bool:
    """Return whether a learner responds and has stored all committed entries."""
    silent_s = replica.now_s - progress.last_response_s
    is_answering = silent_s < replica.timing.election_timeout_min_s
    return is_answering and progress.match_index >= replica.commit_index


def _may_have_lost_quorum(replica: Replica, leadership: Leadership) -> bool:
    """Return whether a majority responded in this term, but its answers are overdue.

    Such a leader will probably step down, and the outcome of a proposal that it accepts
    would be unknown.
    """
    has_committed = replica.commit_index >= leadership.first_index
    return has_committed and quorum_silent_s(replica, leadership) >= lease_s(replica.timing)


def _may_change(replica: Replica, leadership: Leadership) -> bool:
    """Return whether the last membership change and an entry of this term are committed.

    Without the second condition two leaders could each append a different change to
    the same membership, and the resulting majorities need not overlap (Ongaro's
    correction to single-server changes, 2015).
    """
    is_settled = replica.log.membership_index <= replica.commit_index
    return is_settled and replica.commit_index >= leadership.first_index


def _append_change(replica: Replica, change: MembershipChange, proposal_id: str | None) -> bool:
    leadership = replica.leadership
    assert leadership is not None
    if change.kind is ChangeKind.PROMOTE:
        progress = leadership.peers.get(change.member)
        if progress is None or not is_caught_up(replica, progress):
            return False
    membership = apply_change(replica.log.membership, change)
    if membership is None:
        return False
    append_entry(replica, EntryKind.MEMBERSHIP, encode_membership(membership), proposal_id)
    return True


def _refuse(replica: Replica, proposal_id: str, reason: RefusalReason) -> None:
    outcome = ProposalOutcome(proposal_id, Outcome.REFUSED, 0, reason, replica.leader)
    replica.outbox.emit(outcome)
