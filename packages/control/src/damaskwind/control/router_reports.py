"""Collect the revision that each router enforces, from this and the other replicas."""

import asyncio
from typing import Any

from loguru import logger

from damaskwind.control.operator_api.router_status import RouterRevision, RouterStatusTable
from damaskwind.control.replica.replica import Replica
from damaskwind.control.replica.transport import CALL_ERRORS, Channels
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.follow_grpc import FollowStub
from damaskwind.wire.follow_pb2 import EnforcedRequest, FollowerReport

__all__ = ["RouterReports"]

POLL_S = 2.0
CALL_TIMEOUT_S = 1.0


class RouterReports:
    """The newest report of each router, from any replica."""

    def __init__(self, replica: Replica, signer: CallSigner) -> None:
        self.local = RouterStatusTable(read_clock)
        self._replica = replica
        self._signer = signer
        self._channels = Channels()
        self._remote_reports: dict[str, tuple[RouterRevision, ...]] = {}
        self._polled_at_s: dict[str, float] = {}

    def local_messages(self) -> list[FollowerReport]:
        """Return the reports of this replica's followers as messages."""
        return [
            FollowerReport(
                router_id=item.router_id,
                failure_domain=item.failure_domain,
                applied_revision=item.revision,
                age_ms=int(item.age_s * 1000),
            )
            for item in self.local.latest_reports()
        ]

    def latest_reports(self) -> list[RouterRevision]:
        """Return the newest report of each router."""
        now_s = read_clock()
        newest = {item.router_id: item for item in self.local.latest_reports()}
        for replica_id, reports in self._remote_reports.items():
            since_s = now_s - self._polled_at_s[replica_id]
            for item in reports:
                aged = item._replace(age_s=item.age_s + since_s)
                known = newest.get(item.router_id)
                if known is None or aged.age_s < known.age_s:
                    newest[item.router_id] = aged
        return [newest[router_id] for router_id in sorted(newest)]

    async def poll(self) -> None:
        """Poll the other replicas periodically."""
        while self._replica.is_running:
            membership = self._replica.core.membership
            members = {item.replica_id for item in membership.voters + membership.learners}
            members.discard(self._replica.member.replica_id)
            await asyncio.gather(*(self._poll_replica(replica_id) for replica_id in members))
            await asyncio.sleep(POLL_S)

    def close(self) -> None:
        """Close the connections."""
        self._channels.close()

    async def _poll_replica(self, replica_id: str) -> None:
        """Poll one replica; keep its last reports if it does not answer."""
        address: Address | None = self._replica.state.addresses.address_of(replica_id)
        if address is None:
            return
        stub = FollowStub(self._channels.get(address))
        try:
            call = call_unary(stub.Enforced, EnforcedRequest(), self._signer, CALL_TIMEOUT_S)
            reply: Any = await asyncio.wait_for(call, CALL_TIMEOUT_S)
        except CALL_ERRORS as error:
            logger.debug("reports not read", replica=replica_id, error=repr(error))
            self._channels.drop(address)
            return
        self._polled_at_s[replica_id] = read_clock()
        self._remote_reports[replica_id] = tuple(
            RouterRevision(
                item.router_id, item.failure_domain, item.applied_revision, item.age_ms / 1000
            )
            for item in reply.reports
        )
