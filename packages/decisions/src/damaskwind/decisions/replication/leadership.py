"""State of a leader: progress of its peers, rounds, lease and pending requests.

Each round of appends has a number and a send time. The lease counts from the send
time of the newest round that a majority answered, never from the time at which a
response arrived: a response may have been delayed in the network for longer than the
lease (Gray and Cheriton, "Leases", SOSP 1989).
"""

from typing import NamedTuple

from damaskwind.decisions.replication.membership import majority_value
from damaskwind.decisions.replication.messages import Member
from damaskwind.decisions.replication.replica import Replica

__all__ = [
    "Leadership",
    "PendingRead",
    "Progress",
    "discard_old_rounds",
    "holds_lease",
    "record_response",
    "quorum_round",
    "quorum_sent_s",
]


class Progress:
    """Replication progress of a peer.

    While `is_probing`, the index at which the logs match is not known yet, and entries
    are sent only once per round.
    """

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.answered_round = 0
        self.last_response_s = float("-inf")
        self.snapshot_sent_s = float("-inf")
        self.is_probing = True


class PendingRead(NamedTuple):
    """A read that waits until a majority answers its round and its index is applied."""

    read_id: str
    round_number: int
    index: int


class Leadership:
    """State of a leader during its term; `first_index` is its first entry in the term."""

    def __init__(self, term: int, first_index: int, now_s: float) -> None:
        self.term = term
        self.first_index = first_index
        self.started_s = now_s
        self.round_number = 0
        self.round_sent_s: dict[int, float] = {0: now_s}
        self.heartbeat_due_s = now_s
        self.peers: dict[Member, Progress] = {}
        self.proposals: dict[int, str] = {}
        self.reads: list[PendingRead] = []


def record_response(
    leadership: Leadership, progress: Progress, round_number: int, now_s: float
) -> None:
    """Record that a peer answered a round of this term."""
    progress.answered_round = max(progress.answered_round, round_number)
    progress.last_response_s = now_s


def quorum_round(replica: Replica, leadership: Leadership) -> int:
    """Return the newest round that a majority of voters has answered."""

    def answered_round(voter: Member) -> int:
        if voter == replica.member:
            return leadership.round_number
        progress = leadership.peers.get(voter)
        return progress.answered_round if progress else 0

    return int(majority_value(replica.log.membership.voters, answered_round))


def quorum_sent_s(replica: Replica, leadership: Leadership) -> float:
    """Return when the newest round that a majority answered was sent."""
    newest = quorum_round(replica, leadership)
    return leadership.round_sent_s.get(newest, leadership.started_s)


def discard_old_rounds(replica: Replica, leadership: Leadership) -> None:
    """Drop the send times of rounds that are too old to support a lease.

    Newer ones are kept even if a majority has answered a later round: after a
    membership change an earlier round may be the newest that a majority answered.
    """
    oldest_s = replica.now_s - 2 * replica.timing.election_timeout_min_s
    sent_s = leadership.round_sent_s
    for number in [number for number, at_s in sent_s.items() if at_s < oldest_s]:
        del sent_s[number]


def holds_lease(replica: Replica, now_s: float) -> bool:
    """Return whether the lease is valid: no other leader can have been elected yet.

    This holds as long as the clocks drift by at most `drift_ratio`.
    """
    leadership = replica.leadership
    if leadership is None or replica.commit_index < leadership.first_index:
        return False
    if quorum_round(replica, leadership) == 0:
        return False
    timing = replica.timing
    lease_s = timing.election_timeout_min_s * (1.0 - timing.drift_ratio)
    return now_s < quorum_sent_s(replica, leadership) + lease_s
