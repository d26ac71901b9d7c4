"""A TCP link of the faulty network: a proxy that impairs the streams."""

import random
from collections import deque
from math import inf
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from zope.interface import implementer

from damaskwind.model.targets import Address
from damaskwind.standins.impairment import Impairment, LinkImpairment, Shaper

__all__ = ["TcpLink"]

_QUEUE_LIMIT_BYTES = 262_144


@implementer(IPushProducer)
class _Pipe:
    """Forward one direction of one connection, in order.

    The end of the stream passes through the same queue, as `None`. The source is
    paused while more than `_QUEUE_LIMIT_BYTES` are queued.
    """

    def __init__(self, clock: Any, shaper: Shaper) -> None:
        self._clock = clock
        self._shaper = shaper
        self._queue: deque[tuple[float, bytes | None]] = deque()
        self._queued_bytes = 0
        # Until when a lost piece holds back what is behind it.
        self._held_until_s = 0.0
        self._timer: Any = None
        self._sink_full = False
        self._closed = False
        self.source: Any = None
        self.sink: Any = None

    def attach(self, source: Any, sink: Any) -> None:
        """Connect the two transports and send the data queued so far."""
        self.source = source
        self.sink = sink
        sink.registerProducer(self, True)
        self.flush()

    def enqueue(self, data: bytes | None) -> None:
        """Queue a piece of the stream, or its end, from the source."""
        if data is not None:
            data = self._shaper.corrupt(data)
            self._queued_bytes += len(data)
        due_s = self._shaper.due_s(self._clock.seconds(), len(data or b""), in_order=True)
        due_s = max(due_s + self._shaper.lost_for_s(), self._held_until_s)
        self._held_until_s = due_s
        self._queue.append((due_s, data))
        if self._queued_bytes > _QUEUE_LIMIT_BYTES and self.source is not None:
            self.source.pauseProducing()
        self.flush()

    def flush(self) -> None:
        """Send every piece that is due and schedule the next."""
        now_s = self._clock.seconds()
        while self._can_send() and self._queue[0][0] <= now_s:
            self._send(self._queue.popleft()[1])
        if self._can_send() and self._timer is None and self._queue[0][0] < inf:
            self._timer = self._clock.callLater(self._queue[0][0] - now_s, self._on_timer)

    @property
    def has_queued_data(self) -> bool:
        """Return whether any data is queued."""
        return bool(self._queue)

    def _can_send(self) -> bool:
        """Return whether data is queued and may be sent now."""
        blocked = self._sink_full or self._closed or self._shaper.impairment.blackhole
        return bool(self._queue) and self.sink is not None and not blocked

    def _send(self, data: bytes | None) -> None:
        """Write one piece, or close the sink at the end of the stream."""
        if data is None:
            self.sink.unregisterProducer()
            self.sink.loseConnection()
            self.close()
            return
        was_full = self._queued_bytes > _QUEUE_LIMIT_BYTES
        self._queued_bytes -= len(data)
        self.sink.write(data)
        if was_full and self._queued_bytes <= _QUEUE_LIMIT_BYTES and self.source.connected:
            self.source.resumeProducing()

    def _on_timer(self) -> None:
        """Send what has become due."""
        self._timer = None
        self.flush()

    def close(self) -> None:
        """Discard the queue and stop sending."""
        self._closed = True
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause sending: the sink's buffer is full."""
        self._sink_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume sending."""
        self._sink_full = False
        self.flush()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop: the sink is closed."""
        self.close()


class _Endpoint(Protocol):
    """The link's protocol towards the caller or the target."""

    def __init__(self, connection: "_Connection", outgoing: _Pipe) -> None:
        self._connection = connection
        self._outgoing = outgoing

    def connectionMade(self) -> None:  # noqa: N802
        """Report that this endpoint is connected."""
        self._connection.endpoint_connected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue received bytes for the other endpoint."""
        self._outgoing.enqueue(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Queue the end of the stream for the other endpoint."""
        self._outgoing.enqueue(None)
        self._connection.endpoint_lost()


