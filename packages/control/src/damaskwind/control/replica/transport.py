"""Send the log's messages to the other replicas, with a few calls at a time to each.

Messages queued while all calls are in flight are batched into the next one. With a
single call, each message would wait for the answer to the one before, so that a slow
peer would get each message a round trip late. Calls share one connection, which mostly
keeps their order. Messages may be lost or overtake one another; the replication protocol
retransmits what matters.

Only the newest of the waiting heartbeats is sent. The others would only add load, and a
follower grants no vote for a second after each heartbeat that arrives.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from loguru import logger

from damaskwind.control.replica.codec import encode_envelope
from damaskwind.decisions.replication.messages import (
    AppendRequest,
    Envelope,
    Member,
    SnapshotRequest,
)
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.bounded_channel import BoundedChannel
from damaskwind.wire.replication_grpc import ReplicationStub
from damaskwind.wire.replication_pb2 import CoreMessages, HelloRequest

__all__ = ["CALLS_IN_FLIGHT", "CALL_ERRORS", "Channels", "Transport"]

CALL_ERRORS = (OSError, asyncio.TimeoutError, GRPCError, StreamTerminatedError)
QUEUE_LIMIT_MESSAGES = 512
# Heartbeats are sent each 0.25 s, so that three calls suffice for a round trip of 0.75 s.
CALLS_IN_FLIGHT = 3
BATCH_LIMIT_BYTES = 8 * 1024 * 1024
CALL_TIMEOUT_S = 2.0
SILENT_LIMIT_S = 2.0
MIN_BYTES_PER_S = 1024 * 1024
# How long a replica may take to install a snapshot that was delivered: the core asks for another
# one after this time.
INSTALL_LIMIT_S = 1.0
# A snapshot waits for this greeting, so that a replica that isn't reached costs it little.
HELLO_TIMEOUT_S = 0.5
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class Channels:
    """One channel per address, created on first use.

    A channel whose calls time out is kept for `SILENT_LIMIT_S`. On a slow network opening
    another one would take longer than the calls, which would then never arrive.
    """

    def __init__(self) -> None:
        self._channels: dict[Address, Channel] = {}
        self._silent_since_s: dict[Address, float] = {}

    def get(self, address: Address) -> Channel:
        """Return the channel to an address; create it if there is none."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = BoundedChannel(address.host, address.port)
        return channel

    def drop(self, address: Address, failed: Channel | None = None) -> None:
        """Close the channel to an address; the next use creates a new one.

        With `failed` a channel that has taken its place is kept.
        """
        if failed is not None and self._channels.get(address) is not failed:
            return
        self._silent_since_s.pop(address, None)
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def record_timeout(self, address: Address, asked_s: float) -> None:
        """Close the channel if its calls have had no answer since `SILENT_LIMIT_S`."""
        since_s = self._silent_since_s.setdefault(address, asked_s)
        if read_clock() - since_s >= SILENT_LIMIT_S:
            self.drop(address)

    def record_answer(self, address: Address) -> None:
        """Record that a call over the channel was answered."""
        self._silent_since_s.pop(address, None)

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            self.drop(address)


class _Queued(NamedTuple):
    """An encoded message; appends can be dropped, heartbeats are appends without entries."""

    body: bytes
    recipient: Member
    is_append: bool
    is_heartbeat: bool
    is_snapshot: bool


