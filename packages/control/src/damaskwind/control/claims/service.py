"""The gRPC service of a `ClaimHolder` for routers and restarted holders."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from damaskwind.decisions.claims.codec import decode_claim_message, encode_claim_message
from damaskwind.decisions.claims.holder import ClaimHolder
from damaskwind.decisions.claims.messages import (
    CatchUpRead,
    CatchUpReply,
    Order,
    Record,
    Rejection,
    Write,
)
from damaskwind.model.exception import MessageError
from damaskwind.wire.authentication import CallVerifier, receive_call
from damaskwind.wire.claims_grpc import ClaimsBase
from damaskwind.wire.claims_pb2 import ClaimReply

__all__ = ["ClaimHolderService"]

PAGE_RECORDS = 500
_PATH = "/damaskwind.claims.Claims/"


class ClaimHolderService(ClaimsBase):
    """The grpclib service of one holder; `clock` returns monotonic seconds.

    `replies` counts the replies by call and rejection.
    """

    def __init__(
        self, holder: ClaimHolder, verifier: CallVerifier, clock: Callable[[], float]
    ) -> None:
        self.holder = holder
        self.replies: Counter[tuple[str, Rejection]] = Counter()
        self._verifier = verifier
        self._clock = clock

    async def Order(self, stream: Any) -> None:  # noqa: N802
        """Handle the first phase of a claim."""
        message = await self._receive(stream, "Order", Order)
        await self._count_and_reply(stream, "order", self.holder.order(message, self._clock()))

    async def Write(self, stream: Any) -> None:  # noqa: N802
        """Handle the second phase of a claim."""
        message = await self._receive(stream, "Write", Write)
        await self._count_and_reply(stream, "write", self.holder.write(message, self._clock()))

    async def Record(self, stream: Any) -> None:  # noqa: N802
        """Store the outcome of a claimed request."""
        message = await self._receive(stream, "Record", Record)
        await self._count_and_reply(stream, "record", self.holder.record(message, self._clock()))

    async def CatchUp(self, stream: Any) -> None:  # noqa: N802
        """Send all records, in pages, to a holder that restarted."""
        message = await self._receive(stream, "CatchUp", CatchUpRead)
        full_reply = self.holder.read_all(message, self._clock())
        logger.info(
            "claims read by a restarted holder",
            reader=message.holder_id,
            records=len(full_reply.records),
            rejection=str(full_reply.rejection),
        )
        for page in _split_pages(full_reply):
            await self._reply(stream, page)

    async def _receive(self, stream: Any, name: str, kind: type) -> Any:
        """Receive, verify and decode a call; refuse one for another holder."""
        call = await receive_call(stream, _PATH + name, self._verifier)
        if call.holder_id != self.holder.holder_id:
            raise GRPCError(Status.FAILED_PRECONDITION, "other_holder")
        try:
            return decode_claim_message(kind, call.body)
        except MessageError as error:
            logger.warning("claim message refused", method=name, error=str(error))
            raise GRPCError(Status.INVALID_ARGUMENT, "malformed") from error

    async def _count_and_reply(self, stream: Any, call: str, reply: Any) -> None:
        """Count and send the reply of the holder."""
        self.replies[call, reply.rejection] += 1
        await self._reply(stream, reply)

    async def _reply(self, stream: Any, message: Any) -> None:
        """Send one reply."""
        await stream.send_message(ClaimReply(body=encode_claim_message(message)))


def _split_pages(full_reply: CatchUpReply) -> list[CatchUpReply]:
    """Split a reply into at least one page, to bound the message size."""
    starts = range(0, max(1, len(full_reply.records)), PAGE_RECORDS)
    return [
        full_reply._replace(records=full_reply.records[start : start + PAGE_RECORDS])
        for start in starts
    ]
