"""Data types of the replicated log: entries, members, timing and messages.

Plain data without behaviour. `events.py` defines the inputs and outputs of a core.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "NO_ROUND",
    "AppendRequest",
    "AppendResponse",
    "ChangeKind",
    "EntryKind",
    "Envelope",
    "LogEntry",
    "Member",
    "Membership",
    "MembershipChange",
    "Message",
    "Outcome",
    "PersistentState",
    "PreVoteRequest",
    "PreVoteResponse",
    "RefusalReason",
    "Snapshot",
    "SnapshotRequest",
    "Timing",
    "VoteRequest",
    "VoteResponse",
]

# Rounds are numbered from 1 in each term, so 0 stands for no round.
NO_ROUND = 0


class EntryKind(StrEnum):
    """The kind of a log entry."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NOOP = "noop"


class ChangeKind(StrEnum):
    """The kind of a membership change. A new member starts as a learner."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class Outcome(StrEnum):
    """The result of a proposal.

    A proposal with the result `UNKNOWN` may still be committed; look it up by its id.
    """

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """The reason for refusing a proposal or a read; a refused one has no effect."""

    NOT_LEADER = "not-leader"
    NO_QUORUM = "no-quorum"
    CHANGE_PENDING = "change-pending"
    INVALID_CHANGE = "invalid-change"
    STEPPED_DOWN = "stepped-down"


class Member(NamedTuple):
    """A replica, identified by its id and by its disk.

    `replica_id` is the name of the replica and `identity` that of its disk. A replica
    that lost its disk returns with a new identity and counts as a different member.
    """

    replica_id: str
    identity: str


class Membership(NamedTuple):
    """The voting members and the learners, which replicate the log without a vote."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


class MembershipChange(NamedTuple):
    """A change of a single member."""

    kind: ChangeKind
    member: Member


class LogEntry(NamedTuple):
    """An entry of the log. Indexes start at 1."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class PersistentState(NamedTuple):
    """The durable state besides the log: the current term and the vote cast in it."""

    term: int = 0
    voted_for: Member | None = None


class Snapshot(NamedTuple):
    """The last index and term that a snapshot covers, and the membership at that index."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()


class Timing(NamedTuple):
    """Timing and size parameters of the protocol.

    A follower that received a message from a leader less than
    `election_timeout_min_s` ago grants no vote. `drift_ratio` bounds how much slower
    one clock may run than another; the lease is shorter than the shortest election
    timeout by this ratio.

    After a start, a replica may have to withhold its vote for up to
    `election_timeout_min_s`; it campaigns within `first_campaign_s` of the end of
    that period. An unsuccessful campaign is retried after `campaign_min_s` to
    `campaign_max_s`. The retry can be this quick because a pre-vote does not disrupt
    a leader, and a round takes two messages and a sync in each direction, about
    0.1 s on a VM with a quarter of a core. On a busy one a round takes seconds, so the
    delay doubles with each campaign that failed though a majority was heard, up to
    `campaign_backoff_limit` times the first one.

    A leader steps down when no majority has answered a round that was sent in the last
    `election_timeout_min_s`. If the last round trips were longer than a heartbeat, it
    waits longer by twice the difference, up to `slow_answer_limit_s`.

    A voter that has been silent for `replace_after_s` is replaced by a caught-up
    learner. After `remove_after_s` it is removed even without a replacement, as long
    as there are more than `least_voters` voters. By default only operators remove
    voters. Learners are not promoted beyond `most_voters`: an even number of voters
    tolerates no more losses than the odd number below it, but each commit and each
    election needs one more response.
    """

    heartbeat_s: float = 0.25
    election_timeout_min_s: float = 1.0
    election_timeout_max_s: float = 2.0
    drift_ratio: float = 0.1
    first_campaign_s: float = 0.3
    campaign_min_s: float = 0.3
    campaign_max_s: float = 0.7
    campaign_backoff_limit: int = 4
    slow_answer_limit_s: float = 3.0
    max_batch_entries: int = 256
    replace_after_s: float = float("inf")
    remove_after_s: float = float("inf")
    least_voters: int = 3
    most_voters: float = float("inf")


class PreVoteRequest(NamedTuple):
    """Ask whether the recipient would grant a vote in `term`; changes no state."""

    term: int
    last_index: int
    last_term: int


class PreVoteResponse(NamedTuple):
    """Answer a pre-vote for `asked_term`; `term` is the current term of the responder."""

    term: int
    asked_term: int
    granted: bool


class VoteRequest(NamedTuple):
    """Ask for a vote in `term`."""

    term: int
    last_index: int
    last_term: int


class VoteResponse(NamedTuple):
    """Grant or refuse a vote in `term`."""

    term: int
    granted: bool


class AppendRequest(NamedTuple):
    """Replicate the entries after `previous_index`; a heartbeat if there are none.

    `round_number` is the round of the leader that the request belongs to. The
    leader's lease counts from the send time of a round.
    """

    term: int
    round_number: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int


class AppendResponse(NamedTuple):
    """Answer an append or a snapshot.

    If accepted, the durable log matches the leader's up to `match_index`. If refused,
    the leader should retry with the entries after `match_index`.

    The answer to a request of an earlier term carries no round (`NO_ROUND`). Its
    recipient may by now lead in the term of the answer; it would count the answer
    towards one of its own rounds and so hold a lease that no majority granted.
    """

    term: int
    round_number: int
    accepted: bool
    match_index: int


class SnapshotRequest(NamedTuple):
    """Send a snapshot to a replica whose next entry the leader has already compacted."""

    term: int
    round_number: int
    snapshot: Snapshot
    data: bytes


Message = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotRequest
)


class Envelope(NamedTuple):
    """A message with its sender and recipient.

    A replica drops an envelope that is addressed to another identity.
    """

    sender: Member
    recipient: Member
    message: Message