class _PeerQueue:
    """The queued messages for one replica and the tasks that send them."""

    def __init__(self) -> None:
        self.messages: deque[_Queued] = deque(maxlen=QUEUE_LIMIT_MESSAGES)
        self.has_messages = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.calls_started_s: dict[asyncio.Task | None, float] = {}
        self.last_call_duration_s = 0.0
        self.bytes_in_flight = 0
        self.calls: dict[asyncio.Future[bool], Address] = {}
        self.snapshots_in_flight: list[Member] = []
        self.snapshot_delivered_s: dict[Member, float] = {}

    def may_send_snapshot_to(self, recipient: Member) -> bool:
        """Return whether no snapshot is on its way here, or is being installed by a member.

        One for another life of the replica counts too: it takes the same link.
        """
        delivered_s = self.snapshot_delivered_s.get(recipient, float("-inf"))
        is_installing = read_clock() - delivered_s < INSTALL_LIMIT_S
        is_waiting = any(queued.is_snapshot for queued in self.messages)
        return not (is_installing or is_waiting or self.snapshots_in_flight)

    def add(self, queued: _Queued) -> None:
        """Add a message; an append replaces waiting heartbeats to the same recipient."""
        if queued.is_append:
            recipient = queued.recipient
            self.keep(lambda item: not (item.is_heartbeat and item.recipient == recipient))
        self.messages.append(queued)
        self.has_messages.set()

    def end_calls_elsewhere(self, address: Address | None) -> None:
        """End the calls to other addresses, where the replica listened before."""
        for call, called_address in self.calls.items():
            if called_address != address:
                call.cancel()

    def keep(self, is_kept: Callable[[_Queued], bool]) -> None:
        """Drop all waiting messages except those that `is_kept` accepts."""
        kept = [queued for queued in self.messages if is_kept(queued)]
        if len(kept) < len(self.messages):
            self.messages = deque(kept, maxlen=QUEUE_LIMIT_MESSAGES)


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
        """Queue a message for its recipient; the oldest is dropped from a full queue.

        A snapshot is not queued again while one is on its way. On a slow link it would
        share the link with the first, and neither would arrive in time.
        """
        if self._is_closed:
            return
        replica_id = envelope.recipient.replica_id
        queue = self._queues.get(replica_id)
        if queue is None:
            queue = self._queues[replica_id] = _PeerQueue()
            for _ in range(CALLS_IN_FLIGHT):
                queue.tasks.append(asyncio.ensure_future(self._run(replica_id, queue)))
        queue.end_calls_elsewhere(self._address_of(replica_id))
        message = envelope.message
        is_snapshot = isinstance(message, SnapshotRequest)
        if is_snapshot and not queue.may_send_snapshot_to(envelope.recipient):
            return
        is_append = isinstance(message, AppendRequest)
        is_heartbeat = is_append and not message.entries
        body = encode_envelope(envelope)
        queue.add(_Queued(body, envelope.recipient, is_append, is_heartbeat, is_snapshot))

    async def runs_as_another(self, member: Member) -> bool:
        """Return whether a member's replica answers as another life, without its disk."""
        address = self._address_of(member.replica_id)
        if address is None:
            return False
        stub = ReplicationStub(self.channels.get(address))
        try:
            call = call_unary(stub.Hello, HelloRequest(), self._signer, HELLO_TIMEOUT_S)
            reply = await asyncio.wait_for(call, HELLO_TIMEOUT_S)
        except CALL_ERRORS:
            return False
        return reply.replica_id == member.replica_id and reply.identity != member.identity

    def drop_appends(self) -> None:
        """Drop the waiting appends of this replica, which no longer leads.

        Their recipients would take it for the leader and grant no vote.
        """
        for queue in self._queues.values():
            queue.keep(lambda queued: not queued.is_append)

    def slowest_call_s(self) -> float:
        """Return the longest call duration over all peers, in seconds.

        For each peer, this is the time so far of the longest call in flight, or the
        duration of the last call if there is none.
        """
        now_s = read_clock()
        durations_s = (
            (
                now_s - min(queue.calls_started_s.values())
                if queue.calls_started_s
                else queue.last_call_duration_s
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
        tasks = [task for queue in self._queues.values() for task in queue.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.channels.close()

    def _next_batch(self, replica_id: str, queue: _PeerQueue) -> tuple[CoreMessages, list[Member]]:
        """Dequeue messages up to the batch size limit; also return whose snapshots they are."""
        batch = CoreMessages(
            sender_id=self._signer.sender,
            recipient_id=replica_id,
            sender_address=self.own_address,
        )
        size_bytes = 0
        snapshots = []
        while queue.messages and (not size_bytes or size_bytes < BATCH_LIMIT_BYTES):
            queued = queue.messages.popleft()
            size_bytes += len(queued.body)
            batch.bodies.append(queued.body)
            if queued.is_snapshot:
                snapshots.append(queued.recipient)
        return batch, snapshots

    async def _run(self, replica_id: str, queue: _PeerQueue) -> None:
        """Send one batch after another until closed; back off after a failure, with jitter."""
        backoff_s = INITIAL_BACKOFF_S
        while not self._is_closed:
            await queue.has_messages.wait()
            queue.has_messages.clear()
            while queue.messages and not self._is_closed:
                is_delivered = await self._send_measured(replica_id, queue)
                if is_delivered:
                    backoff_s = INITIAL_BACKOFF_S
                    continue
                queue.messages.clear()
                await asyncio.sleep(self._random.uniform(0, backoff_s))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _send_measured(self, replica_id: str, queue: _PeerQueue) -> bool:
        """Send one batch, record the duration, and return whether it was delivered."""
        task = asyncio.current_task()
        started_s = queue.calls_started_s[task] = read_clock()
        try:
            return await self._send_batch(replica_id, queue)
        finally:
            queue.last_call_duration_s = read_clock() - started_s
            del queue.calls_started_s[task]

    async def _send_batch(self, replica_id: str, queue: _PeerQueue) -> bool:
        """Send one batch and return whether it was delivered."""
        batch, snapshots = self._next_batch(replica_id, queue)
        address = self._address_of(replica_id)
        if address is None:
            return False
        size_bytes = batch.ByteSize()
        self.sent_bytes += size_bytes
        if self.on_sent is not None:
            self.on_sent(size_bytes)
        queue.bytes_in_flight += size_bytes
        queue.snapshots_in_flight += snapshots
        call = asyncio.ensure_future(self._deliver(batch, address, queue.bytes_in_flight))
        queue.calls[call] = address
        try:
            await asyncio.wait([call])
            is_delivered = not call.cancelled() and call.result()
            if is_delivered:
                queue.snapshot_delivered_s.update(dict.fromkeys(snapshots, read_clock()))
            return is_delivered
        finally:
            call.cancel()
            del queue.calls[call]
            queue.bytes_in_flight -= size_bytes
            for recipient in snapshots:
                queue.snapshots_in_flight.remove(recipient)

    async def _deliver(self, batch: CoreMessages, address: Address, bytes_in_flight: int) -> bool:
        """Call a replica with one batch and return whether it was delivered.

        The time that the call may take counts all bytes in flight, since a call waits for
        those before it: its end would end the connection, and them too.
        """
        timeout_s = CALL_TIMEOUT_S + bytes_in_flight / MIN_BYTES_PER_S
        channel = self.channels.get(address)
        stub = ReplicationStub(channel)
        try:
            call = call_unary(stub.Deliver, batch, self._signer, timeout_s)
            await asyncio.wait_for(call, timeout_s)
        except CALL_ERRORS as error:
            replica_id = batch.recipient_id
            logger.debug("replica not reached", replica=replica_id, error=repr(error))
            self.channels.drop(address, channel)
            return False
        return True
