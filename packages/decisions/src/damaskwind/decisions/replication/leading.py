"""Leader role: replicate and commit entries, check the quorum and answer requests."""

from damaskwind.decisions.replication.events import (
    BecameLeader,
    PeerResponse,
    ProposalOutcome,
    ReadReady,
    ReadRefused,
    SendSnapshot,
    SteppedDown,
)
from damaskwind.decisions.replication.leadership import (
    Leadership,
    PendingRead,
    Progress,
    discard_old_rounds,
    has_lost_quorum,
    quorum_round,
    quorum_sent_s,
    record_response,
)
from damaskwind.decisions.replication.membership import majority_value
from damaskwind.decisions.replication.messages import (
    AppendRequest,
    AppendResponse,
    EntryKind,
    LogEntry,
    Member,
    Outcome,
    RefusalReason,
    SnapshotRequest,
)
from damaskwind.decisions.replication.replica import (
    Replica,
    adopt_term,
    apply_committed,
    reset_election_timer,
)

__all__ = [
    "add_read",
    "append_entry",
    "check_quorum",
    "is_from_current_term",
    "on_append_response",
    "quorum_match",
    "commit_and_respond",
    "start_leading",
    "stop_leading",
    "tick_leader",
]


def start_leading(replica: Replica) -> None:
    """Become the leader and append a no-op entry of the new term.

    Committing this entry commits all entries before it.
    """
    replica.leader = replica.member
    replica.votes = None
    replica.failed_campaigns = 0
    first_index = replica.log.last_index + 1
    vote_trip_s = replica.now_s - replica.vote_asked_s
    replica.leadership = Leadership(replica.state.term, first_index, replica.now_s, vote_trip_s)
    replica.outbox.emit(BecameLeader(replica.state.term))
    append_entry(replica, EntryKind.NOOP, b"")
    begin_round(replica, replica.leadership)


def stop_leading(replica: Replica) -> None:
    """Step down, and end all pending reads and proposals.

    Reads are refused. The outcome of proposals is unknown, as they may still commit.
    """
    leadership = replica.leadership
    if leadership is None:
        return
    stepped_down = _describe_step_down(replica, leadership)
    replica.leadership = None
    replica.leader = None
    reset_election_timer(replica)
    for read in leadership.reads:
        refused = ReadRefused(read.read_id, RefusalReason.STEPPED_DOWN, None)
        replica.outbox.emit(refused)
    for index, proposal_id in leadership.proposals.items():
        replica.outbox.emit(ProposalOutcome(proposal_id, Outcome.UNKNOWN, index))
    replica.outbox.emit(stepped_down)


def _describe_step_down(replica: Replica, leadership: Leadership) -> SteppedDown:
    """Return why this replica steps down and when each peer last responded."""
    quorum_age_s = replica.now_s - quorum_sent_s(replica, leadership)
    cause = "higher-term" if replica.is_voter() else "removed"
    if has_lost_quorum(replica, leadership):
        cause = "quorum-lost"
    answers = (
        PeerResponse(
            peer.replica_id,
            round(replica.now_s - max(progress.last_response_s, leadership.started_s), 3),
            leadership.round_number - progress.answered_round,
        )
        for peer, progress in leadership.peers.items()
    )
    return SteppedDown(leadership.term, cause, round(quorum_age_s, 3), tuple(answers))


def append_entry(
    replica: Replica, kind: EntryKind, payload: bytes, proposal_id: str | None = None
) -> None:
    """Append an entry of the current term and send it to the peers."""
    leadership = replica.leadership
    assert leadership is not None
    entry = LogEntry(replica.log.last_index + 1, leadership.term, kind, payload)
    replica.log.append((entry,))
    replica.outbox.append((entry,))
    if proposal_id is not None:
        leadership.proposals[entry.index] = proposal_id
    refresh_peers(replica, leadership)
    for peer, progress in leadership.peers.items():
        if not progress.is_probing:
            send_entries(replica, leadership, peer, progress)


def refresh_peers(replica: Replica, leadership: Leadership) -> None:
    """Update the tracked peers to the current membership, keeping their progress."""
    voters, learners = replica.log.membership
    members = [member for member in (*voters, *learners) if member != replica.member]
    next_index = replica.log.last_index + 1
    known = leadership.peers
    leadership.peers = {member: known.get(member) or Progress(next_index) for member in members}


def begin_round(replica: Replica, leadership: Leadership) -> None:
    """Start a new round: send every peer the entries it lacks."""
    discard_old_rounds(replica, leadership)
    leadership.round_number += 1
    leadership.round_sent_s[leadership.round_number] = replica.now_s
    leadership.heartbeat_due_s = replica.now_s + replica.timing.heartbeat_s
    for peer, progress in leadership.peers.items():
        send_entries(replica, leadership, peer, progress)


def send_entries(
    replica: Replica, leadership: Leadership, peer: Member, progress: Progress
) -> None:
    """Send a peer its next entries, or a snapshot and a heartbeat if those were compacted."""
    log = replica.log
    if progress.next_index <= log.snapshot.index:
        send_snapshot(replica, leadership, peer, progress)
    previous_index = max(progress.next_index - 1, log.snapshot.index)
    last_index = min(log.last_index, previous_index + replica.timing.max_batch_entries)
    if progress.next_index <= log.snapshot.index:
        last_index = previous_index
    request = AppendRequest(
        term=leadership.term,
        round_number=leadership.round_number,
        previous_index=previous_index,
        previous_term=log.term_at(previous_index) or 0,
        entries=log.entries(previous_index + 1, last_index),
        commit_index=replica.commit_index,
    )
    replica.outbox.send_after_state(replica.envelope(peer, request))
    if not progress.is_probing:
        progress.next_index = last_index + 1


