"""Remember when a replica last heard the log's leader, and what that one had committed.

A replica that gets the log has a part of it first: what is committed there is only known to
the leader, which announces it with every message.
"""

from damaskwind.decisions.replication.messages import (
    AppendRequest,
    Envelope,
    Member,
    Message,
    SnapshotRequest,
)

__all__ = ["LeaderContact"]


class LeaderContact:
    """What a replica that runs as `member` has heard of leaders.

    `seen_s` is the monotonic time of the last message, and `commit_index` the highest index
    that a leader announced as committed. What was sent to an earlier life doesn't count.
    """

    def __init__(self, member: Member) -> None:
        self.seen_s = float("-inf")
        self.commit_index = 0
        self._member = member

    def record(self, envelope: Envelope, term: int, now_s: float) -> None:
        """Record a message, if it is the leader's of the present `term` or of a later one."""
        message = envelope.message
        is_from_leader = isinstance(message, AppendRequest | SnapshotRequest)
        if not is_from_leader or envelope.recipient != self._member or message.term < term:
            return
        self.seen_s = now_s
        self.commit_index = max(self.commit_index, _committed_index(message))


def _committed_index(message: Message) -> int:
    """Return the index up to which a leader's message says that the log is committed."""
    if isinstance(message, SnapshotRequest):
        return message.snapshot.index
    return message.commit_index
