"""A channel for calls to other processes that reads no message larger than any of them sends."""

from typing import Any

from grpclib.client import Channel
from grpclib.protocol import H2Protocol

from damaskwind.wire.bounded_streams import bound_streams

__all__ = ["BoundedChannel"]


class _BoundedProtocol(H2Protocol):
    """A connection whose streams are bounded."""

    def connection_made(self, transport: Any) -> None:
        """Bound the streams that are made on the connection."""
        super().connection_made(transport)
        bound_streams(self)


class BoundedChannel(Channel):
    """A channel whose calls fail when a message exceeds its bound."""

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        return _BoundedProtocol(protocol.handler, protocol.config, protocol.h2_config)