def send_snapshot(
    replica: Replica, leadership: Leadership, peer: Member, progress: Progress
) -> None:
    """Send the newest snapshot, at most once per minimum election timeout.

    The limit gives a snapshot time to arrive before it is sent again.
    """
    if replica.now_s < progress.snapshot_sent_s + replica.timing.election_timeout_min_s:
        return
    progress.snapshot_sent_s = replica.now_s
    snapshot = replica.log.snapshot
    request = SnapshotRequest(leadership.term, leadership.round_number, snapshot, b"")
    replica.outbox.emit(SendSnapshot(replica.envelope(peer, request)))


def on_append_response(replica: Replica, sender: Member, response: AppendResponse) -> None:
    """Update the progress of a peer and send it the entries it lacks."""
    if response.term > replica.state.term:
        adopt_term(replica, response.term)
        return
    leadership = replica.leadership
    if leadership is None or response.term != leadership.term:
        return
    progress = leadership.peers.get(sender)
    if progress is None:
        return
    record_response(leadership, progress, response.round_number, replica.now_s)
    if response.accepted:
        _on_match(replica, leadership, sender, progress, response.match_index)
    else:
        _on_mismatch(replica, leadership, sender, progress, response.match_index)


def _on_match(
    replica: Replica, leadership: Leadership, peer: Member, progress: Progress, match_index: int
) -> None:
    """Record that the peer has stored the log durably up to `match_index`."""
    progress.match_index = max(progress.match_index, match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    was_probing, progress.is_probing = progress.is_probing, False
    if was_probing:
        progress.next_index = progress.match_index + 1
    if progress.next_index <= replica.log.last_index:
        send_entries(replica, leadership, peer, progress)


def _on_mismatch(
    replica: Replica, leadership: Leadership, peer: Member, progress: Progress, retry_after: int
) -> None:
    """Retry from an earlier index: the peer's log is too short or conflicts."""
    next_index = max(progress.match_index, retry_after) + 1
    if progress.is_probing and next_index >= progress.next_index:
        return
    progress.is_probing = True
    progress.next_index = next_index
    send_entries(replica, leadership, peer, progress)


def check_quorum(replica: Replica) -> None:
    """Step down if a majority no longer answers."""
    leadership = replica.leadership
    if leadership is not None and has_lost_quorum(replica, leadership):
        replica.role.feed("quorum_lost")


def tick_leader(replica: Replica) -> None:
    """Start a round if a heartbeat is due."""
    leadership = replica.leadership
    if leadership is not None and replica.now_s >= leadership.heartbeat_due_s:
        begin_round(replica, leadership)


def commit_and_respond(replica: Replica) -> None:
    """Commit entries stored by a majority; answer proposals and reads that waited for them.

    A leader that is no longer a voter steps down once that change is committed.
    """
    leadership = replica.leadership
    if leadership is None:
        return
    commit_index = quorum_match(replica, leadership)
    if commit_index > replica.commit_index and is_from_current_term(replica, commit_index):
        replica.commit_index = commit_index
    apply_committed(replica)
    _report_committed(replica, leadership)
    _answer_reads(replica, leadership)
    is_settled = replica.commit_index >= max(leadership.first_index, replica.log.membership_index)
    if is_settled and not replica.is_voter():
        replica.role.feed("removed")


def is_from_current_term(replica: Replica, index: int) -> bool:
    """Return whether the entry at `index` is of the leader's current term.

    An entry of an earlier term that a majority has stored may still be overwritten
    by a leader of a term in between (figure 8 of the Raft paper).
    """
    return replica.log.term_at(index) == replica.state.term


def quorum_match(replica: Replica, leadership: Leadership) -> int:
    """Return the last index that a majority of voters has stored durably."""

    def match_index(voter: Member) -> int:
        if voter == replica.member:
            return replica.outbox.durable_index
        progress = leadership.peers.get(voter)
        return progress.match_index if progress else 0

    return int(majority_value(replica.log.membership.voters, match_index))


def _report_committed(replica: Replica, leadership: Leadership) -> None:
    done = [index for index in leadership.proposals if index <= replica.applied_index]
    for index in done:
        proposal_id = leadership.proposals.pop(index)
        replica.outbox.emit(ProposalOutcome(proposal_id, Outcome.COMMITTED, index))


def _answer_reads(replica: Replica, leadership: Leadership) -> None:
    """Answer reads whose round a majority answered; start a round if others still wait."""
    answered = quorum_round(replica, leadership)
    waiting = []
    for read in leadership.reads:
        if read.round_number <= answered and read.index <= replica.applied_index:
            replica.outbox.emit(ReadReady(read.read_id, replica.applied_index))
        else:
            waiting.append(read)
    leadership.reads = waiting
    is_answered = answered == leadership.round_number
    if is_answered and any(read.round_number > answered for read in waiting):
        begin_round(replica, leadership)


def add_read(replica: Replica, leadership: Leadership, read_id: str) -> None:
    """Queue a read that waits for the next round."""
    index = max(replica.commit_index, leadership.first_index)
    leadership.reads.append(PendingRead(read_id, leadership.round_number + 1, index))
