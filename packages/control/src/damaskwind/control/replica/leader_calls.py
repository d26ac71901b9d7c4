"""Call the leader of the log, by member: one life of a replica, not whoever has its address.

Each request names the member that the caller takes for the leader. Another replica at that
address, or another life of the same one, refuses it at once. A refusal by another life also
proves that the leader has ended, so that its followers need not wait for it any longer.
"""

import asyncio
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from damaskwind.control.replica.replica import Replica
from damaskwind.control.replica.transport import CALL_ERRORS, Channels
from damaskwind.decisions.replication.events import LeaderEnded
from damaskwind.decisions.replication.messages import Member
from damaskwind.model.exception import DamaskwindError
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.replication_grpc import ReplicationStub
from damaskwind.wire.replication_pb2 import MeantMember

__all__ = ["OTHER_LIFE", "OTHER_REPLICA", "STOPPED", "LeaderCalls", "NotSentError"]

STOPPED = "stopped"
OTHER_REPLICA = "other_replica"
OTHER_LIFE = "other_life"
_REFUSALS = {
    (Status.UNAVAILABLE, STOPPED),
    (Status.FAILED_PRECONDITION, OTHER_REPLICA),
    (Status.FAILED_PRECONDITION, OTHER_LIFE),
}


class NotSentError(DamaskwindError):
    """A call failed and certainly had no effect."""


class LeaderCalls:
    """The calls of one replica to the leader that it follows."""

    def __init__(self, replica: Replica, signer: CallSigner, channels: Channels) -> None:
        self._replica = replica
        self._signer = signer
        self._channels = channels

    def leader(self) -> Member | None:
        """Return the leader; `None` if it is unknown, this replica, or without an address."""
        leader = self._replica.core.leader
        if leader is None or leader == self._replica.member:
            return None
        return leader if self._address_of(leader) is not None else None

    async def call(self, method: str, request: Any, timeout_s: float) -> Any:
        """Call the leader; return `None` when no reply arrived.

        Raises `NotSentError` when the call certainly had no effect: the connection was
        refused, the replica replied that it has stopped, or it isn't the one that is meant.
        """
        leader = self.leader()
        address = self._address_of(leader) if leader is not None else None
        if leader is None or address is None:
            return None
        request.meant.CopyFrom(MeantMember(replica_id=leader.replica_id, identity=leader.identity))
        stub = ReplicationStub(self._channels.get(address))
        asked_term = self._replica.core.term
        asked_s = read_clock()
        try:
            call = call_unary(getattr(stub, method), request, self._signer, timeout_s)
            reply = await asyncio.wait_for(call, timeout_s)
        except TimeoutError:
            self._channels.record_timeout(address, asked_s)
            return None
        except CALL_ERRORS as error:
            self._channels.drop(address)
            self._end_leader_if_other_life(leader, asked_term, error, asked_s)
            if _is_not_sent(error):
                raise NotSentError from error
            return None
        self._channels.record_answer(address)
        return reply

    def _address_of(self, leader: Member) -> Address | None:
        return self._replica.state.addresses.address_of(leader.replica_id)

    def _end_leader_if_other_life(
        self, leader: Member, asked_term: int, error: BaseException, asked_s: float
    ) -> None:
        """Tell the core that the leader has ended, if its replica runs as another member."""
        if not isinstance(error, GRPCError) or error.message != OTHER_LIFE:
            return
        logger.info(
            "leader found ended",
            leader=leader.replica_id,
            identity=leader.identity,
            leader_age_s=round(asked_s - self._replica.core.leader_seen_s, 3),
            took_s=round(read_clock() - asked_s, 3),
        )
        self._replica.feed(LeaderEnded(leader, asked_term))


def _is_not_sent(error: BaseException) -> bool:
    """Return whether a failed call certainly had no effect."""
    if isinstance(error, GRPCError):
        return (error.status, error.message) in _REFUSALS
    return isinstance(error, ConnectionRefusedError)
