"""Bound the messages that are read on a connection of calls between processes.

The library reads as much as the first bytes of a message announce, up to 4 GiB, and keeps it.
"""

from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol, Stream

from damaskwind.wire.authentication import MESSAGE_LIMIT_BYTES

__all__ = ["bound_streams"]


def bound_streams(protocol: H2Protocol) -> None:
    """Bound the streams that are made from now on, on a connection that was made."""
    create = protocol.connection.create_stream
    protocol.connection.create_stream = lambda **options: _bound(create(**options))


def _bound(stream: Stream) -> Stream:
    """Have a stream refuse to read more than `MESSAGE_LIMIT_BYTES` at once."""
    receive = stream.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > MESSAGE_LIMIT_BYTES:
            raise StreamTerminatedError(f"a message of over {MESSAGE_LIMIT_BYTES} bytes")
        return await receive(size)

    stream.recv_data = receive_bounded
    return stream
