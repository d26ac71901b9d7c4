"""State of a leader: progress of its peers, rounds, lease and pending requests.

Each round of appends has a number and a send time. The lease counts from the send
time of the newest round that a majority answered, never from the time at which a
response arrived: a response may have been delayed in the network for longer than the
lease (Gray and Cheriton, "Leases", SOSP 1989).

A leader may go on leading without a lease. On a slow network each answer arrives too late
for the lease, and yet a majority stores what it is sent. Such a leader confirms nothing by
itself: it commits what a majority has stored, and its reads wait for a majority. So the
time after which it steps down may adapt to the round trips, while that of the lease may not.
"""

from typing import NamedTuple

from damaskwind.decisions.replication.membership import majority_value
from damaskwind.decisions.replication.messages import Member, Timing
from damaskwind.decisions.replication.replica import Replica

__all__ = [
    "Leadership",
    "PendingRead",
    "Progress",
    "discard_old_rounds",
    "holds_lease",
    "lease_s",
    "has_lost_quorum",
    "quorum_silent_s",
    "record_response",
    "quorum_round",
    "quorum_sent_s",
]


# A longer round trip is forgotten by this factor with each answer, within some 2 s.
ROUND_TRIP_DECAY = 0.9


class Progress:
    """Replication progress of a peer.

    `answered_sent_s` is when the newest round that the peer answered was sent, and
    `round_trip_s` the longest of its recent round trips.

    While `is_probing`, the index at which the logs match is not known yet, and entries
    are sent only once per round.
    """

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.answered_round = 0
        self.last_response_s = float("-inf")
        self.answered_sent_s: float | None = None
        self.round_trip_s = 0.0
        self.snapshot_sent_s = float("-inf")
        self.is_probing = True


class PendingRead(NamedTuple):
    """A read that waits until a majority answers its round and its index is applied."""

    read_id: str
    round_number: int
    index: int


class Leadership:
    """State of a leader during its term; `first_index` is its first entry in the term.

    `vote_trip_s` is the time in which a majority answered the request for votes.
    """

    def __init__(self, term: int, first_index: int, now_s: float, vote_trip_s: float) -> None:
        self.term = term
        self.first_index = first_index
        self.started_s = now_s
        self.vote_trip_s = vote_trip_s
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
    sent_s = leadership.round_sent_s.get(round_number)
    if sent_s is not None and round_number > progress.answered_round:
        progress.answered_sent_s = sent_s
        remembered_s = progress.round_trip_s * ROUND_TRIP_DECAY
        progress.round_trip_s = max(now_s - sent_s, remembered_s)
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


def quorum_silent_s(replica: Replica, leadership: Leadership) -> float:
    """Return how long the answers of a majority have been overdue.

    On a sound network this is the time since the newest round that a majority answered
    was sent. If round trips are longer than a heartbeat, twice the difference is allowed
    for the next answer. A new leader has received votes instead of answers.
    """
    timing = replica.timing

    def due_s(voter: Member) -> float:
        if voter == replica.member:
            return replica.now_s
        sent_s, trip_s = leadership.started_s, leadership.vote_trip_s
        progress = leadership.peers.get(voter)
        if progress is not None and progress.answered_sent_s is not None:
            sent_s, trip_s = progress.answered_sent_s, progress.round_trip_s
        extra_s = max(0.0, 2 * (trip_s - timing.heartbeat_s))
        return sent_s + min(extra_s, timing.slow_answer_limit_s)

    return replica.now_s - majority_value(replica.log.membership.voters, due_s)


def has_lost_quorum(replica: Replica, leadership: Leadership) -> bool:
    """Return whether answers of a majority have been overdue for too long to go on leading."""
    return quorum_silent_s(replica, leadership) >= replica.timing.election_timeout_min_s


def discard_old_rounds(replica: Replica, leadership: Leadership) -> None:
    """Drop the send times of rounds that are too old for a lease or a round trip.

    Newer ones are kept even if a majority has answered a later round: after a
    membership change an earlier round may be the newest that a majority answered.
    """
    timing = replica.timing
    kept_s = 2 * timing.election_timeout_min_s + timing.slow_answer_limit_s
    oldest_s = replica.now_s - kept_s
    sent_s = leadership.round_sent_s
    for number in [number for number, at_s in sent_s.items() if at_s < oldest_s]:
        del sent_s[number]


def lease_s(timing: Timing) -> float:
    """Return how long a lease lasts by the leader's clock."""
    return timing.election_timeout_min_s * (1.0 - timing.drift_ratio)


def holds_lease(replica: Replica, now_s: float) -> bool:
    """Return whether the lease is valid: no other leader can have been elected yet.

    This holds as long as the clocks drift by at most `drift_ratio`.
    """
    leadership = replica.leadership
    if leadership is None or replica.commit_index < leadership.first_index:
        return False
    if quorum_round(replica, leadership) == 0:
        return False
    return now_s < quorum_sent_s(replica, leadership) + lease_s(replica.timing)
