"""Log each election: who asks for votes, and who grants or refuses them, and why."""

from loguru import logger

from damaskwind.decisions.replication.core import ReplicaCore
from damaskwind.decisions.replication.messages import (
    Envelope,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)

__all__ = ["ElectionLog"]

# The requests of a campaign are sent one after another; the next campaign starts later.
SAME_CAMPAIGN_S = 0.2

_REQUESTS = (PreVoteRequest, VoteRequest)
_RESPONSES = (PreVoteResponse, VoteResponse)


class ElectionLog:
    """The log lines of one replica's elections: one for each campaign and each answer.

    An answer is logged by the replica that sends it, with what it decided by, and by the replica
    that receives it, with the time since it asked.
    """

    def __init__(self) -> None:
        self._asked_s = float("-inf")
        self._asked: tuple[type, int] | None = None

    def record_sent(self, envelope: Envelope, core: ReplicaCore, now_s: float) -> None:
        """Log a request for votes once for all its recipients, and each answer to one."""
        message = envelope.message
        if isinstance(message, _RESPONSES):
            _log_answer(envelope, core, now_s)
        if not isinstance(message, _REQUESTS):
            return
        asked = (type(message), message.term)
        is_same_campaign = asked == self._asked and now_s - self._asked_s < SAME_CAMPAIGN_S
        if not is_same_campaign:
            self._asked, self._asked_s = asked, now_s
            logger.info(
                "votes asked for",
                is_pre_vote=isinstance(message, PreVoteRequest),
                term=message.term,
                last_index=message.last_index,
                last_term=message.last_term,
                leader_age_s=round(now_s - core.leader_seen_s, 3),
            )

    def record_received(self, envelope: Envelope, core: ReplicaCore, now_s: float) -> None:
        """Log an answer to a request for votes."""
        message = envelope.message
        if isinstance(message, _RESPONSES):
            logger.info(
                "vote received",
                is_pre_vote=isinstance(message, PreVoteResponse),
                voter=envelope.sender.replica_id,
                granted=message.granted,
                voter_term=message.term,
                own_term=core.term,
                role=core.role,
                took_s=round(now_s - self._asked_s, 3),
            )


def _log_answer(envelope: Envelope, core: ReplicaCore, now_s: float) -> None:
    """Log whether a vote was granted, with the state that decided it."""
    leader = core.leader
    logger.info(
        "vote answered",
        is_pre_vote=isinstance(envelope.message, PreVoteResponse),
        candidate=envelope.recipient.replica_id,
        granted=envelope.message.granted,
        term=core.term,
        role=core.role,
        leader=leader.replica_id if leader else "",
        leader_age_s=round(now_s - core.leader_seen_s, 3),
        last_index=core.last_index,
    )
