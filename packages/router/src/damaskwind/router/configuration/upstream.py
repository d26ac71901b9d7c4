"""Call replicas and other routers for configurations, and count the bytes.

The byte counts include an estimate of the framing of each message (HTTP/2 and gRPC
headers, one TCP segment with its acknowledgement) and of the set-up of each connection.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.wire.authentication import CallSigner
from damaskwind.wire.bounded_channel import BoundedChannel
from damaskwind.wire.configuration_history import EncodedRevision
from damaskwind.wire.follow_codec import (
    CALL_BYTES,
    CONNECTION_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    StreamSeal,
    make_progress,
    read_update,
)
from damaskwind.wire.follow_grpc import FollowStub
from damaskwind.wire.follow_pb2 import FetchRequest
from damaskwind.wire.lost_connection import translate_lost_connections

__all__ = ["ATTEMPT_BYTES", "Upstream", "UpstreamStream", "UpstreamUpdate"]

CALL_ERRORS = (OSError, asyncio.TimeoutError, GRPCError, ProtocolError, StreamTerminatedError)
FETCH_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 3.0
ATTEMPT_BYTES = 2 * CONNECTION_BYTES + CALL_BYTES + 2 * MESSAGE_OVERHEAD_BYTES


class UpstreamUpdate(NamedTuple):
    """A verified update; `is_current` is set if the sender reports having the latest."""

    encoded: EncodedRevision
    is_current: bool


class UpstreamStream:
    """An open stream of updates."""

    def __init__(self, owner: "Upstream", stream: Any, metadata: dict[str, str]) -> None:
        self._owner = owner
        self._stream = stream
        key = owner.signer.cluster_key
        self._updates = StreamSeal(key, "update", metadata)
        self._progress = StreamSeal(key, "progress", metadata)

    async def next(self, timeout_s: float) -> UpstreamUpdate:
        """Return the next update; raise `MessageError` when none comes in time."""
        update = await asyncio.wait_for(self._stream.recv_message(), timeout_s)
        if update is None:
            raise MessageError("the stream was closed")
        self._owner.count_received(update.ByteSize())
        self._updates.check(update)
        return UpstreamUpdate(read_update(update), update.is_current)

    async def report(self, applied_revision: int) -> None:
        """Report which revision is in force here."""
        progress = self._progress.seal(self._owner.progress(applied_revision))
        self._owner.count_sent(progress.ByteSize())
        await self._stream.send_message(progress)


class Upstream:
    """The client of one router for replicas and other routers."""

    def __init__(self, router_id: str, failure_domain: str, signer: CallSigner) -> None:
        self.signer = signer
        self.received_bytes = 0
        self.sent_bytes = 0
        self.is_closed = False
        self.on_bytes: Callable[[int, int], None] = _ignore_bytes
        self._router_id = router_id
        self._failure_domain = failure_domain
        self._channels: set[Channel] = set()

    def progress(self, applied_revision: int) -> Any:
        """Return this router's progress report."""
        return make_progress(self._router_id, self._failure_domain, applied_revision)

    def count_received(self, size_bytes: int) -> None:
        """Count a message received."""
        self._count(0, size_bytes + MESSAGE_OVERHEAD_BYTES)

    def count_sent(self, size_bytes: int) -> None:
        """Count a message sent."""
        self._count(size_bytes + MESSAGE_OVERHEAD_BYTES, 0)

    def _count(self, sent_bytes: int, received_bytes: int) -> None:
        """Count bytes and pass them to `on_bytes`."""
        self.sent_bytes += sent_bytes
        self.received_bytes += received_bytes
        self.on_bytes(sent_bytes, received_bytes)

    def close(self) -> None:
        """Close all connections."""
        self.is_closed = True
        for channel in list(self._channels):
            channel.close()

    @asynccontextmanager
    async def watch(self, address: Address, applied_revision: int) -> AsyncIterator[UpstreamStream]:
        """Open a stream of updates; failures of any kind become `MessageError`."""
        first = self.progress(applied_revision)
        metadata = self._sign("Watch", first)
        with self._channel(address) as channel:
            try:
                watch = FollowStub(channel).Watch
                with translate_lost_connections():
                    async with watch.open(metadata=metadata) as stream:
                        send = stream.send_message(first)
                        await asyncio.wait_for(send, CONNECT_TIMEOUT_S)
                        yield UpstreamStream(self, stream, metadata)
                        await stream.cancel()
            except CALL_ERRORS as error:
                raise MessageError(f"{address}: {error!r}") from error

    async def fetch(
        self, address: Address, applied_revision: int, timeout_s: float = FETCH_TIMEOUT_S
    ) -> UpstreamUpdate:
        """Return the latest revision of a replica or router, as a delta if possible."""
        request = FetchRequest(applied_revision=applied_revision)
        metadata = self._sign("Fetch", request)
        with self._channel(address) as channel:
            try:
                call = FollowStub(channel).Fetch(request, metadata=metadata)
                with translate_lost_connections():
                    update = await asyncio.wait_for(call, timeout_s)
            except CALL_ERRORS as error:
                raise MessageError(f"{address}: {error!r}") from error
        self.count_received(update.ByteSize())
        StreamSeal(self.signer.cluster_key, "update", metadata).check(update)
        return UpstreamUpdate(read_update(update), update.is_current)

    def _sign(self, method: str, message: Any) -> dict[str, str]:
        """Sign the first message of a call and count its bytes."""
        body = message.SerializeToString(deterministic=True)
        self.count_sent(len(body) + CALL_BYTES)
        return self.signer.sign(f"/damaskwind.follow.Follow/{method}", body)

    def _channel(self, address: Address) -> "_ChannelContext":
        """Return a context manager for a connection."""
        return _ChannelContext(self, address)

    def add_channel(self, channel: Channel) -> None:
        """Register an open connection and count its set-up."""
        self._channels.add(channel)
        self._count(CONNECTION_BYTES, CONNECTION_BYTES)

    def close_channel(self, channel: Channel) -> None:
        """Close and unregister a connection."""
        self._channels.discard(channel)
        channel.close()


class _ChannelContext:
    """Open a connection at the start of a `with` block and close it at its end."""

    def __init__(self, owner: Upstream, address: Address) -> None:
        self._owner = owner
        self._channel = BoundedChannel(address.host, address.port)

    def __enter__(self) -> Channel:
        self._owner.add_channel(self._channel)
        return self._channel

    def __exit__(self, *error: object) -> None:
        self._owner.close_channel(self._channel)


def _ignore_bytes(sent_bytes: int, received_bytes: int) -> None:
    """Ignore the byte counts."""
