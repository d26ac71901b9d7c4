"""Start the claim holder of this process once it is clear whether its records may be incomplete.

A holder whose disk existed before its cluster was founded has lost no records at its
first start. Any other holder without records must first read those of the others. Its
incarnations count from the wall clock time at which its disk was initialized, so that
they exceed those of any earlier disk.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from damaskwind.control.claims.catch_up import catch_up
from damaskwind.control.claims.kept_records import save_records
from damaskwind.control.claims.service import ClaimHolderService
from damaskwind.control.claims.start import record_start
from damaskwind.control.replica.node import ReplicaNode
from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import ReplicaSettings, parse_address
from damaskwind.wire.authentication import CallVerifier
from damaskwind.wire.claims_grpc import ClaimsBase

__all__ = ["DeferredClaimHolder", "start_claim_holder"]

LOG_WAIT_S = 1.0


class DeferredClaimHolder(ClaimsBase):
    """The holder's service; calls fail with `UNAVAILABLE` until the holder has been started."""

    def __init__(self) -> None:
        self.inner: ClaimHolderService | None = None
        self._folder: Path | None = None
        self._start = 0

    def make_holder(self, node: ReplicaNode, holder_ids: list[str], ttl_s: float) -> ClaimHolder:
        """Record this start and create the holder, with the records of the last clean stop."""
        identity = node.folder.identity
        is_founding = node.service.is_founding
        self._folder = node.folder.path
        start = record_start(self._folder, identity.replica_id, is_founding)
        self._start = start.incarnation
        base = 0 if is_founding else identity.created_s
        holder = ClaimHolder(
            identity.replica_id,
            base + start.incarnation,
            holder_ids,
            HolderPolicy(ttl_s=ttl_s),
            read_clock(),
            start.is_first_start,
        )
        if start.saved_memory is not None:
            holder.resume(start.saved_memory, read_clock())
        return holder

    async def stop(self) -> None:
        """Stop answering and save the records, from which the next start resumes."""
        if self.inner is None:
            return
        holder, self.inner = self.inner.holder, None
        memory = holder.stop(read_clock())
        if memory is None or self._folder is None:
            return
        write = partial(save_records, self._folder, holder.holder_id, self._start, memory)
        try:
            await asyncio.get_running_loop().run_in_executor(None, write)
        except OSError as error:
            logger.error("claims not kept", error=str(error))

    def set_ttl(self, ttl_s: float) -> None:
        """Set the lifetime of claims, including those already on record."""
        if self.inner is not None:
            self.inner.holder.policy = self.inner.holder.policy._replace(ttl_s=ttl_s)

    async def Order(self, stream: Any) -> None:  # noqa: N802
        """Answer a call of the first phase of a claim."""
        await self._service().Order(stream)

    async def Write(self, stream: Any) -> None:  # noqa: N802
        """Answer a call of the second phase of a claim."""
        await self._service().Write(stream)

    async def Record(self, stream: Any) -> None:  # noqa: N802
        """Record the outcome of a claim."""
        await self._service().Record(stream)

    async def CatchUp(self, stream: Any) -> None:  # noqa: N802
        """Send all records to a holder that restarted."""
        await self._service().CatchUp(stream)

    def _service(self) -> ClaimHolderService:
        if self.inner is None:
            raise GRPCError(Status.UNAVAILABLE, "starting")
        return self.inner


async def start_claim_holder(
    claim_holder: DeferredClaimHolder,
    node: ReplicaNode,
    verifier: CallVerifier,
    bootstrap: tuple[ReplicaSettings, ...],
    ttl_s: Callable[[], float],
) -> None:
    """Wait until this replica is current in a log, then start the holder.

    Before the log exists, the loss of a disk would go unnoticed. A replica that lags
    may apply a shorter lifetime of claims than the one in force, and would vote too
    early. Only the bootstrap replicas are holders. `ttl_s` returns the lifetime of
    a claim by this replica's policy.
    """
    addresses = {item.replica_id: parse_address(item.address) for item in bootstrap}
    if node.folder.identity.replica_id not in addresses:
        return
    replica = node.replica
    while not (replica.has_log and replica.is_current):
        if not replica.is_running:
            return
        await replica.wait_until(lambda: replica.has_log and replica.is_current, LOG_WAIT_S)
    loop = asyncio.get_running_loop()
    creation = loop.run_in_executor(None, claim_holder.make_holder, node, list(addresses), ttl_s())
    try:
        holder = await asyncio.shield(creation)
    except asyncio.CancelledError:
        # The thread writes to the data folder, whose lock this process is about to release.
        await asyncio.wait([creation])
        raise
    claim_holder.inner = ClaimHolderService(holder, verifier, read_clock)
    claim_holder.set_ttl(ttl_s())
    await catch_up(holder, addresses, node.signer, read_clock)
