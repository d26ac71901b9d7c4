"""Propose and read through the current leader, wherever it is.

The intent API and the calls of other replicas use this module. A refusal
certainly changed nothing, so the request is retried, at the next leader if
there is one, until its timeout. A request without a reply from the leader has
the outcome `UNKNOWN` and is not retried.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from damaskwind.control.operator_api.ports import CommitOutcome, CommitVerdict
from damaskwind.control.replica.address_book import AddressRecord
from damaskwind.control.replica.leader_calls import LeaderCalls, NotSentError
from damaskwind.control.replica.lives import has_ended
from damaskwind.control.replica.lost_voters import LostVoters
from damaskwind.control.replica.proposal_log import ProposalLog
from damaskwind.control.replica.replica import Replica
from damaskwind.control.replica.replicated_state import address_command, machine_command
from damaskwind.control.replica.transport import CALL_ERRORS, Channels
from damaskwind.decisions.replication.events import ProposalOutcome, ReadReady
from damaskwind.decisions.replication.messages import (
    ChangeKind,
    Member,
    Membership,
    MembershipChange,
    Outcome,
    RefusalReason,
)
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import parse_address
from damaskwind.wire import replication_pb2
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.replication_grpc import ReplicationStub

__all__ = ["LogAccess"]

RETRY_PAUSE_S = 0.05
READ_ATTEMPT_S = 1.0
HELLO_TIMEOUT_S = 2.0
_RETRYABLE_REASONS = frozenset(RefusalReason) - {RefusalReason.INVALID_CHANGE}


class LogAccess:
    """Access to the replicated log for the rest of the process."""

    def __init__(self, replica: Replica, signer: CallSigner) -> None:
        self.replica = replica
        self.on_proposed: list[Callable[[ProposalOutcome, float], None]] = []
        self.log = ProposalLog(replica)
        self.lost_voters = LostVoters()
        self._signer = signer
        self._channels = Channels()
        self._leader_calls = LeaderCalls(replica, signer, self._channels)

    async def propose(self, payload: bytes, timeout_s: float) -> CommitOutcome:
        """Propose a command to the state machine and wait until it is applied locally."""
        deadline_s = read_clock() + timeout_s
        outcome = await self.commit(machine_command(payload), timeout_s)
        return await self._wait_for_result(outcome, deadline_s)

    async def read_current(self, timeout_s: float) -> bool:
        """Wait until the local state includes everything committed before this call.

        Returns whether it did in time.
        """
        deadline_s = read_clock() + timeout_s
        while self.replica.failure is None:
            left_s = deadline_s - read_clock()
            if left_s <= 0:
                return False
            index = await self._read_index(min(left_s, READ_ATTEMPT_S))
            if index is not None:
                return await self._wait_until_applied(index, deadline_s - read_clock())
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    def status(self) -> dict[str, Any]:
        """Describe this replica and the members of the log."""
        core = self.replica.core
        membership = core.membership
        return {
            "replica_id": core.member.replica_id,
            "identity": core.member.identity,
            "role": core.role if self.replica.failure is None else "failed",
            "failure": str(self.replica.failure or ""),
            "term": core.term,
            "leader": core.leader.replica_id if core.leader is not None else "",
            "is_current": self.replica.is_current,
            "commit_index": core.commit_index,
            "applied_index": self.replica.state.applied_index,
            "last_index": core.last_index,
            "voters": [self._describe(member) for member in membership.voters],
            "learners": [self._describe(member) for member in membership.learners],
            "lost_voters": [self._describe(member) for member in self.lost_voters.members],
        }

    async def change_membership(
        self, action: str, replica_id: str, address: str, failure_domain: str, timeout_s: float
    ) -> CommitOutcome:
        """Add or remove one replica; a new one is a learner before it is a voter."""
        request = replication_pb2.ChangeRequest(
            action=action,
            replica_id=replica_id,
            address=address,
            failure_domain=failure_domain,
            timeout_ms=int(timeout_s * 1000),
        )
        deadline_s = read_clock() + timeout_s
        outcome = await self.change(request, timeout_s)
        return await self._wait_for_result(outcome, deadline_s)

    async def commit(self, payload: bytes, timeout_s: float) -> ProposalOutcome:
        """Commit an entry through the leader."""
        request = replication_pb2.Proposal(payload=payload)
        return await self._request_leader("Propose", request, timeout_s)

    async def change(
        self, request: replication_pb2.ChangeRequest, timeout_s: float
    ) -> ProposalOutcome:
        """Change the membership through the leader."""
        return await self._request_leader("Change", request, timeout_s)

    async def close(self) -> None:
        """Close the connections to leaders."""
        self._channels.close()

    async def propose_locally(self, request: Any, timeout_s: float) -> ProposalOutcome:
        """Propose an entry at this replica; refused unless it leads."""
        started_s = read_clock()
        if self.replica.is_leader:
            self.log.proposed(request)
        outcome = await self.replica.propose(request.payload, timeout_s)
        if outcome.outcome is not Outcome.REFUSED:
            self.log.decided(request, outcome, started_s)
        for callback in self.on_proposed:
            callback(outcome, read_clock() - started_s)
        return outcome

    async def change_locally(self, request: Any, timeout_s: float) -> ProposalOutcome:
        """Change the membership at this replica; refused unless it leads."""
        if not self.replica.is_leader:
            return _refused(RefusalReason.NOT_LEADER)
        if request.action == "remove":
            return await self._remove_member(request.replica_id, timeout_s)
        if request.action != "add":
            return _refused(RefusalReason.INVALID_CHANGE)
        return await self._add_member(request, timeout_s)

    async def read_index_locally(self, timeout_s: float) -> int | None:
        """Return the read index if this replica leads, else `None`."""
        result = await self.replica.read_index(timeout_s)
        return result.index if isinstance(result, ReadReady) else None

    async def _add_member(self, request: Any, timeout_s: float) -> ProposalOutcome:
        """Commit the address of a new replica, then add it as a learner."""
        try:
            address = parse_address(request.address)
        except ValueError:
            return _refused(RefusalReason.INVALID_CHANGE)
        identity = request.identity or await self._fetch_identity(request.replica_id, address)
        if not identity:
            return _refused(RefusalReason.INVALID_CHANGE)
        member = Member(request.replica_id, identity)
        if member in _members(self.replica.core.membership):
            return _refused(RefusalReason.INVALID_CHANGE)
        if await self._has_ended(member, address):
            logger.info(
                "former life not added", replica=member.replica_id, identity=member.identity
            )
            return _refused(RefusalReason.INVALID_CHANGE)
        record = AddressRecord(request.replica_id, address, request.failure_domain)
        recorded = await self._record_address(record, timeout_s)
        if recorded is not None and recorded.outcome is not Outcome.COMMITTED:
            return recorded
        change = MembershipChange(ChangeKind.ADD_LEARNER, member)
        return await self.replica.propose_change(change, timeout_s)

    async def _has_ended(self, member: Member, address: Address) -> bool:
        """Return whether a member to add is a former life of a replica that is a member.

        Any other life of this replica counts as one, as this one runs and leads: with that
        one's address in the log, the followers would take this leader for ended.
        """
        if member.replica_id == self.replica.member.replica_id:
            return True
        members = _members(self.replica.core.membership)
        if all(other.replica_id != member.replica_id for other in members):
            return False
        known_address = self.replica.state.addresses.address_of(member.replica_id)
        return await has_ended(member, address, known_address, self._channels, self._signer)

    async def _record_address(
        self, record: AddressRecord, timeout_s: float
    ) -> ProposalOutcome | None:
        """Commit an address; `None` if the log has it already."""
        if self.replica.state.addresses.is_logged(record):
            return None
        return await self.replica.propose(address_command(record), timeout_s)

    async def _remove_member(self, replica_id: str, timeout_s: float) -> ProposalOutcome:
        """Remove the member with this id; prefer a voter to a learner."""
        members = _members(self.replica.core.membership)
        member = next((item for item in members if item.replica_id == replica_id), None)
        if member is None:
            return _refused(RefusalReason.INVALID_CHANGE)
        change = MembershipChange(ChangeKind.REMOVE, member)
        return await self.replica.propose_change(change, timeout_s)

    async def _fetch_identity(self, replica_id: str, address: Address) -> str:
        """Fetch the identity of the replica at an address; empty if its id differs."""
        stub = ReplicationStub(self._channels.get(address))
        try:
            call = call_unary(
                stub.Hello, replication_pb2.HelloRequest(), self._signer, HELLO_TIMEOUT_S
            )
            reply = await asyncio.wait_for(call, HELLO_TIMEOUT_S)
        except CALL_ERRORS:
            self._channels.drop(address)
            return ""
        return reply.identity if reply.replica_id == replica_id else ""

    async def _read_index(self, timeout_s: float) -> int | None:
        """Return the read index from the leader, or `None` without one."""
        if self.replica.is_leader:
            return await self.read_index_locally(timeout_s)
        request = replication_pb2.ReadIndexRequest(timeout_ms=int(timeout_s * 1000))
        try:
            reply = await self._leader_calls.call("ReadIndex", request, timeout_s)
        except NotSentError:
            return None
        return reply.index if reply is not None and reply.is_current else None

    async def _request_leader(self, method: str, request: Any, timeout_s: float) -> ProposalOutcome:
        """Execute a request at the leader; retry after a retryable refusal."""
        deadline_s = read_clock() + timeout_s
        outcome = _refused(RefusalReason.NO_QUORUM)
        attempts = 0
        while self.replica.failure is None:
            left_s = deadline_s - read_clock()
            if left_s <= 0:
                break
            request.timeout_ms = max(int(left_s * 1000), 1)
            outcome = await self._attempt(method, request, left_s)
            if not _may_repeat(request, outcome):
                return outcome
            attempts += 1
            if attempts == 1:
                self.log.delayed(request, outcome)
            await asyncio.sleep(RETRY_PAUSE_S)
        self.log.given_up(request, outcome, attempts)
        return outcome

    async def _attempt(self, method: str, request: Any, timeout_s: float) -> ProposalOutcome:
        """Execute a request once, locally if this replica leads, else at the leader."""
        if self.replica.is_leader:
            execute = {"Propose": self.propose_locally, "Change": self.change_locally}[method]
            return await execute(request, timeout_s)
        if self._leader_calls.leader() is None:
            return _refused(RefusalReason.NOT_LEADER)
        self.log.forwarded(request, timeout_s)
        asked_s = read_clock()
        outcome = await self._forward(method, request, timeout_s)
        self.log.answered(request, outcome, asked_s)
        return outcome

    async def _forward(self, method: str, request: Any, timeout_s: float) -> ProposalOutcome:
        """Execute a request at the leader; `UNKNOWN` when no reply arrived."""
        try:
            reply = await self._leader_calls.call(method, request, timeout_s)
        except NotSentError:
            return _refused(RefusalReason.NOT_LEADER)
        if reply is None:
            return ProposalOutcome("", Outcome.UNKNOWN)
        reason = RefusalReason(reply.detail) if reply.detail else None
        return ProposalOutcome("", Outcome(reply.state), reply.index, reason)

    async def _wait_until_applied(self, index: int, timeout_s: float) -> bool:
        """Wait until the local state has applied an index; return whether it has."""
        state = self.replica.state
        return await self.replica.wait_until(lambda: state.applied_index >= index, timeout_s)

    async def _wait_for_result(self, outcome: ProposalOutcome, deadline_s: float) -> CommitOutcome:
        """Wait until a committed entry is applied locally and return its result."""
        leader = self.replica.core.leader
        leader_hint = leader.replica_id if leader is not None else ""
        if outcome.outcome is not Outcome.COMMITTED:
            verdict = CommitVerdict(outcome.outcome.value)
            return CommitOutcome(verdict, b"", leader_hint, str(outcome.reason or ""))
        left_s = deadline_s - read_clock()
        if not await self._wait_until_applied(outcome.index, left_s):
            detail = "committed, but not applied here yet"
            return CommitOutcome(CommitVerdict.UNKNOWN, b"", leader_hint, detail)
        result = self.replica.state.result_at(outcome.index) or b""
        return CommitOutcome(CommitVerdict.COMMITTED, result, leader_hint)

    def _describe(self, member: Member) -> dict[str, str]:
        """Return a member's ids, address and failure domain."""
        addresses = self.replica.state.addresses
        record = addresses.record_of(member.replica_id)
        return {
            "replica_id": member.replica_id,
            "identity": member.identity,
            "address": str(addresses.address_of(member.replica_id) or ""),
            "failure_domain": record.failure_domain if record else "",
        }


def _may_repeat(request: Any, outcome: ProposalOutcome) -> bool:
    """Return whether a request may be sent again after this outcome.

    A member that was added is not added again, so that a request to add one with its
    identity may be sent again also when it is unknown whether it was carried out.
    """
    if outcome.outcome is Outcome.UNKNOWN:
        return bool(getattr(request, "action", "") == "add" and request.identity)
    return outcome.outcome is Outcome.REFUSED and outcome.reason in _RETRYABLE_REASONS


def _members(membership: Membership) -> tuple[Member, ...]:
    """Return all members, voters first."""
    return membership.voters + membership.learners


def _refused(reason: RefusalReason) -> ProposalOutcome:
    """Return the outcome of a request that was refused and had no effect."""
    return ProposalOutcome("", Outcome.REFUSED, 0, reason)
