"""A server of calls between processes that holds little for peers which don't behave.

The library answers some frames by itself, whether its peer reads or not, and takes any number of
connections. Here a peer that doesn't read is not read either, and each connection that makes no
call yields to a new one.
"""

import asyncio
from typing import Any

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.listeners import keep_buffers_small
from damaskwind.runtime.http1.transports import reset
from damaskwind.wire.bounded_streams import bound_streams

__all__ = ["MAX_PEER_CONNECTIONS", "BoundedServer"]

# Processes of a fleet that call one another, each on a connection or two.
MAX_PEER_CONNECTIONS = 256


class _RefusedConnection(asyncio.Protocol):
    """A connection for which there is no room."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection."""
        reset(transport)


class _BoundedConnection(H2Protocol):
    """A connection that reads nothing while its peer doesn't take what is written."""

    stalled_since_s: float | None = None

    def __init__(self, protocol: H2Protocol, limit: ConnectionLimit) -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self._limit = limit
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first call."""
        self._transport = transport
        self._limit.record_opened(self)
        self._limit.begin_wait(self)
        super().connection_made(transport)
        bound_streams(self)

    def data_received(self, data: bytes) -> None:
        """Handle frames; the first call makes the connection one that is kept."""
        super().data_received(data)
        if self.processor.streams:
            self._limit.end_wait(self)

    def pause_writing(self) -> None:
        """Stop to read, since the peer takes nothing."""
        super().pause_writing()
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on, since the peer has taken what was written."""
        super().resume_writing()
        self._transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Count the connection no more."""
        self._limit.record_closed(self)
        super().connection_lost(error)

    def displace(self) -> None:
        """Close the connection at once, for another one."""
        reset(self._transport)


class BoundedServer(Server):
    """A server of calls with a bound on its connections."""

    def __init__(self, services: list[Any], limit: ConnectionLimit | None = None) -> None:
        super().__init__(services)
        self.limit = ConnectionLimit("calls", MAX_PEER_CONNECTIONS) if limit is None else limit

    async def start(self, *arguments: Any, **options: Any) -> None:
        """Listen, as the library's server does; its `sock` gets small buffers in the kernel."""
        if options.get("sock") is not None:
            keep_buffers_small(options["sock"])
        await super().start(*arguments, **options)

    def _protocol_factory(self) -> asyncio.Protocol:
        if not self.limit.make_room():
            return _RefusedConnection()
        return _BoundedConnection(super()._protocol_factory(), self.limit)
