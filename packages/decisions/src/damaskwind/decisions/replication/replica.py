"""State of a replica, and operations that are common to its roles."""

from random import Random
from typing import TYPE_CHECKING

from damaskwind.decisions.replication.events import Apply
from damaskwind.decisions.replication.log import ReplicatedLog
from damaskwind.decisions.replication.messages import (
    Envelope,
    Member,
    Message,
    PersistentState,
    Timing,
)
from damaskwind.decisions.replication.outbox import Outbox
from damaskwind.model.statechart import Machine

if TYPE_CHECKING:
    from damaskwind.decisions.replication.leading import Leadership

__all__ = [
    "Replica",
    "adopt_term",
    "apply_committed",
    "enter_term",
    "end_leader",
    "has_recent_leader",
    "defer_campaign",
    "follow_leader",
    "record_sender",
    "reset_election_timer",
    "reset_campaign_timer",
]


class Replica:
    """State of a replica; `role` is the state machine of its role.

    Before a restart the replica may have responded to a leader, which then relies on
    it to withhold its vote for an election timeout. It is therefore treated as having
    seen a leader at `silent_since_s`, a time after which it certainly sent no
    response, such as the start of its process.

    `votes` are those received for the own candidacy in the current term, or None if
    there is none or the term has a leader. They count until the term changes, so that an
    election can be won although an answer takes longer than the retry of a campaign.
    Once the term has a leader they must not count: the leader may have changed the
    membership, and they may be a majority of the new one.
    `heard` are the members from which a message arrived since the last campaign began.
    `followed` is the leader that was followed last, also after its end, `followed_term` the
    term that it led in, and `followed_heard_s` the time of the last message from it.
    `has_followed_ended` is set once it is known to have ended for good.
    """

    role: Machine

    def __init__(
        self,
        member: Member,
        state: PersistentState,
        log: ReplicatedLog,
        timing: Timing,
        random: Random,
        now_s: float,
        silent_since_s: float | None = None,
    ) -> None:
        self.member = member
        self.state = state
        self.log = log
        self.timing = timing
        self.random = random
        self.now_s = now_s
        self.outbox = Outbox(log.last_index)
        self.commit_index = log.snapshot.index
        self.applied_index = log.snapshot.index
        self.leader: Member | None = None
        self.leader_seen_s = now_s if silent_since_s is None else min(silent_since_s, now_s)
        self.election_due_s = self._first_campaign_s()
        self.pre_votes: set[Member] = set()
        self.votes: set[Member] | None = None
        self.vote_asked_s = now_s
        self.heard: set[Member] = set()
        self.followed: Member | None = None
        self.followed_term = 0
        self.followed_heard_s = now_s
        self.has_followed_ended = False
        self.failed_campaigns = 0
        self.leadership: Leadership | None = None

    def _first_campaign_s(self) -> float:
        """Return when to campaign after a start.

        By then no leader relies on this replica to withhold its vote, and the other
        replicas may have started.
        """
        vote_allowed_s = self.leader_seen_s + self.timing.election_timeout_min_s
        return max(self.now_s, vote_allowed_s) + self.random.uniform(
            0.0, self.timing.first_campaign_s
        )

    def envelope(self, recipient: Member, message: Message) -> Envelope:
        """Return an envelope with `message` for `recipient`."""
        return Envelope(self.member, recipient, message)

    def is_voter(self) -> bool:
        """Return whether this member is a voter in the newest membership of its log."""
        return self.member in self.log.membership.voters

    def may_campaign(self) -> bool:
        """Return whether this member is a voter in any membership that may be in effect.

        A replica whose removal is not known to be committed must still campaign: if
        its log is the longest, no other replica can win an election.
        """
        memberships = self.log.memberships_since(self.commit_index)
        return any(self.member in membership.voters for membership in memberships)


def reset_election_timer(replica: Replica) -> None:
    """Restart the election timer with a random timeout."""
    timing = replica.timing
    wait_s = replica.random.uniform(timing.election_timeout_min_s, timing.election_timeout_max_s)
    replica.election_due_s = replica.now_s + wait_s


def reset_campaign_timer(replica: Replica, rounds: int = 1) -> None:
    """Restart the election timer with the random retry delay of `rounds` rounds of messages.

    The delay doubles with each failed campaign during which a majority was heard.
    Otherwise candidates whose messages take longer than the delay would campaign against
    each other again and again.
    """
    timing = replica.timing
    wait_s = replica.random.uniform(timing.campaign_min_s, timing.campaign_max_s)
    backoff = min(2**replica.failed_campaigns, timing.campaign_backoff_limit)
    replica.election_due_s = replica.now_s + wait_s * backoff * rounds


def defer_campaign(replica: Replica) -> None:
    """Defer an own campaign by the time of a round, in favour of another candidate.

    The other candidate retries later than that.
    """
    soonest_s = replica.now_s + replica.timing.campaign_min_s
    replica.election_due_s = max(replica.election_due_s, soonest_s)


def record_sender(replica: Replica, sender: Member) -> None:
    """Record that a message from `sender` was just received."""
    replica.heard.add(sender)
    if sender == replica.followed:
        replica.followed_heard_s = replica.now_s


def follow_leader(replica: Replica, leader: Member) -> None:
    """Follow `leader`, from which a message of the current term was just received.

    Pre-votes from before are forgotten: their senders may hear the leader by now.
    """
    replica.leader = leader
    replica.leader_seen_s = replica.now_s
    replica.followed = leader
    replica.followed_term = replica.state.term
    replica.followed_heard_s = replica.now_s
    replica.has_followed_ended = False
    replica.failed_campaigns = 0
    replica.pre_votes = set()
    replica.votes = None
    replica.role.feed("leader_seen")
    reset_election_timer(replica)


def end_leader(replica: Replica, leader: Member, term: int) -> None:
    """Campaign soon, and be free to vote, if the leader followed last has ended for good.

    Its lease is what votes are withheld for, and there is nobody left who holds it. The
    leases of leaders before it had lapsed when it was elected.
    """
    is_followed_last = (replica.followed, replica.followed_term) == (leader, term)
    if not is_followed_last or replica.leader not in (None, leader):
        return
    replica.has_followed_ended = True
    replica.leader = None
    soon_s = replica.now_s + replica.random.uniform(0.0, replica.timing.first_campaign_s)
    replica.election_due_s = min(replica.election_due_s, soon_s)


def has_recent_leader(replica: Replica) -> bool:
    """Return whether a leader was seen so recently that no vote may be granted."""
    if replica.has_followed_ended:
        return False
    silent_s = replica.now_s - replica.leader_seen_s
    return silent_s < replica.timing.election_timeout_min_s


def enter_term(replica: Replica, term: int, voted_for: Member | None) -> None:
    """Move to a higher term and write it; pending sends of the old term are discarded."""
    replica.leader = None
    replica.pre_votes = set()
    replica.votes = None
    replica.state = PersistentState(term, voted_for)
    replica.outbox.discard_pending_sends()
    replica.outbox.write_state(replica.state)


def adopt_term(replica: Replica, term: int, voted_for: Member | None = None) -> None:
    """Become a follower in a higher term received from another replica."""
    replica.role.feed("higher_term")
    enter_term(replica, term, voted_for)


def apply_committed(replica: Replica) -> None:
    """Emit the entries to apply: committed, durable here and not applied yet."""
    last = min(replica.commit_index, replica.outbox.durable_index)
    if last <= replica.applied_index:
        return
    replica.outbox.emit(Apply(replica.log.entries(replica.applied_index + 1, last)))
    replica.applied_index = last
