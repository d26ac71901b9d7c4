"""Follow a leader: take its entries and snapshots, and answer once durable."""

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
    """Append the leader's entries where the logs match, else say where to try.

    A malformed request is dropped: it changes nothing and gets no answer.
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
    """Install a snapshot that is ahead of everything known to be committed."""
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
    """Follow the leader of `term` unless a later term is known."""
    if term < replica.state.term:
        return False
    if term > replica.state.term:
        adopt_term(replica, term)
    if replica.role.state == "leader" or replica.leader not in (None, sender):
        raise LogError(f"two leaders in term {term}: {replica.leader} and {sender}")
    follow_leader(replica, sender)
    return True


def _is_well_formed(request: AppendRequest) -> bool:
    """Tell whether the entries follow one another and could be this leader's."""
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
    """Tell whether the log agrees with the leader's just before the entries.

    What a snapshot covers is committed, so it agrees with every leader's log.
    """
    if request.previous_index < replica.log.snapshot.index:
        return True
    return replica.log.term_at(request.previous_index) == request.previous_term


def _last_possible_match(replica: Replica, previous_index: int) -> int:
    """Return the last index before `previous_index` that may agree.

    A whole term of conflicting entries is skipped at once.
    """
    conflicting = replica.log.term_at(previous_index)
    if conflicting is None:
        return min(previous_index, replica.log.last_index)
    index = previous_index
    while index > replica.commit_index and replica.log.term_at(index) == conflicting:
        index -= 1
    return index


def _append_missing(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    """Append what the log lacks, truncating where it conflicts."""
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
        raise LogError(f"the leader contradicts the committed entry {first}")
    if first <= log.last_index:
        log.truncate_from(first)
        replica.outbox.truncate_from(first)
    log.append(missing)
    replica.outbox.append(tuple(missing))
