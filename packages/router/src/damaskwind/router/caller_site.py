"""The HTTP server factory for callers, which tracks its connections and can close them."""

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from damaskwind.router.caller_request import CallerLimits, CallerRequest
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.limited_site import LimitedChannel, LimitedSite

__all__ = ["CallerSite"]

_IDLE_TIMEOUT_S = 60.0
_DEAD_PEER_TIMEOUT_S = 30
_PROBE_INTERVAL_S = 10
_PROBE_COUNT = 3


class RequestLine(NamedTuple):
    """The first line of a request."""

    method: bytes = b""
    uri: bytes = b""
    version: bytes = b""


def _configure_socket(transport: Any) -> None:
    """Let the kernel close a connection whose peer neither reads nor answers keep-alives."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _DEAD_PEER_TIMEOUT_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _DEAD_PEER_TIMEOUT_S * 1000)


class CallerChannel(LimitedChannel):
    """One connection of a caller."""

    request_line = RequestLine()

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with the site."""
        super().connectionMade()
        _configure_socket(self.transport)
        self.site.channels.add(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Record the request line: an upload is passed to the handler before its body ends."""
        requests = len(self.requests)
        super().lineReceived(line)
        if len(self.requests) > requests:
            self.request_line = RequestLine(*line.split(maxsplit=2)[:3])

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Unregister the connection from the site."""
        super().connectionLost(reason)
        self.site.channel_lost(self)


class CallerSite(LimitedSite):
    """The server factory; if `closing` is set, connections end after the answer in progress."""

    protocol = CallerChannel

    def __init__(
        self, resource: Any, limits: CallerLimits, reactor: Any, limit: ConnectionLimit
    ) -> None:
        def make_request(*arguments: Any, **options: Any) -> CallerRequest:
            return CallerRequest(limits, *arguments, **options)

        super().__init__(
            resource,
            limit,
            requestFactory=make_request,
            parsePOSTFormSubmission=False,
            timeout=_IDLE_TIMEOUT_S,
            reactor=reactor,
        )
        self.closing = False
        self.channels: set[CallerChannel] = set()
        self._watchers: list[Callable[[], None]] = []

    def log(self, request: Any) -> None:
        """Write no access log: metrics and explain records contain more detail."""

    def channel_lost(self, channel: CallerChannel) -> None:
        """Remove a connection and check whether it was the last one."""
        self.channels.discard(channel)
        self._check_empty()

    def end_keep_alive(self) -> None:
        """End keep-alive on every connection, so that it closes after its next answer."""
        self.closing = True
        for channel in self.channels:
            for request in channel.requests:
                request.end_keep_alive()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def close_all(self) -> None:
        """Abort every connection."""
        for channel in list(self.channels):
            channel.transport.abortConnection()

    def when_empty(self, watcher: Callable[[], None]) -> None:
        """Call `watcher` when no connection is left."""
        self._watchers.append(watcher)
        self._check_empty()

    def _check_empty(self) -> None:
        """Notify the watchers if no connection is left."""
        if not self.channels:
            watchers, self._watchers = self._watchers, []
            for watcher in watchers:
                watcher()