class _Connection:
    """A caller's connection together with its connection to the target."""

    def __init__(self, link: "TcpLink") -> None:
        self._link = link
        self.to_target = _Pipe(link.clock, link.shapers[0])
        self.to_caller = _Pipe(link.clock, link.shapers[1])
        self.caller = _Endpoint(self, self.to_target)
        self.target = _Endpoint(self, self.to_caller)
        self._lost_endpoints = 0

    def endpoint_connected(self) -> None:
        """Connect to the target for a new caller; join the endpoints once both are connected."""
        if self.target.transport is None:
            self._link.connect_to_target(self)
            return
        if self.caller.transport is not None and self.caller.transport.connected:
            self.to_target.attach(self.caller.transport, self.target.transport)
            self.to_caller.attach(self.target.transport, self.caller.transport)

    def endpoint_lost(self) -> None:
        """Remove the connection from the link once both endpoints are lost."""
        self._lost_endpoints += 1
        if self._lost_endpoints == 2:
            self._link.discard(self)

    def open_transports(self) -> list[Any]:
        """Return the connected transports."""
        transports = [self.caller.transport, self.target.transport]
        return [each for each in transports if each is not None and each.connected]

    def abort(self) -> None:
        """Reset both endpoints."""
        self.to_target.close()
        self.to_caller.close()
        for transport in self.open_transports():
            transport.abortConnection()

    def reset_target_endpoint(self) -> None:
        """Reset the connection to the target; the caller's stays open and silent."""
        self.to_target.close()
        self.to_caller.close()
        if self.target.transport is not None and self.target.transport.connected:
            self.target.transport.abortConnection()


class _CallerFactory(ServerFactory):
    """Accept connections of callers."""

    noisy = False

    def __init__(self, link: "TcpLink") -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the caller's endpoint, or `None` to refuse the connection."""
        return self._link.accept()


class _TargetFactory(ClientFactory):
    """Connect to the target for one caller."""

    noisy = False

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the target's endpoint."""
        return self._connection.target

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reset the caller: the target does not accept connections."""
        self._connection.abort()
        self._connection.endpoint_lost()


class TcpLink:
    """Listen on a port of its own and forward connections to `target`.

    `target` may change at any time; existing connections are kept. While
    `accepting` is false new connections are reset.
    """

    def __init__(self, reactor: Any, target: Address | None, rng: random.Random) -> None:
        self.clock = reactor
        self.target = target
        self.accepting = True
        self.shapers = (Shaper(rng), Shaper(rng))
        self.connections: list[_Connection] = []
        self._port = reactor.listenTCP(0, _CallerFactory(self), interface="127.0.0.1", backlog=512)
        self.address = Address("127.0.0.1", self._port.getHost().port)

    def accept(self) -> Any:
        """Return the endpoint of a new caller, or `None` to refuse it."""
        if not self.accepting or self.target is None:
            return None
        connection = _Connection(self)
        self.connections.append(connection)
        return connection.caller

    def connect_to_target(self, connection: _Connection) -> None:
        """Connect to the target, or do nothing while that direction is a black hole."""
        if self.shapers[0].impairment.blackhole or self.target is None:
            return
        self.clock.connectTCP(self.target.host, self.target.port, _TargetFactory(connection))

    def impair(self, link_impairment: LinkImpairment) -> None:
        """Replace the impairments of both directions."""
        was_blackhole = self.shapers[0].impairment.blackhole
        self.shapers[0].impairment = link_impairment.to_target
        self.shapers[1].impairment = link_impairment.to_caller
        for connection in self.connections:
            if was_blackhole and connection.target.transport is None:
                self.connect_to_target(connection)
            connection.to_target.flush()
            connection.to_caller.flush()

    def impairments(self) -> tuple[Impairment, Impairment]:
        """Return the impairments towards the target and towards the caller."""
        return self.shapers[0].impairment, self.shapers[1].impairment

    def cut(self) -> None:
        """Reset every connection."""
        for connection in list(self.connections):
            connection.abort()

    def reset_connection(self, target_peer_port: int) -> None:
        """Reset the connection that the target sees coming from this port.

        The link forwards the end of a connection as an orderly one, however it ended.
        """
        for connection in list(self.connections):
            transport = connection.target.transport
            is_open = transport is not None and transport.connected
            if is_open and transport.getHost().port == target_peer_port:
                connection.abort()

    def half_open(self) -> None:
        """Reset every connection at the target's endpoint only."""
        for connection in list(self.connections):
            connection.reset_target_endpoint()

    def discard(self, connection: _Connection) -> None:
        """Remove a connection that has ended."""
        if connection in self.connections:
            self.connections.remove(connection)

    def close(self) -> Any:
        """Stop listening and reset every connection."""
        self.cut()
        return self._port.stopListening()
