"""What goes into the core of a replica, and what comes out to be carried out, in order.

Nothing here does any work. The shell around the core turns network calls, disk
completions and timer ticks into inputs, and carries outputs out in the order in
which they were given. Durable outputs carry a `write_id` that only grows; the
shell answers `WritesDurable(write_id)` once that write and all before it are
synced. Sends that depend on a write come out only after that answer.
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
    "Output",
    "ProposalOutcome",
    "PeerResponse",
    "Propose",
    "ProposeMembership",
    "ReadReady",
    "ReadRefused",
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


class PeerResponse(NamedTuple):
    """When a leader last heard a peer, and how many of its rounds the peer has not answered."""

    replica_id: str
    age_s: float
    rounds_behind: int


class SteppedDown(NamedTuple):
    """This replica no longer leads; `term` is the one it led in.

    `cause` is `quorum-lost`, `higher-term` or `removed`; `quorum_age_s` is the age of
    the newest round that a majority answered, counted from when it was sent.
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
    | SteppedDown
)
