"""Let a restarted claim holder read the records of the others until it may vote."""

import asyncio
from collections.abc import Callable, Mapping

from grpclib.exceptions import GRPCError, StreamTerminatedError
from loguru import logger

from damaskwind.decisions.claims.codec import decode_claim_message, encode_claim_message
from damaskwind.decisions.claims.holder import ClaimHolder
from damaskwind.decisions.claims.messages import CatchUpRead, CatchUpReply
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.wire.authentication import CallSigner
from damaskwind.wire.bounded_channel import BoundedChannel
from damaskwind.wire.claims_grpc import ClaimsStub
from damaskwind.wire.claims_pb2 import ClaimCall
from damaskwind.wire.lost_connection import translate_lost_connections

__all__ = ["catch_up"]

READ_TIMEOUT_S = 30.0
RETRY_PAUSE_S = 0.5
_CALL_ERRORS = (OSError, asyncio.TimeoutError, GRPCError, StreamTerminatedError, MessageError)


async def catch_up(
    holder: ClaimHolder,
    addresses: Mapping[str, Address],
    signer: CallSigner,
    clock: Callable[[], float],
    pause_s: float = RETRY_PAUSE_S,
) -> None:
    """Read the other holders repeatedly until `holder` is voting.

    Each is read by itself, so that none that stands still delays the reads of the others.
    `addresses` maps the ids of the other holders to their addresses.
    """
    reads = [
        asyncio.ensure_future(_keep_read(holder, holder_id, address, signer, clock, pause_s))
        for holder_id, address in addresses.items()
        if holder_id != holder.holder_id
    ]
    try:
        while not holder.is_voting(clock()):
            await asyncio.sleep(pause_s)
    finally:
        for read in reads:
            read.cancel()
        await asyncio.gather(*reads, return_exceptions=True)
    logger.info("claim holder votes", holder=holder.holder_id, records=len(holder))


async def _keep_read(
    holder: ClaimHolder,
    holder_id: str,
    address: Address,
    signer: CallSigner,
    clock: Callable[[], float],
    pause_s: float,
) -> None:
    """Read one other holder whenever its records are not merged, until canceled.

    What was merged has to be read again once the incarnation of `holder` was raised.
    """
    while True:
        if not holder.has_read(holder_id):
            reply = await _read_holder(holder, holder_id, address, signer)
            if reply is not None:
                holder.merge_catch_up(reply, clock())
        await asyncio.sleep(pause_s)


async def _read_holder(
    holder: ClaimHolder, holder_id: str, address: Address, signer: CallSigner
) -> CatchUpReply | None:
    """Read all records of one other holder; return `None` when that fails."""
    read = CatchUpRead(holder.holder_id, holder.incarnation)
    request = ClaimCall(holder_id=holder_id, body=encode_claim_message(read))
    channel = BoundedChannel(address.host, address.port)
    try:
        return await _read_pages(ClaimsStub(channel), request, signer)
    except _CALL_ERRORS as error:
        logger.info("claims not read", holder=holder_id, error=str(error) or type(error).__name__)
        return None
    finally:
        channel.close()


async def _read_pages(
    stub: ClaimsStub, request: ClaimCall, signer: CallSigner
) -> CatchUpReply | None:
    """Read all pages of a stream and return them as one reply; `None` if empty."""
    method = stub.CatchUp
    metadata = signer.sign(method.name, request.SerializeToString(deterministic=True))
    pages = []
    with translate_lost_connections():
        async with method.open(timeout=READ_TIMEOUT_S, metadata=metadata) as stream:
            await stream.send_message(request, end=True)
            async for page in stream:
                pages.append(decode_claim_message(CatchUpReply, page.body))
    if not pages:
        return None
    records = tuple(record for page in pages for record in page.records)
    return pages[0]._replace(records=records)
