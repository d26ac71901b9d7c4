"""Follow whether the caller of one request is still there."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

__all__ = ["Caller"]


class Caller:
    """One caller: `gone` is set once its connection is lost before the answer's end."""

    def __init__(self, request: Any) -> None:
        self.gone = False
        self._watchers: list[Callable[[], None]] = []
        self._request = request
        request.notifyFinish().addErrback(self._lost)

    def when_gone(self, watcher: Callable[[], None]) -> None:
        """Call `watcher` when the caller goes away, or now if it has gone."""
        if self.gone:
            watcher()
            return
        self._watchers.append(watcher)

    def lost(self) -> Deferred:
        """Return a Deferred that fires when the connection is lost."""
        gone: Deferred = Deferred()
        self.when_gone(lambda: gone.callback(None))
        return gone

    def abort(self) -> None:
        """Drop the caller's connection at once."""
        transport = self._request.channel and self._request.channel.transport
        if transport:
            transport.abortConnection()

    def _lost(self, failure: Any) -> None:
        """Tell the watchers, once."""
        self.gone = True
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            watcher()
