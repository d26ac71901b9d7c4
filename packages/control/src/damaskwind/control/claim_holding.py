"""Start this process's claim holder once it is known what it may have forgotten.

A holder that was there before its cluster was founded has forgotten nothing at
its first start. Any other empty one must first read the others; its incarnation
counts from the wall clock's time at which its disk was new, so that it is above
those of the disk's earlier lives.
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
from damaskwind.control.claims.kept_records import write_kept
from damaskwind.control.claims.service import ClaimHolderService
from damaskwind.control.claims.start import begin_start
from damaskwind.control.replica.node import ReplicaNode
from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import ReplicaSettings, parse_address
from damaskwind.wire.authentication import CallVerifier
from damaskwind.wire.claims_grpc import ClaimsBase

__all__ = ["DeferredClaimHolder", "start_claim_holder"]

LOG_WAIT_S = 1.0


class DeferredClaimHolder(ClaimsBase):
    """The holder's service; until the holder is there, calls are told to come back."""

    def __init__(self) -> None:
        self.inner: ClaimHolderService | None = None
        self._folder: Path | None = None
        self._start = 0

    def make_holder(self, node: ReplicaNode, holder_ids: list[str], ttl_s: float) -> ClaimHolder:
        """Number this start and make the holder, with what the last clean stop kept."""
        identity = node.folder.identity
        is_founding = node.service.is_founding
        self._folder = node.folder.path
        start = begin_start(self._folder, identity.replica_id, is_founding)
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
        if start.kept is not None:
            holder.resume(start.kept, read_clock())
        return holder

    async def stop(self) -> None:
        """Answer no more and keep the records, so that the next start goes on from them."""
        if self.inner is None:
            return
        holder, self.inner = self.inner.holder, None
        memory = holder.stop(read_clock())
        if memory is None or self._folder is None:
            return
        write = partial(write_kept, self._folder, holder.holder_id, self._start, memory)
        try:
            await asyncio.get_running_loop().run_in_executor(None, write)
        except OSError as error:
            logger.error("claims not kept", error=str(error))

    def set_ttl(self, ttl_s: float) -> None:
        """Let claims live as long as the policy says, those on record too."""
        if self.inner is not None:
            self.inner.holder.policy = self.inner.holder.policy._replace(ttl_s=ttl_s)

    async def Order(self, stream: Any) -> None:  # noqa: N802
        """First phase of a claim."""
        await self._service().Order(stream)

    async def Write(self, stream: Any) -> None:  # noqa: N802
        """Second phase of a claim."""
        await self._service().Write(stream)

    async def Record(self, stream: Any) -> None:  # noqa: N802
        """Keep an outcome."""
        await self._service().Record(stream)

    async def CatchUp(self, stream: Any) -> None:  # noqa: N802
        """Give all records to a holder that restarted."""
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

    Before there is a log anywhere, a disk that is lost would not be noticed; and
    one that is behind may know a shorter life of claims than is in force, and
    would vote too early. The holders are the bootstrap replicas; another replica
    holds no claims. `ttl_s` returns the life of a claim by this replica's policy.
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
    making = loop.run_in_executor(None, claim_holder.make_holder, node, list(addresses), ttl_s())
    try:
        holder = await asyncio.shield(making)
    except asyncio.CancelledError:
        # The thread writes into the folder, which this process is about to give back.
        await asyncio.wait([making])
        raise
    claim_holder.inner = ClaimHolderService(holder, verifier, read_clock)
    claim_holder.set_ttl(ttl_s())
    await catch_up(holder, addresses, node.signer, read_clock)
