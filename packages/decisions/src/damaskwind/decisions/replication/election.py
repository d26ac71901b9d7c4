"""Leader election: pre-vote, vote, and the rules for granting a vote.

A replica refuses to vote while it receives messages from a leader. Together with the
pre-vote this keeps a replica that returns from a partition from disrupting the
cluster (Ongaro 2014, sections 4.2.3 and 9.6). The leader's lease relies on the same
rule: a majority that responded to a leader grants no vote until the shortest election
timeout has passed.

Answers may take longer than the retry delay of a campaign. Those to an earlier campaign
therefore count as long as they are for the same term, and of the pre-candidates that hear
of each other all but one yield. A pre-vote only decides who may campaign, and a vote is
bound to its term, so neither rule affects safety.
"""

from damaskwind.decisions.replication.membership import is_majority
from damaskwind.decisions.replication.messages import (
    Member,
    PersistentState,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)
from damaskwind.decisions.replication.replica import (
    Replica,
    adopt_term,
    defer_campaign,
    enter_term,
    has_recent_leader,
    reset_campaign_timer,
    reset_election_timer,
)

__all__ = [
    "count_votes",
    "can_vote_in_term",
    "on_pre_vote_request",
    "on_pre_vote_response",
    "on_vote_request",
    "on_vote_response",
    "start_pre_vote",
    "start_vote",
    "tick_election",
]

# Rounds of messages from a pre-vote to the first append: pre-vote, vote and append.
ROUNDS_TO_LEAD = 3


def tick_election(replica: Replica) -> None:
    """Start a campaign if the election timer has expired."""
    if replica.now_s < replica.election_due_s:
        return
    _count_failed_campaign(replica)
    reset_campaign_timer(replica)
    replica.leader = None
    if replica.may_campaign():
        replica.role.feed("election_due")


def _count_failed_campaign(replica: Replica) -> None:
    """Count a campaign that failed though a majority was heard; forget them otherwise.

    Candidates without a majority disturb nobody. They retry quickly, so that a leader is
    elected as soon as a partition heals.
    """
    if replica.role.state in ("pre_candidate", "candidate"):
        heard = replica.heard | {replica.member}
        is_heard = is_majority(replica.log.membership.voters, heard)
        replica.failed_campaigns = replica.failed_campaigns + 1 if is_heard else 0
    replica.heard = set()


def start_pre_vote(replica: Replica) -> None:
    """Ask the voters whether they would vote for this replica in the next term."""
    request = PreVoteRequest(replica.state.term + 1, replica.log.last_index, replica.log.last_term)
    for voter in replica.log.membership.voters:
        if voter != replica.member:
            replica.outbox.send_after_state(replica.envelope(voter, request))


def start_vote(replica: Replica) -> None:
    """Vote for itself in a new term and ask for the other votes once that is durable."""
    term = replica.state.term + 1
    enter_term(replica, term, voted_for=replica.member)
    replica.votes = set()
    replica.vote_asked_s = replica.now_s
    reset_campaign_timer(replica)
    request = VoteRequest(term, replica.log.last_index, replica.log.last_term)
    for voter in replica.log.membership.voters:
        if voter != replica.member:
            replica.outbox.send_after_state(replica.envelope(voter, request))


def count_votes(replica: Replica) -> None:
    """Advance the role if a majority granted its votes or pre-votes.

    Votes of the current term also elect a replica that has begun another campaign.
    """
    if replica.role.state not in ("pre_candidate", "candidate"):
        return
    voters = replica.log.membership.voters
    is_asking = replica.role.state == "pre_candidate"
    if is_majority(voters, _votes_in_term(replica)):
        replica.role.feed("vote_won")
    elif is_asking and is_majority(voters, replica.pre_votes | {replica.member}):
        replica.role.feed("pre_vote_won")


def _votes_in_term(replica: Replica) -> set[Member]:
    """Return the votes for this replica in its term; its own counts once it is durable."""
    if replica.votes is None:
        return set()
    own = {replica.member} if replica.outbox.is_state_durable() else set()
    return replica.votes | own


def on_pre_vote_request(replica: Replica, sender: Member, request: PreVoteRequest) -> None:
    """Answer whether the vote would be granted; if so, defer or abandon an own campaign."""
    granted = (
        request.term > replica.state.term
        and not _has_leader(replica)
        and _is_log_up_to_date(replica, request.last_index, request.last_term)
    )
    if granted:
        defer_campaign(replica)
        _yield_if_lower(replica, sender, request)
    response = PreVoteResponse(replica.state.term, request.term, granted)
    replica.outbox.send_after_state(replica.envelope(sender, response))


def _yield_if_lower(replica: Replica, candidate: Member, request: PreVoteRequest) -> None:
    """Abandon an own pre-vote in favour of a candidate with a longer log or a higher id.

    Otherwise both would raise the term, and each would refuse the other its vote. The
    next campaign waits until the other candidate may lead.
    """
    own = (replica.log.last_term, replica.log.last_index, replica.member)
    if replica.role.state != "pre_candidate":
        return
    if (request.last_term, request.last_index, candidate) > own:
        reset_campaign_timer(replica, rounds=ROUNDS_TO_LEAD)
        replica.role.feed("yielded")


def on_pre_vote_response(replica: Replica, sender: Member, response: PreVoteResponse) -> None:
    """Record a pre-vote granted for the term that this replica campaigns for."""
    if response.term > replica.state.term:
        adopt_term(replica, response.term)
        return
    asked_now = response.asked_term == replica.state.term + 1
    if replica.role.state == "pre_candidate" and asked_now and response.granted:
        replica.pre_votes.add(sender)


def on_vote_request(replica: Replica, sender: Member, request: VoteRequest) -> None:
    """Grant at most one vote per term, and none while there is a recent leader."""
    if request.term > replica.state.term and not _has_leader(replica):
        granted = _is_log_up_to_date(replica, request.last_index, request.last_term)
        adopt_term(replica, request.term, sender if granted else None)
    else:
        granted = can_vote_in_term(replica, sender, request)
        if granted and replica.state.voted_for is None:
            replica.state = PersistentState(request.term, sender)
            replica.outbox.write_state(replica.state)
    if granted:
        reset_election_timer(replica)
    response = VoteResponse(replica.state.term, granted)
    replica.outbox.send_after_state(replica.envelope(sender, response))


def can_vote_in_term(replica: Replica, sender: Member, request: VoteRequest) -> bool:
    """Return whether the vote of the current term may be granted to `sender`.

    The vote must still be free, or granted to the same sender earlier.
    """
    return (
        request.term == replica.state.term
        and replica.state.voted_for in (None, sender)
        and not _has_leader(replica)
        and _is_log_up_to_date(replica, request.last_index, request.last_term)
    )


def on_vote_response(replica: Replica, sender: Member, response: VoteResponse) -> None:
    """Record a vote granted to this replica in the current term."""
    if response.term > replica.state.term:
        adopt_term(replica, response.term)
        return
    in_term = response.term == replica.state.term
    if replica.votes is not None and in_term and response.granted:
        replica.votes.add(sender)


def _has_leader(replica: Replica) -> bool:
    """Return whether this replica leads or has recently seen a leader.

    A leader always counts: it steps down by itself when it loses its quorum.
    """
    return replica.role.state == "leader" or has_recent_leader(replica)


def _is_log_up_to_date(replica: Replica, last_index: int, last_term: int) -> bool:
    own = (replica.log.last_term, replica.log.last_index)
    return (last_term, last_index) >= own
