"""The state of one replica, shared by the functions that act on it."""

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
    "has_recent_leader",
    "defer_campaign",
    "follow_leader",
    "reset_election_timer",
    "reset_campaign_timer",
]


class Replica:
    """What one replica knows. `role` is its running state chart.

    A replica that starts may have promised, before it stopped, to give no vote
    for a while: it counts as having heard a leader at `silent_since_s`, a time
    after which it has surely answered nobody, such as its process's start.
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
        self.votes: set[Member] = set()
        self.leadership: Leadership | None = None

    def _first_campaign_s(self) -> float:
        """Return when to campaign after a start: promises are over, the others may be up."""
        free_s = self.leader_seen_s + self.timing.election_timeout_min_s
        return max(self.now_s, free_s) + self.random.uniform(0.0, self.timing.first_campaign_s)

    def envelope(self, recipient: Member, message: Message) -> Envelope:
        """Address a message."""
        return Envelope(self.member, recipient, message)

    def is_voter(self) -> bool:
        """Tell whether this member votes by the newest membership it knows."""
        return self.member in self.log.membership.voters

    def may_campaign(self) -> bool:
        """Tell whether this member votes by any membership that may be in force.

        A replica whose own removal is not known to be committed must still
        campaign: its log may be the longest, and then nobody else can win.
        """
        memberships = self.log.memberships_since(self.commit_index)
        return any(self.member in membership.voters for membership in memberships)


def reset_election_timer(replica: Replica) -> None:
    """Start the election timer anew, for a random time."""
    timing = replica.timing
    wait_s = replica.random.uniform(timing.election_timeout_min_s, timing.election_timeout_max_s)
    replica.election_due_s = replica.now_s + wait_s


def reset_campaign_timer(replica: Replica) -> None:
    """Start the election timer anew for a campaign that is not won soon."""
    timing = replica.timing
    wait_s = replica.random.uniform(timing.campaign_min_s, timing.campaign_max_s)
    replica.election_due_s = replica.now_s + wait_s


def defer_campaign(replica: Replica) -> None:
    """Leave a replica that campaigns the time of a round; it asks again later than that."""
    soonest_s = replica.now_s + replica.timing.campaign_min_s
    replica.election_due_s = max(replica.election_due_s, soonest_s)


def follow_leader(replica: Replica, leader: Member) -> None:
    """Follow `leader`, which has just been heard in the present term."""
    replica.leader = leader
    replica.leader_seen_s = replica.now_s
    replica.role.feed("leader_seen")
    reset_election_timer(replica)


def has_recent_leader(replica: Replica) -> bool:
    """Tell whether a leader was heard so recently that no vote may be given."""
    silent_s = replica.now_s - replica.leader_seen_s
    return silent_s < replica.timing.election_timeout_min_s


def enter_term(replica: Replica, term: int, voted_for: Member | None) -> None:
    """Move to a higher term and write it; answers of the old term are dropped."""
    replica.leader = None
    replica.state = PersistentState(term, voted_for)
    replica.outbox.discard_pending_sends()
    replica.outbox.write_state(replica.state)


def adopt_term(replica: Replica, term: int, voted_for: Member | None = None) -> None:
    """Become a follower in a higher term that another replica named."""
    replica.role.feed("higher_term")
    enter_term(replica, term, voted_for)


def apply_committed(replica: Replica) -> None:
    """Hand out what is committed and durable here and has not been applied."""
    last = min(replica.commit_index, replica.outbox.durable_index)
    if last <= replica.applied_index:
        return
    replica.outbox.emit(Apply(replica.log.entries(replica.applied_index + 1, last)))
    replica.applied_index = last
