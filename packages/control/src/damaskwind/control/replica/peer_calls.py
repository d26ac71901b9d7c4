"""Call a replica by its address, without knowing which member answers there."""

import asyncio
from typing import Any

from loguru import logger

from damaskwind.control.replica.transport import CALL_ERRORS, Channels
from damaskwind.model.targets import Address
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.replication_grpc import ReplicationStub

__all__ = ["call_peer"]


async def call_peer(
    address: Address,
    method: str,
    request: Any,
    channels: Channels,
    signer: CallSigner,
    timeout_s: float,
) -> Any:
    """Make one call and return its reply, or `None` when it fails."""
    channel = channels.get(address)
    stub = ReplicationStub(channel)
    try:
        call = call_unary(getattr(stub, method), request, signer, timeout_s)
        return await asyncio.wait_for(call, timeout_s)
    except CALL_ERRORS as error:
        logger.debug("replica not reached", address=str(address), error=repr(error))
        channels.drop(address, channel)
        return None
