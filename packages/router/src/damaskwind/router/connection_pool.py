"""Pool connections to targets without reusing one that has unread data.

A pooled connection that is readable while idle either was closed by the target or
holds a late answer. Neither may carry the next request.
"""

import select
from collections.abc import Hashable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.client import HTTPConnectionPool

from damaskwind.router.target_protocol import TargetProtocolFactory

__all__ = ["CheckedConnectionPool"]

_MAX_PER_TARGET = 256
_CACHED_S = 30.0


def _is_readable(connection: Any) -> bool:
    """Return whether a connection's socket has unread bytes or an end of file."""
    handle = connection.transport.getHandle()
    if handle is None or handle.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(handle, select.POLLIN | select.POLLRDHUP)
    return bool(poller.poll(0))


class CheckedConnectionPool(HTTPConnectionPool):
    """A pool without automatic retries whose idle connections are checked before reuse."""

    _factory = TargetProtocolFactory

    def __init__(self, reactor: Any) -> None:
        super().__init__(reactor, persistent=True)
        self.retryAutomatically = False
        self.maxPersistentPerHost = _MAX_PER_TARGET
        self.cachedConnectionTimeout = _CACHED_S
        self._used: set[int] = set()

    def getConnection(self, key: Hashable, endpoint: Any) -> Deferred:  # noqa: N802
        """Return an idle connection without unread data, or a new one."""
        while True:
            waiting = super().getConnection(key, endpoint)
            connection = getattr(waiting, "result", None)
            if not waiting.called or not hasattr(connection, "transport"):
                return waiting
            if not _is_readable(connection):
                return succeed(connection)
            connection.transport.abortConnection()
