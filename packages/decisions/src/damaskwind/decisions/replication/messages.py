"""Typed messages of the replicated log: entries, between replicas, inputs, outputs.

Nothing here does any work. The shell around the core turns network calls, disk
completions and timer ticks into inputs, and carries outputs out in the order in
which they were given. Durable outputs carry a `write_id` that only grows; the
shell answers `WritesDurable(write_id)` once that write and all before it are
synced. Sends that depend on a write come out only after that answer.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "NO_ROUND",
    "AppendEntries",
    "AppendRequest",
    "AppendResponse",
    "Apply",
    "BecameLeader",
    "ChangeKind",
    "EntryKind",
    "Envelope",
    "Input",
    "InstallSnapshot",
    "LogEntry",
    "Member",
    "Membership",
    "MembershipChange",
    "Message",
    "Outcome",
    "Output",
    "PersistentState",
    "PreVoteRequest",
    "PreVoteResponse",
    "ProposalOutcome",
    "Propose",
    "ProposeMembership",
    "ReadReady",
    "ReadRefused",
    "ReadRequest",
    "Received",
    "RefusalReason",
    "Send",
    "SendSnapshot",
    "Snapshot",
    "SnapshotRequest",
    "SnapshotTaken",
    "SteppedDown",
    "Tick",
    "Timing",
    "TruncateFrom",
    "VoteRequest",
    "VoteResponse",
    "WriteState",
    "WritesDurable",
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
    `least_voters` are there. By default only operators remove voters.
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


class Tick(NamedTuple):
    """Time has passed. Feed a few times per heartbeat."""


class Received(NamedTuple):
    """An authenticated message came in."""

    envelope: Envelope


class Propose(NamedTuple):
    """Append a command to the log."""

    proposal_id: str
    payload: bytes


class ProposeMembership(NamedTuple):
    """Change the members by one."""

    proposal_id: str
    change: MembershipChange


class ReadRequest(NamedTuple):
    """Ask for an index at which a read is linearizable.

    With `lease_suffices` a valid lease answers at once; that is only as good
    as the machines' clocks. Otherwise a majority is asked.
    """

    read_id: str
    lease_suffices: bool = False


class WritesDurable(NamedTuple):
    """The write with this id and all before it are synced."""

    write_id: int


class SnapshotTaken(NamedTuple):
    """A snapshot of the applied state at `index` is durable; drop the log up to it."""

    index: int


Input = Tick | Received | Propose | ProposeMembership | ReadRequest | WritesDurable | SnapshotTaken


class Send(NamedTuple):
    """Send this message."""

    envelope: Envelope


class SendSnapshot(NamedTuple):
    """Send the newest durable snapshot: the shell fills in `snapshot` and `data`."""

    envelope: Envelope


class WriteState(NamedTuple):
    """Make the term and vote durable."""

    write_id: int
    state: PersistentState


class AppendEntries(NamedTuple):
    """Add these entries to the end of the durable log."""

    write_id: int
    entries: tuple[LogEntry, ...]


class TruncateFrom(NamedTuple):
    """Remove the entry at `index` and all after it from the durable log."""

    write_id: int
    index: int


class InstallSnapshot(NamedTuple):
    """Make a received snapshot durable and load it into the state machine.

    Afterwards the durable log holds the entries after the snapshot when
    `keep_suffix` is set, and none otherwise.
    """

    write_id: int
    snapshot: Snapshot
    data: bytes
    keep_suffix: bool


class Apply(NamedTuple):
    """Apply these committed entries, in order, to the state machine."""

    entries: tuple[LogEntry, ...]


class ReadReady(NamedTuple):
    """The state applied up to `index` is current for this read."""

    read_id: str
    index: int


class ReadRefused(NamedTuple):
    """This replica can't vouch for being current."""

    read_id: str
    reason: RefusalReason
    leader: Member | None


class ProposalOutcome(NamedTuple):
    """How a proposal ended; `index` is its place in the log, 0 when refused."""

    proposal_id: str
    outcome: Outcome
    index: int = 0
    reason: RefusalReason | None = None
    leader: Member | None = None


class BecameLeader(NamedTuple):
    """This replica leads in `term`."""

    term: int


class SteppedDown(NamedTuple):
    """This replica no longer leads; `term` is the one it led in."""

    term: int


Output = (
    Send
    | SendSnapshot
    | WriteState
    | AppendEntries
    | TruncateFrom
    | InstallSnapshot
    | Apply
    | ReadReady
    | ReadRefused
    | ProposalOutcome
    | BecameLeader
    | SteppedDown
)
