"""Core of one replica of the log: a state machine from inputs to outputs.

A consensus log after Raft (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", USENIX ATC 2014) with pre-vote, check
quorum and a lease that counts from send times. `role.toml` defines the state chart
of the roles.
"""

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from damaskwind.decisions.replication.election import (
    count_votes,
    on_pre_vote_request,
    on_pre_vote_response,
    on_vote_request,
    on_vote_response,
    start_pre_vote,
    start_vote,
    tick_election,
)
from damaskwind.decisions.replication.events import (
    Input,
    LeaderEnded,
    Output,
    Propose,
    ProposeMembership,
    ReadRequest,
    Received,
    SnapshotTaken,
    Tick,
    WritesDurable,
)
from damaskwind.decisions.replication.following import on_append_request, on_snapshot_request
from damaskwind.decisions.replication.leadership import holds_lease
from damaskwind.decisions.replication.leading import (
    check_quorum,
    commit_and_respond,
    on_append_response,
    start_leading,
    stop_leading,
    tick_leader,
)
from damaskwind.decisions.replication.log import ReplicatedLog
from damaskwind.decisions.replication.messages import (
    AppendRequest,
    AppendResponse,
    Member,
    Membership,
    PersistentState,
    PreVoteRequest,
    PreVoteResponse,
    Snapshot,
    SnapshotRequest,
    Timing,
    VoteRequest,
    VoteResponse,
)
from damaskwind.decisions.replication.replica import (
    Replica,
    apply_committed,
    end_leader,
    has_recent_leader,
    record_sender,
)
from damaskwind.decisions.replication.requests import (
    on_membership,
    on_propose,
    on_read,
    repair_membership,
)
from damaskwind.model.statechart import load_chart, start_machine

__all__ = ["ReplicaCore"]

ROLE_CHART = Path(__file__).with_name("role.toml")


class _RoleActions:
    """The actions named in the state chart `role.toml`."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self.elections_started = 0

    def start_pre_vote(self) -> None:
        """Start a campaign with a pre-vote."""
        start_pre_vote(self._replica)

    def start_vote(self) -> None:
        """Start an election in a new term."""
        self.elections_started += 1
        start_vote(self._replica)

    def start_leading(self) -> None:
        """Become the leader."""
        start_leading(self._replica)

    def stop_leading(self) -> None:
        """Step down as the leader."""
        stop_leading(self._replica)


def _on_tick(replica: Replica, event: Tick) -> None:
    if replica.leadership is None:
        tick_election(replica)
        return
    repair_membership(replica)
    tick_leader(replica)


def _on_received(replica: Replica, event: Received) -> None:
    """Handle a message unless it is for another identity or a response of a non-member."""
    envelope = event.envelope
    if envelope.recipient != replica.member or envelope.sender == replica.member:
        return
    message = envelope.message
    if isinstance(message, _RESPONSES) and not _is_member(replica, envelope.sender):
        return
    record_sender(replica, envelope.sender)
    _MESSAGE_HANDLERS[type(message)](replica, envelope.sender, message)


def _is_member(replica: Replica, member: Member) -> bool:
    membership = replica.log.membership
    return member in membership.voters or member in membership.learners


def _on_durable(replica: Replica, event: WritesDurable) -> None:
    replica.outbox.mark_durable(event.write_id)


def _on_leader_ended(replica: Replica, event: LeaderEnded) -> None:
    end_leader(replica, event.leader, event.term)


def _on_snapshot_taken(replica: Replica, event: SnapshotTaken) -> None:
    if replica.log.snapshot.index < event.index <= replica.applied_index:
        replica.log.compact(replica.log.snapshot_at(event.index), keep_suffix=True)


_RESPONSES = (PreVoteResponse, VoteResponse, AppendResponse)

_MESSAGE_HANDLERS: dict[type, Callable[[Replica, Member, Any], None]] = {
    PreVoteRequest: on_pre_vote_request,
    PreVoteResponse: on_pre_vote_response,
    VoteRequest: on_vote_request,
    VoteResponse: on_vote_response,
    AppendRequest: on_append_request,
    AppendResponse: on_append_response,
    SnapshotRequest: on_snapshot_request,
}

_INPUT_HANDLERS: dict[type, Callable[[Replica, Any], None]] = {
    Tick: _on_tick,
    Received: _on_received,
    Propose: on_propose,
    ProposeMembership: on_membership,
    ReadRequest: on_read,
    WritesDurable: _on_durable,
    SnapshotTaken: _on_snapshot_taken,
    LeaderEnded: _on_leader_ended,
}


class ReplicaCore:
    """The core of one replica; its outputs must be executed in order.

    `now_s` is the time of this machine's monotonic clock; a value below an earlier
    one is replaced by the earlier one. `silent_since_s` is a time on this clock after
    which this replica certainly sent no response to a leader; the default is its start.
    """

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
        self._replica = Replica(member, state, log, timing, random, now_s, silent_since_s)
        self._actions = _RoleActions(self._replica)
        self._replica.role = start_machine(load_chart(ROLE_CHART), self._actions)

    def step(self, event: Input, now_s: float) -> list[Output]:
        """Process one input and return the outputs to be executed, in order."""
        replica = self._replica
        replica.now_s = max(replica.now_s, now_s)
        check_quorum(replica)
        _INPUT_HANDLERS[type(event)](replica, event)
        count_votes(replica)
        commit_and_respond(replica)
        apply_committed(replica)
        return replica.outbox.drain()

    def holds_lease(self, now_s: float) -> bool:
        """Return whether this replica leads and its lease is still valid at `now_s`."""
        return holds_lease(self._replica, max(now_s, self._replica.now_s))

    def withholds_vote(self) -> bool:
        """Return whether this replica grants no vote at the time of its last input."""
        return self.role == "leader" or has_recent_leader(self._replica)

    def snapshot_at(self, index: int) -> Snapshot:
        """Return the metadata of a snapshot of the state applied up to `index`."""
        return self._replica.log.snapshot_at(index)

    @property
    def member(self) -> Member:
        """Return the member that this replica is."""
        return self._replica.member

    @property
    def role(self) -> str:
        """Return the current role, a state of the state chart."""
        return self._replica.role.state

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._replica.state.term

    @property
    def elections_started(self) -> int:
        """Return how many elections this replica has started."""
        return self._actions.elections_started

    @property
    def leader(self) -> Member | None:
        """Return the known leader, which may be this replica, or None."""
        return self._replica.leader

    @property
    def leader_seen_s(self) -> float:
        """Return when a leader was last seen, initially `silent_since_s`."""
        return self._replica.leader_seen_s

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log, committed or not."""
        return self._replica.log.membership

    @property
    def commit_index(self) -> int:
        """Return the last index known to be committed."""
        return self._replica.commit_index

    @property
    def applied_index(self) -> int:
        """Return the last index that was emitted to be applied."""
        return self._replica.applied_index

    @property
    def last_index(self) -> int:
        """Return the last index of the log."""
        return self._replica.log.last_index
