"""The gRPC service that handles calls from the other replicas."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from damaskwind.control.replica.codec import decode_envelope
from damaskwind.control.replica.forwarding import STOPPED, LogAccess
from damaskwind.decisions.replication.events import ProposalOutcome
from damaskwind.model.exception import MessageError
from damaskwind.runtime.settings import parse_address
from damaskwind.wire import replication_pb2
from damaskwind.wire.authentication import CallVerifier, receive_call
from damaskwind.wire.replication_grpc import ReplicationBase

__all__ = ["ReplicationService"]

_PATH = "/damaskwind.replication.Replication/"


class ReplicationService(ReplicationBase):
    """The grpclib service of one replica."""

    def __init__(
        self, access: LogAccess, verifier: CallVerifier, address: str, failure_domain: str
    ) -> None:
        self.address = address
        self.is_founding = False
        self._access = access
        self._verifier = verifier
        self._failure_domain = failure_domain

    async def Deliver(self, stream: Any) -> None:  # noqa: N802
        """Receive a batch of messages of the log."""
        batch = await self._receive(stream, "Deliver")
        replica = self._access.replica
        if batch.recipient_id != replica.member.replica_id:
            raise GRPCError(Status.FAILED_PRECONDITION, "other_replica")
        try:
            envelopes = [decode_envelope(body) for body in batch.bodies]
            address = parse_address(batch.sender_address)
        except (MessageError, ValueError) as error:
            logger.warning("messages refused", sender=batch.sender_id, error=str(error))
            raise GRPCError(Status.INVALID_ARGUMENT, "malformed") from error
        for envelope in envelopes:
            if envelope.sender.replica_id != batch.sender_id:
                raise GRPCError(Status.INVALID_ARGUMENT, "other_sender")
            replica.state.addresses.record_announced(envelope.sender, address)
            replica.receive(envelope)
        await stream.send_message(replication_pb2.Received())

    async def Propose(self, stream: Any) -> None:  # noqa: N802
        """Commit an entry if this replica leads."""
        request = await self._receive(stream, "Propose")
        outcome = await self._access.propose_locally(request, request.timeout_ms / 1000)
        await stream.send_message(self._reply(outcome))

    async def Change(self, stream: Any) -> None:  # noqa: N802
        """Change the membership if this replica leads, else forward to the leader."""
        request = await self._receive(stream, "Change")
        timeout_s = request.timeout_ms / 1000
        access = self._access
        is_leader = access.replica.is_leader
        outcome = await (access.change_locally if is_leader else access.change)(request, timeout_s)
        await stream.send_message(self._reply(outcome))

    async def ReadIndex(self, stream: Any) -> None:  # noqa: N802
        """Return the read index if this replica leads."""
        request = await self._receive(stream, "ReadIndex")
        index = await self._access.read_index_locally(request.timeout_ms / 1000)
        reply = replication_pb2.ReadIndexReply(is_current=index is not None, index=index or 0)
        await stream.send_message(reply)

    async def Hello(self, stream: Any) -> None:  # noqa: N802
        """Return this replica's ids, address and whether it has a log."""
        await self._receive(stream, "Hello")
        replica = self._access.replica
        reply = replication_pb2.HelloReply(
            replica_id=replica.member.replica_id,
            identity=replica.member.identity,
            address=self.address,
            failure_domain=self._failure_domain,
            has_log=replica.has_log,
            is_founding=self.is_founding,
        )
        await stream.send_message(reply)

    async def _receive(self, stream: Any, method: str) -> Any:
        """Receive and verify a call; refuse it if this replica has stopped."""
        request = await receive_call(stream, _PATH + method, self._verifier)
        if not self._access.replica.is_running:
            raise GRPCError(Status.UNAVAILABLE, STOPPED)
        return request

    def _reply(self, outcome: ProposalOutcome) -> replication_pb2.ProposalOutcome:
        """Convert an outcome to its wire message."""
        leader = self._access.replica.core.leader
        return replication_pb2.ProposalOutcome(
            state=outcome.outcome.value,
            index=outcome.index,
            leader_id=leader.replica_id if leader is not None else "",
            detail=outcome.reason.value if outcome.reason is not None else "",
        )
