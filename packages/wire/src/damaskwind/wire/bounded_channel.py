"""A channel for calls to other processes that reads no message larger than any of them sends.

The library reads as much as the first bytes of a message announce, up to 4 GiB, and keeps it.
"""

from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol, Stream

from damaskwind.wire.authentication import MESSAGE_LIMIT_BYTES

__all__ = ["BoundedChannel"]


def _bound(stream: Stream) -> Stream:
    """Have a stream refuse to read more than `MESSAGE_LIMIT_BYTES` at once."""
    receive = stream.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > MESSAGE_LIMIT_BYTES:
            raise StreamTerminatedError(f"a message of over {MESSAGE_LIMIT_BYTES} bytes")
        return await receive(size)

    stream.recv_data = receive_bounded
    return stream


class _BoundedProtocol(H2Protocol):
    """A connection whose streams are bounded."""

    def connection_made(self, transport: Any) -> None:
        """Bound the streams that are made on the connection."""
        super().connection_made(transport)
        create = self.connection.create_stream
        self.connection.create_stream = lambda **options: _bound(create(**options))


class BoundedChannel(Channel):
    """A channel whose calls fail when a message exceeds its bound."""

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        return _BoundedProtocol(protocol.handler, protocol.config, protocol.h2_config)
