"""Track whether the caller of a request is still connected."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

__all__ = ["Caller"]


class Caller:
    """The caller of a request; `gone` is set if its connection is lost before the answer ends."""

    def __init__(self, request: Any) -> None:
        self.gone = False
        self._watchers: list[Callable[[], None]] = []
        self._request = request
        request.notifyFinish().addErrback(self._connection_lost)

    def when_gone(self, watcher: Callable[[], None]) -> None:
        """Call `watcher` when the caller disconnects, or immediately if it already has."""
        if self.gone:
            watcher()
            return
        self._watchers.append(watcher)

    def wait_until_gone(self) -> Deferred:
        """Return a Deferred that fires when the connection is lost."""
        gone: Deferred = Deferred()
        self.when_gone(lambda: gone.callback(None))
        return gone

    def abort(self) -> None:
        """Abort the caller's connection."""
        transport = self._request.channel and self._request.channel.transport
        if transport:
            transport.abortConnection()

    def _connection_lost(self, failure: Any) -> None:
        """Notify the watchers once."""
        self.gone = True
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            watcher()
