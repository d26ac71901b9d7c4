"""Send the log's messages to the other replicas, with one call at a time to each.

Messages queued during a call are batched into the next one. Messages may be
lost; the replication protocol retransmits what matters.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from loguru import logger

from damaskwind.control.replica.codec import encode_envelope
from damaskwind.decisions.replication.messages import Envelope
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.replication_grpc import ReplicationStub
from damaskwind.wire.replication_pb2 import CoreMessages

__all__ = ["CALL_ERRORS", "Channels", "Transport"]

CALL_ERRORS = (OSError, asyncio.TimeoutError, GRPCError, StreamTerminatedError)
QUEUE_LIMIT_MESSAGES = 512
BATCH_LIMIT_BYTES = 8 * 1024 * 1024
CALL_TIMEOUT_S = 2.0
MIN_BYTES_PER_S = 1024 * 1024
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class Channels:
    """One channel per address, created on first use."""

    def __init__(self) -> None:
        self._channels: dict[Address, Channel] = {}

    def get(self, address: Address) -> Channel:
        """Return the channel to an address; create it if there is none."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = Channel(address.host, address.port)
        return channel

    def drop(self, address: Address) -> None:
        """Close the channel to an address; the next use creates a new one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            self.drop(address)


class _PeerQueue:
    """The queued messages for one replica and the task that sends them."""

    def __init__(self) -> None:
        self.bodies: deque[bytes] = deque(maxlen=QUEUE_LIMIT_MESSAGES)
        self.has_messages = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.call_started_s: float | None = None
        self.last_call_duration_s = 0.0


class Transport:
    """Send envelopes to other replicas, addressed by replica id."""

    def __init__(
        self,
        signer: CallSigner,
        address_of: Callable[[str], Address | None],
        random: Random,
    ) -> None:
        self.own_address = ""
        self.channels = Channels()
        self.sent_bytes = 0
        self.on_sent: Callable[[int], None] | None = None
        self._is_closed = False
        self._signer = signer
        self._address_of = address_of
        self._random = random
        self._queues: dict[str, _PeerQueue] = {}

    def send(self, envelope: Envelope) -> None:
        """Queue a message for its recipient; the oldest is dropped from a full queue."""
        if self._is_closed:
            return
        replica_id = envelope.recipient.replica_id
        queue = self._queues.get(replica_id)
        if queue is None:
            queue = self._queues[replica_id] = _PeerQueue()
            queue.task = asyncio.ensure_future(self._run(replica_id, queue))
        queue.bodies.append(encode_envelope(envelope))
        queue.has_messages.set()

    def slowest_call_s(self) -> float:
        """Return the longest call duration over all peers, in seconds.

        For each peer, this is the time so far of the call in flight, or the
        duration of the last call if there is none.
        """
        now_s = read_clock()
        durations_s = (
            (
                queue.last_call_duration_s
                if queue.call_started_s is None
                else now_s - queue.call_started_s
            )
            for queue in self._queues.values()
        )
        return max(durations_s, default=0.0)

    async def close(self) -> None:
        """Stop all tasks and close all connections.

        A call that completes while it is cancelled may swallow the
        cancellation, so the tasks check a flag as well.
        """
        self._is_closed = True
        tasks = [queue.task for queue in self._queues.values() if queue.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.channels.close()

    def _next_batch(self, replica_id: str, queue: _PeerQueue) -> CoreMessages:
        """Dequeue messages up to the batch size limit."""
        batch = CoreMessages(
            sender_id=self._signer.sender,
            recipient_id=replica_id,
            sender_address=self.own_address,
        )
        size_bytes = 0
        while queue.bodies and (not size_bytes or size_bytes < BATCH_LIMIT_BYTES):
            body = queue.bodies.popleft()
            size_bytes += len(body)
            batch.bodies.append(body)
        return batch

    async def _run(self, replica_id: str, queue: _PeerQueue) -> None:
        """Send batches until closed; back off with full jitter after a failure."""
        backoff_s = INITIAL_BACKOFF_S
        while not self._is_closed:
            await queue.has_messages.wait()
            queue.has_messages.clear()
            while queue.bodies and not self._is_closed:
                queue.call_started_s = read_clock()
                is_delivered = await self._send_batch(replica_id, queue)
                queue.last_call_duration_s = read_clock() - queue.call_started_s
                queue.call_started_s = None
                if is_delivered:
                    backoff_s = INITIAL_BACKOFF_S
                    continue
                queue.bodies.clear()
                await asyncio.sleep(self._random.uniform(0, backoff_s))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _send_batch(self, replica_id: str, queue: _PeerQueue) -> bool:
        """Send one batch and return whether it was delivered."""
        batch = self._next_batch(replica_id, queue)
        address = self._address_of(replica_id)
        if address is None:
            return False
        size_bytes = batch.ByteSize()
        timeout_s = CALL_TIMEOUT_S + size_bytes / MIN_BYTES_PER_S
        self.sent_bytes += size_bytes
        if self.on_sent is not None:
            self.on_sent(size_bytes)
        stub = ReplicationStub(self.channels.get(address))
        try:
            call = call_unary(stub.Deliver, batch, self._signer, timeout_s)
            await asyncio.wait_for(call, timeout_s)
        except CALL_ERRORS as error:
            logger.debug("replica not reached", replica=replica_id, error=repr(error))
            self.channels.drop(address)
            return False
        return True
