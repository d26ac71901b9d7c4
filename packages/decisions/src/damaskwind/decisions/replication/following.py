"""Follower role: store the leader's entries and snapshots, and respond once durable."""

from damaskwind.decisions.replication.log import LogError
from damaskwind.decisions.replication.messages import (
    NO_ROUND,
    AppendRequest,
    AppendResponse,
    LogEntry,
    Member,
    SnapshotRequest,
)
from damaskwind.decisions.replication.replica import Replica, adopt_term, follow_leader

__all__ = ["on_append_request", "on_snapshot_request"]


def on_append_request(replica: Replica, sender: Member, request: AppendRequest) -> None:
    """Append the leader's entries if the logs match, else respond with a retry index.

    A malformed request is ignored: it changes no state and gets no response.
    """
    if not _is_well_formed(request):
        return
    if not _follow(replica, sender, request.term):
        _respond(replica, sender, NO_ROUND, False, 0)
        return
    if not _matches(replica, request):
        retry_after = _last_possible_match(replica, request.previous_index)
        _respond(replica, sender, request.round_number, False, retry_after)
        return
    _append_missing(replica, request.entries)
    match_index = max(request.previous_index + len(request.entries), replica.log.snapshot.index)
    replica.commit_index = max(replica.commit_index, min(request.commit_index, match_index))
    _respond(replica, sender, request.round_number, True, match_index)


def on_snapshot_request(replica: Replica, sender: Member, request: SnapshotRequest) -> None:
    """Install a snapshot if it is ahead of the commit index."""
    if not _follow(replica, sender, request.term):
        _respond(replica, sender, NO_ROUND, False, 0)
        return
    snapshot = request.snapshot
    if snapshot.index > replica.commit_index:
        keep_suffix = replica.log.term_at(snapshot.index) == snapshot.term
        replica.log.compact(snapshot, keep_suffix)
        replica.outbox.install(snapshot, request.data, keep_suffix, replica.commit_index)
        replica.commit_index = snapshot.index
        replica.applied_index = snapshot.index
    _respond(replica, sender, request.round_number, True, replica.commit_index)


def _follow(replica: Replica, sender: Member, term: int) -> bool:
    """Follow the leader of `term`, or return False if this replica is in a later term."""
    if term < replica.state.term:
        return False
    if term > replica.state.term:
        adopt_term(replica, term)
    if replica.role.state == "leader" or replica.leader not in (None, sender):
        raise LogError(f"two leaders in term {term}: {replica.leader} and {sender}")
    follow_leader(replica, sender)
    return True


def _is_well_formed(request: AppendRequest) -> bool:
    """Return whether the entries are consecutive, with non-decreasing terms up to the leader's."""
    previous = (request.previous_index, request.previous_term)
    for entry in request.entries:
        if entry.index != previous[0] + 1 or not previous[1] <= entry.term <= request.term:
            return False
        previous = (entry.index, entry.term)
    return True


def _respond(
    replica: Replica, leader: Member, round_number: int, accepted: bool, match_index: int
) -> None:
    response = AppendResponse(replica.state.term, round_number, accepted, match_index)
    replica.outbox.send_after_writes(replica.envelope(leader, response))


def _matches(replica: Replica, request: AppendRequest) -> bool:
    """Return whether the log matches the leader's at the index before the entries.

    Everything that a snapshot covers is committed and matches every leader's log.
    """
    if request.previous_index < replica.log.snapshot.index:
        return True
    return replica.log.term_at(request.previous_index) == request.previous_term


def _last_possible_match(replica: Replica, previous_index: int) -> int:
    """Return the last index up to `previous_index` at which the logs may match.

    All entries of a conflicting term are skipped at once.
    """
    conflicting = replica.log.term_at(previous_index)
    if conflicting is None:
        return min(previous_index, replica.log.last_index)
    index = previous_index
    while index > replica.commit_index and replica.log.term_at(index) == conflicting:
        index -= 1
    return index


def _append_missing(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    """Append the entries that the log lacks, after truncating it at the first conflict."""
    log = replica.log
    missing = [
        entry
        for entry in entries
        if entry.index > log.snapshot.index and log.term_at(entry.index) != entry.term
    ]
    if not missing:
        return
    first = missing[0].index
    if first <= replica.commit_index:
        raise LogError(f"entry {first} of the leader conflicts with a committed entry")
    if first <= log.last_index:
        log.truncate_from(first)
        replica.outbox.truncate_from(first)
    log.append(missing)
    replica.outbox.append(tuple(missing))
