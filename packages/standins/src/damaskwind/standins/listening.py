"""HTTP listeners that keep their port across restarts and can reset connections."""

import socket
import struct
from typing import Any

from klein import Klein
from twisted.internet.defer import maybeDeferred
from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import to_future

__all__ = ["Listener", "abort_connection", "raw_transport"]

_RESET_LINGER = struct.pack("ii", 1, 0)


class _TrackingSite(Site):
    """A site that tracks its connections, so that they can be dropped."""

    protocol = HTTPChannel
    noisy = False

    def __init__(self, resource: Any) -> None:
        super().__init__(resource)
        self.connections: list[Any] = []

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build and track the protocol of a connection."""
        self.connections = [connection for connection in self.connections if _is_open(connection)]
        protocol = super().buildProtocol(addr)
        self.connections.append(protocol)
        return protocol

    def log(self, request: Any) -> None:
        """Write no access log."""


def _is_open(protocol: Any) -> bool:
    """Return whether a connection is open or not yet connected."""
    transport = protocol.transport
    return transport is None or transport.connected


class Listener:
    """Serve a klein application on a port of its own."""

    def __init__(self, reactor: Any, app: Klein, host: str, port: int) -> None:
        self._reactor = reactor
        self._site = _TrackingSite(app.resource())
        self._port: Any = None
        self.address = Address(host, port)

    @property
    def is_open(self) -> bool:
        """Return whether the port is open."""
        return self._port is not None

    def start(self) -> None:
        """Start to listen; port 0 is replaced by a free port, which later starts reuse."""
        if self._port is not None:
            return
        host, port = self.address
        self._port = self._reactor.listenTCP(port, self._site, interface=host, backlog=1024)
        self.address = Address(host, self._port.getHost().port)

    async def stop(self) -> None:
        """Stop listening and drop every connection, as a crash does."""
        if self._port is None:
            return
        port, self._port = self._port, None
        for protocol in self._site.connections:
            if protocol.transport is not None and protocol.transport.connected:
                protocol.transport.abortConnection()
        self._site.connections = []
        await to_future(maybeDeferred(port.stopListening))


def raw_transport(request: Any) -> Any:
    """Return the TCP transport under a request."""
    return request.channel.transport


def abort_connection(request: Any) -> None:
    """Reset the connection of a request."""
    transport = raw_transport(request)
    if transport is None:
        return
    transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
    transport.abortConnection()
