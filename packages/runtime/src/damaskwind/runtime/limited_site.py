"""An HTTP site of Twisted that holds little for clients which don't behave.

A channel reads far ahead of its answers by default, in large reads, and a site takes any number of
connections. Here both are bounded; a connection without a whole request yields to a new one.
"""

from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.listeners import keep_buffers_small

__all__ = ["LimitedChannel", "LimitedSite", "listen_with_small_buffers"]

# Requests in one read are all answered before the next one, however little the caller takes.
HEAD_READ_BYTES = 4096
BODY_READ_BYTES = 65_536


class LimitedChannel(HTTPChannel):
    """One connection of a client."""

    stalled_since_s: float | None = None
    # Of the requests behind the present one, this much is read before its answer has ended.
    _optimisticEagerReadSize = HEAD_READ_BYTES  # noqa: N815

    def connectionMade(self) -> None:  # noqa: N802
        """Start to wait for the first request."""
        super().connectionMade()
        self.transport.bufferSize = HEAD_READ_BYTES
        self.site.limit.record_opened(self)
        self.site.limit.begin_wait(self)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Read the body in larger pieces."""
        if self.length is None or self.length > HEAD_READ_BYTES:
            self.transport.bufferSize = BODY_READ_BYTES
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Record that a request is in hand."""
        self.transport.bufferSize = HEAD_READ_BYTES
        self.site.limit.end_wait(self)
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Record that the connection waits for a request again."""
        self.site.limit.begin_wait(self)
        super().requestDone(request)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Count the connection no more."""
        self.site.limit.record_closed(self)
        super().connectionLost(reason)

    def displace(self) -> None:
        """Close the connection at once, for another one."""
        self.transport.abortConnection()


class LimitedSite(Site):
    """A site with a bound on its connections."""

    protocol = LimitedChannel
    noisy = False

    def __init__(self, resource: Any, limit: ConnectionLimit, **options: Any) -> None:
        super().__init__(resource, **options)
        self.limit = limit
        self.displayTracebacks = False

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the channel of a connection, `None` to close it where there is no room."""
        return super().buildProtocol(addr) if self.limit.make_room() else None


def listen_with_small_buffers(reactor: Any, port: int, site: Site, **options: Any) -> Any:
    """Listen with small buffers in the kernel; return the listening port."""
    listening = reactor.listenTCP(port, site, **options)
    keep_buffers_small(listening.socket)
    return listening
