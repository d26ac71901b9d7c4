"""The gRPC service that handles calls from the other replicas."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from damaskwind.control.replica.codec import decode_envelope
from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.control.replica.leader_calls import OTHER_LIFE, OTHER_REPLICA, STOPPED
from damaskwind.decisions.replication.events import ProposalOutcome
from damaskwind.decisions.replication.messages import Member, Outcome, RefusalReason
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
        self._refuse_if_other_meant(request)
        outcome = await self._access.propose_locally(request, request.timeout_ms / 1000)
        await stream.send_message(self._reply(outcome))

    async def Change(self, stream: Any) -> None:  # noqa: N802
        """Change the membership if this replica leads, else forward to the leader, once.

        A request that was forwarded names the member that it is meant for.
        """
        request = await self._receive(stream, "Change")
        self._refuse_if_other_meant(request)
        outcome = await self._change(request, request.timeout_ms / 1000)
        await stream.send_message(self._reply(outcome))

    async def _change(self, request: Any, timeout_s: float) -> ProposalOutcome:
        """Execute a change here, forward it, or refuse it at once."""
        access = self._access
        if access.replica.is_leader or request.HasField("meant"):
            return await access.change_locally(request, timeout_s)
        if not access.replica.has_log:
            return ProposalOutcome("", Outcome.REFUSED, 0, RefusalReason.NOT_LEADER)
        return await access.change(request, timeout_s)

    async def ReadIndex(self, stream: Any) -> None:  # noqa: N802
        """Return the read index if this replica leads."""
        request = await self._receive(stream, "ReadIndex")
        self._refuse_if_other_meant(request)
        index = await self._access.read_index_locally(request.timeout_ms / 1000)
        reply = replication_pb2.ReadIndexReply(is_current=index is not None, index=index or 0)
        await stream.send_message(reply)

    async def Hello(self, stream: Any) -> None:  # noqa: N802
        """Return this replica's ids, address, whether it has a log, and the log's members."""
        await self._receive(stream, "Hello")
        replica = self._access.replica
        reply = replication_pb2.HelloReply(
            replica_id=replica.member.replica_id,
            identity=replica.member.identity,
            address=self.address,
            failure_domain=self._failure_domain,
            has_log=replica.has_log,
            is_founding=self.is_founding,
            member_addresses=self._member_addresses(),
        )
        await stream.send_message(reply)

    async def _receive(self, stream: Any, method: str) -> Any:
        """Receive and verify a call; refuse it if this replica has stopped."""
        request = await receive_call(stream, _PATH + method, self._verifier)
        if not self._access.replica.is_running:
            raise GRPCError(Status.UNAVAILABLE, STOPPED)
        return request

    def _refuse_if_other_meant(self, request: Any) -> None:
        """Refuse a request that names another member than this one; it then had no effect."""
        if not request.HasField("meant"):
            return
        member = self._access.replica.member
        meant = Member(request.meant.replica_id, request.meant.identity)
        if meant == member:
            return
        is_former_life = meant.replica_id == member.replica_id
        logger.info(
            "request for another member refused",
            meant=meant.replica_id,
            meant_identity=meant.identity,
            identity=member.identity,
        )
        raise GRPCError(Status.FAILED_PRECONDITION, OTHER_LIFE if is_former_life else OTHER_REPLICA)

    def _member_addresses(self) -> list[str]:
        """Return the known addresses of the members of the log."""
        replica = self._access.replica
        members = replica.core.membership.voters + replica.core.membership.learners
        addresses = [replica.state.addresses.address_of(item.replica_id) for item in members]
        return [str(address) for address in dict.fromkeys(addresses) if address is not None]

    def _reply(self, outcome: ProposalOutcome) -> replication_pb2.ProposalOutcome:
        """Convert an outcome to its wire message."""
        leader = self._access.replica.core.leader
        return replication_pb2.ProposalOutcome(
            state=outcome.outcome.value,
            index=outcome.index,
            leader_id=leader.replica_id if leader is not None else "",
            detail=outcome.reason.value if outcome.reason is not None else "",
        )
