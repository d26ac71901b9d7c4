"""An HTTP site that refuses a body over its limit before the body is read."""

from typing import Any

from twisted.web.resource import IResource
from twisted.web.server import Request, Site

__all__ = ["bounded_site"]

_TOO_LARGE = (
    b'{"error":{"code":"request_too_large","message":"the body is over the limit",'
    b'"nothing_changed":true}}'
)


def _request_class(limit_bytes: int) -> type[Request]:
    """Return a class of requests that hold no more than the limit."""

    class BoundedRequest(Request):
        """A request that is cut off when its body is announced or grows too large."""

        _received_bytes = 0
        _is_refused = False

        def gotLength(self, length: int | None) -> None:  # noqa: N802 - Twisted's name
            super().gotLength(length)
            if length is not None and length > limit_bytes:
                self._refuse()

        def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
            self._received_bytes += len(data)
            if self._received_bytes <= limit_bytes:
                super().handleContentChunk(data)
            elif self._received_bytes - len(data) <= limit_bytes:
                self._refuse()

        def process(self) -> None:
            # The whole body may already have arrived when it was refused.
            if not self._is_refused:
                super().process()

        def _refuse(self) -> None:
            self._is_refused = True
            head = (
                b"HTTP/1.1 413 Request Entity Too Large\r\nconnection: close\r\n"
                b"content-type: application/json\r\ncontent-length: %d\r\n\r\n"
            )
            self.channel.transport.write(head % len(_TOO_LARGE) + _TOO_LARGE)
            self.channel.loseConnection()

    return BoundedRequest


def bounded_site(resource: IResource, limit_bytes: int, idle_timeout_s: float) -> Site:
    """Return a site for a resource; idle connections are closed after a timeout."""
    options: dict[str, Any] = {"requestFactory": _request_class(limit_bytes)}
    site = Site(resource, timeout=idle_timeout_s, **options)
    site.displayTracebacks = False
    return site
