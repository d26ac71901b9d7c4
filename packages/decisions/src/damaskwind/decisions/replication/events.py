"""Inputs and outputs of the core of a replica.

Plain data without behaviour. The shell around the core turns network calls, disk
completions and timer ticks into inputs, and executes the outputs in the order in
which the core returned them. Each write has a `write_id`; ids increase. The shell
feeds `WritesDurable(write_id)` once that write and all earlier ones are synced. The
core emits a send that depends on a write only after this input.
"""

from typing import NamedTuple

from damaskwind.decisions.replication.messages import (
    Envelope,
    LogEntry,
    Member,
    MembershipChange,
    Outcome,
    PersistentState,
    RefusalReason,
    Snapshot,
)

__all__ = [
    "AppendEntries",
    "Apply",
    "BecameLeader",
    "Input",
    "InstallSnapshot",
    "LeaderEnded",
    "Output",
    "ProposalOutcome",
    "PeerResponse",
    "Propose",
    "ProposeMembership",
    "ReadReady",
    "ReadRefused",
    "RepairStarted",
    "ReadRequest",
    "Received",
    "Send",
    "SendSnapshot",
    "SnapshotTaken",
    "SteppedDown",
    "Tick",
    "TruncateFrom",
    "WriteState",
    "WritesDurable",
]


class Tick(NamedTuple):
    """Time has passed. Feed this input a few times per heartbeat period."""


class Received(NamedTuple):
    """An authenticated message was received."""

    envelope: Envelope


class Propose(NamedTuple):
    """Append a command to the log."""

    proposal_id: str
    payload: bytes


class ProposeMembership(NamedTuple):
    """Change the membership by one member."""

    proposal_id: str
    change: MembershipChange


class ReadRequest(NamedTuple):
    """Ask for an index at which a read is linearizable.

    With `lease_suffices` a leader with a valid lease answers at once, which is safe
    only while the clocks drift within the configured ratio. Otherwise the leader
    waits for a majority to confirm it.
    """

    read_id: str
    lease_suffices: bool = False


class WritesDurable(NamedTuple):
    """The write with this id and all earlier writes are synced."""

    write_id: int


class SnapshotTaken(NamedTuple):
    """A snapshot of the applied state at `index` is durable; compact the log up to it."""

    index: int


class LeaderEnded(NamedTuple):
    """The process that led as this member in this term has ended, and its disk is lost.

    Proof is that its replica answers with another identity to a question that was asked
    when the member was known to lead: a replica runs as one identity after another, so
    that the member answers no read any more, by a lease or otherwise. The news may be late,
    and the disk be back by then: the member may lead again, in a later term.
    """

    leader: Member
    term: int


Input = (
    Tick
    | Received
    | Propose
    | ProposeMembership
    | ReadRequest
    | WritesDurable
    | SnapshotTaken
    | LeaderEnded
)


class Send(NamedTuple):
    """Send this message."""

    envelope: Envelope


class SendSnapshot(NamedTuple):
    """Send the newest durable snapshot; the shell fills in `snapshot` and `data`."""

    envelope: Envelope


class WriteState(NamedTuple):
    """Make the term and vote durable."""

    write_id: int
    state: PersistentState


class AppendEntries(NamedTuple):
    """Append these entries to the durable log."""

    write_id: int
    entries: tuple[LogEntry, ...]


class TruncateFrom(NamedTuple):
    """Remove the entry at `index` and all after it from the durable log."""

    write_id: int
    index: int


class InstallSnapshot(NamedTuple):
    """Make a received snapshot durable and load it into the state machine.

    If `keep_suffix` is set, the durable log keeps its entries after the snapshot;
    otherwise it is empty afterwards.
    """

    write_id: int
    snapshot: Snapshot
    data: bytes
    keep_suffix: bool


class Apply(NamedTuple):
    """Apply these committed entries, in order, to the state machine."""

    entries: tuple[LogEntry, ...]


class ReadReady(NamedTuple):
    """The state applied up to `index` is recent enough for this read."""

    read_id: str
    index: int


class ReadRefused(NamedTuple):
    """This replica cannot guarantee a linearizable read."""

    read_id: str
    reason: RefusalReason
    leader: Member | None


class ProposalOutcome(NamedTuple):
    """The result of a proposal; `index` is its index in the log, 0 if it was refused."""

    proposal_id: str
    outcome: Outcome
    index: int = 0
    reason: RefusalReason | None = None
    leader: Member | None = None


class BecameLeader(NamedTuple):
    """This replica became the leader of `term`."""

    term: int


class RepairStarted(NamedTuple):
    """The leader proposed `change` by itself; `silent_s` is how long its member was silent."""

    change: MembershipChange
    silent_s: float


class PeerResponse(NamedTuple):
    """The age of a peer's last response to a leader, and the number of unanswered rounds."""

    replica_id: str
    age_s: float
    rounds_behind: int


class SteppedDown(NamedTuple):
    """This replica no longer leads; `term` is the term in which it led.

    `cause` is `quorum-lost`, `higher-term` or `removed`. `quorum_age_s` is the time
    since the newest round that a majority answered was sent.
    """

    term: int
    cause: str = ""
    quorum_age_s: float = 0.0
    answers: tuple[PeerResponse, ...] = ()


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
    | RepairStarted
    | SteppedDown
)
