"""Typed parts of the replicated log: its entries, members, periods and messages.

Nothing here does any work. `events.py` holds what goes into a core and out of it.
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

# A leader counts its rounds from 1, anew in each term.
NO_ROUND = 0


class EntryKind(StrEnum):
    """What a log entry holds."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NOOP = "noop"


class ChangeKind(StrEnum):
    """What a membership change does. Newcomers start as learners."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class Outcome(StrEnum):
    """How a proposal ended. `UNKNOWN` may still commit: ask by its id."""

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Why a proposal or a read was refused. Nothing was changed."""

    NOT_LEADER = "not-leader"
    NO_QUORUM = "no-quorum"
    CHANGE_PENDING = "change-pending"
    INVALID_CHANGE = "invalid-change"
    STEPPED_DOWN = "stepped-down"


class Member(NamedTuple):
    """One replica with one life of its disk.

    `replica_id` names the replica, `identity` the life of its disk: a replica
    that lost its disk comes back under a new identity and is another member.
    """

    replica_id: str
    identity: str


class Membership(NamedTuple):
    """Who votes and who only learns."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


class MembershipChange(NamedTuple):
    """One change of one member."""

    kind: ChangeKind
    member: Member


class LogEntry(NamedTuple):
    """One entry of the log. Indexes count from 1."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class PersistentState(NamedTuple):
    """What must be durable beside the log: the term and the vote given in it."""

    term: int = 0
    voted_for: Member | None = None


class Snapshot(NamedTuple):
    """The place in the log that a snapshot stands for, and the members there."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()


class Timing(NamedTuple):
    """Periods of the protocol.

    A follower that heard from a leader less than `election_timeout_min_s` ago
    gives no vote. `drift_ratio` is how much slower one clock may run than
    another; the lease is shorter than the shortest election timeout by it.

    A replica that starts campaigns within `first_campaign_s` of the end of its
    promises. A campaign that was not won is begun again after `campaign_min_s`
    to `campaign_max_s`: a pre-vote disturbs nobody, and a round takes two
    messages and a sync each way, some 0.1 s on a VM of a quarter of a core.

    A voter that was silent for `replace_after_s` gives its place to a learner
    that has caught up; after twice as long it is removed while more than
    `least_voters` are there. By default only operators remove voters. Learners
    beyond `most_voters` stay learners: an even number of voters bears no more
    losses than one less, but needs one more answer for each commit and election.
    """

    heartbeat_s: float = 0.25
    election_timeout_min_s: float = 1.0
    election_timeout_max_s: float = 2.0
    drift_ratio: float = 0.1
    first_campaign_s: float = 0.3
    campaign_min_s: float = 0.3
    campaign_max_s: float = 0.7
    max_batch_entries: int = 256
    replace_after_s: float = float("inf")
    least_voters: int = 3
    most_voters: float = float("inf")


class PreVoteRequest(NamedTuple):
    """Ask whether a vote in `term` would be given; changes nothing."""

    term: int
    last_index: int
    last_term: int


class PreVoteResponse(NamedTuple):
    """Answer a pre-vote for `asked_term`; `term` is the responder's own."""

    term: int
    asked_term: int
    granted: bool


class VoteRequest(NamedTuple):
    """Ask for the vote in `term`."""

    term: int
    last_index: int
    last_term: int


class VoteResponse(NamedTuple):
    """Give or refuse the vote in `term`."""

    term: int
    granted: bool


class AppendRequest(NamedTuple):
    """Replicate entries after `previous_index`; without entries, a heartbeat.

    `round_number` names the leader's round, whose send time counts for its lease.
    """

    term: int
    round_number: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int


class AppendResponse(NamedTuple):
    """Answer an append or a snapshot.

    Accepted: the log matches the leader's up to `match_index`, durably.
    Refused: the leader should try again after `match_index`.

    An answer to a request of an earlier term names no round (`NO_ROUND`): its
    sender may lead again by now, in the answer's term, and would take it for an
    answer to a round of its own, and hold a lease that nobody gave.
    """

    term: int
    round_number: int
    accepted: bool
    match_index: int


class SnapshotRequest(NamedTuple):
    """Send a whole snapshot to a replica whose next entry is no longer held."""

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
    """A message with both members; one for another identity is dropped."""

    sender: Member
    recipient: Member
    message: Message
