"""An HTTP site that limits the size of request bodies.

The rest of an oversized body is read and discarded, so that a caller that sends
all of it receives the refusal; beyond a multiple of the limit the connection is
closed.
"""

from typing import Any

from twisted.web.resource import IResource
from twisted.web.server import Request, Site

from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.limited_site import LimitedSite

__all__ = ["bounded_site"]

_PAYLOAD_TOO_LARGE = 413
_DISCARD_MULTIPLE = 16
_TOO_LARGE = (
    b'{"error":{"code":"request_too_large","message":"the body is over the limit",'
    b'"nothing_changed":true}}'
)


def _request_class(limit_bytes: int) -> type[Request]:
    """Return a request class that stores at most the limit of a body."""

    class BoundedRequest(Request):
        """A request that stores at most the limit of its body, and refuses a larger one."""

        _received_bytes = 0

        def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
            self._received_bytes += len(data)
            if self._received_bytes <= limit_bytes:
                super().handleContentChunk(data)
            elif self._received_bytes > limit_bytes * _DISCARD_MULTIPLE:
                self.channel.loseConnection()

        def process(self) -> None:
            if self._received_bytes <= limit_bytes:
                super().process()
                return
            self.setResponseCode(_PAYLOAD_TOO_LARGE)
            self.setHeader("content-type", "application/json")
            self.setHeader("connection", "close")
            self.write(_TOO_LARGE)
            self.finish()

    return BoundedRequest


def bounded_site(
    resource: IResource,
    limit_bytes: int,
    idle_timeout_s: float,
    max_connections: int,
) -> Site:
    """Return a site for a resource; idle connections are closed after a timeout."""
    options: dict[str, Any] = {"requestFactory": _request_class(limit_bytes)}
    limit = ConnectionLimit("operators", max_connections)
    return LimitedSite(resource, limit, timeout=idle_timeout_s, **options)
