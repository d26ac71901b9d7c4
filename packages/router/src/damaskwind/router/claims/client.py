"""Claim idempotency keys from the claim holders and record the outcomes of requests."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from loguru import logger

from damaskwind.decisions.claims.codec import decode_claim_message, encode_claim_message
from damaskwind.decisions.claims.holder import majority_of
from damaskwind.decisions.claims.messages import (
    Accepted,
    ClaimOutcome,
    ClaimValue,
    Order,
    OrderReply,
    Outcome,
    Record,
    RecordReply,
    Rejection,
    Write,
    WriteReply,
)
from damaskwind.decisions.claims.proposer import ClaimProposer, Phase, Step, no_quorum
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.model.verdict import Verdict
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.bounded_channel import BoundedChannel
from damaskwind.wire.claims_grpc import ClaimsStub
from damaskwind.wire.claims_pb2 import ClaimCall
from damaskwind.wire.follow_codec import CALL_BYTES, MESSAGE_OVERHEAD_BYTES

__all__ = ["ClaimsClient"]

CALL_TIMEOUT_S = 1.0
ABANDON_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
_CALL_ERRORS = (OSError, asyncio.TimeoutError, GRPCError, StreamTerminatedError, MessageError)
_METHODS = {Order: "Order", Write: "Write", Record: "Record"}
_REPLIES = {Order: OrderReply, Write: WriteReply, Record: RecordReply}


class ClaimsClient:
    """One router's client of the claim holders; it owns its connections.

    `holders` names every holder with its address. `clock` returns monotonic seconds.
    Each claim needs its own `request_id`, even if a caller resends, because the id
    identifies the request that may run. The byte counts include estimated headers.
    """

    def __init__(
        self,
        holders: Sequence[tuple[str, Address]],
        cluster: str,
        cluster_key: str,
        router_id: str,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._addresses = dict(holders)
        self._signer = CallSigner(cluster, cluster_key, router_id)
        self._random = random
        self._clock = clock
        self._channels: dict[str, Channel] = {}
        self._tasks: set[asyncio.Task] = set()

    async def claim(
        self, key: str, request_digest: str, request_id: str, timeout_s: float
    ) -> ClaimOutcome:
        """Claim a key for a request; without a majority in time return `NO_QUORUM`.

        A claim that times out undecided, or whose task is cancelled, is abandoned: the
        holders are informed that its request never runs, so that a resend can claim the key.
        """
        value = ClaimValue(request_id, request_digest)
        proposer = ClaimProposer(key, value, tuple(self._addresses))
        try:
            outcome = await asyncio.wait_for(self._run_rounds(proposer), timeout_s)
        except TimeoutError:
            self._abandon(proposer)
            detail = "the claim holders are full"
            return no_quorum(detail if proposer.was_full else "no majority of claim holders")
        except asyncio.CancelledError:
            self._abandon(proposer)
            raise
        return outcome

    async def record(
        self, key: str, accepted: Accepted, outcome: Outcome, timeout_s: float
    ) -> bool:
        """Record the outcome of a granted request; return whether a majority stored it.

        After `not-run` the request must never be sent. The record is sent to all holders,
        even if a majority answers before the others.
        """
        message = Record(key, accepted, outcome)
        calls = [
            self._spawn(self._call(holder_id, message, timeout_s)) for holder_id in self._addresses
        ]
        stored = 0
        for call in asyncio.as_completed(calls):
            reply = await call
            stored += reply is not None and reply.rejection == Rejection.NONE
            if stored >= majority_of(len(self._addresses)):
                return True
        return False

    async def close(self) -> None:
        """Cancel the calls in progress and close the connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for holder_id in list(self._channels):
            self._drop_channel(holder_id)

    async def _run_rounds(self, proposer: ClaimProposer) -> ClaimOutcome:
        """Run rounds, with random exponential backoff between them, until one decides."""
        pause_s = INITIAL_BACKOFF_S
        while True:
            outcome = await self._run_round(proposer)
            if outcome is not None:
                return outcome
            await asyncio.sleep(self._random.uniform(0.0, pause_s))
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)

    async def _run_round(self, proposer: ClaimProposer) -> ClaimOutcome | None:
        """Run one round; return `None` if it failed."""
        replies: asyncio.Queue = asyncio.Queue()
        step = proposer.start_round()
        while step.outcome is None and proposer.phase != Phase.FAILED:
            self._send(step, replies)
            step = proposer.handle_reply(*await replies.get())
        return step.outcome

    def _send(self, step: Step, replies: asyncio.Queue) -> None:
        """Send a step's messages; each puts its reply, or `None`, into the queue."""

        async def call_holder(holder_id: str, message: Any) -> None:
            reply = await self._call(holder_id, message, CALL_TIMEOUT_S)
            replies.put_nowait((holder_id, message.ballot, reply))

        for holder_id, message in step.messages:
            self._spawn(call_holder(holder_id, message))

    async def _call(self, holder_id: str, message: Any, timeout_s: float) -> Any:
        """Make one call; return `None` if it failed."""
        kind = type(message)
        request = ClaimCall(holder_id=holder_id, body=encode_claim_message(message))
        channel = self._channel(holder_id)
        method = getattr(ClaimsStub(channel), _METHODS[kind])
        self.sent_bytes += request.ByteSize() + CALL_BYTES + MESSAGE_OVERHEAD_BYTES
        try:
            reply = await call_unary(method, request, self._signer, timeout_s)
            self.received_bytes += reply.ByteSize() + MESSAGE_OVERHEAD_BYTES
            return decode_claim_message(_REPLIES[kind], reply.body)
        except _CALL_ERRORS as error:
            detail = str(error) or type(error).__name__
            logger.debug("claim call failed", holder=holder_id, method=_METHODS[kind], error=detail)
            if isinstance(error, OSError | asyncio.TimeoutError):
                self._drop_channel(holder_id, channel)
            return None

    def _abandon(self, proposer: ClaimProposer) -> None:
        """Inform all reachable holders that a request never runs."""
        accepted = Accepted(proposer.ballot, proposer.value)
        message = Record(proposer.key, accepted, Outcome(Verdict.NOT_RUN))
        for holder_id in self._addresses:
            self._spawn(self._call(holder_id, message, ABANDON_TIMEOUT_S))

    def _spawn(self, coroutine: Any) -> asyncio.Task:
        """Run a coroutine as a task, holding a reference until it ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _channel(self, holder_id: str) -> Channel:
        """Return the connection to a holder, creating it on first use."""
        channel = self._channels.get(holder_id)
        if channel is None:
            address = self._addresses[holder_id]
            channel = self._channels[holder_id] = BoundedChannel(address.host, address.port)
        return channel

    def _drop_channel(self, holder_id: str, channel: Channel | None = None) -> None:
        """Close a hanging connection, unless it was already replaced by another."""
        if channel is None or self._channels.get(holder_id) is channel:
            self._channels.pop(holder_id).close()
