"""An HTTP/1.1 server with one request at a time on each connection.

The handler gets a request whole, with its body, and answers through its `Exchange`.
When the caller closes the connection, the handler's task is cancelled, so that it
stops waiting for a target's answer at once.
"""

import asyncio
from collections.abc import Callable

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.acceptor import Acceptor
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.held_memory import HeldMemory
from damaskwind.runtime.http1.limits import LimitHistory, ServerLimits
from damaskwind.runtime.http1.listeners import open_listener
from damaskwind.runtime.http1.messages import Request
from damaskwind.runtime.http1.server_connection import Handler, ServerConnection
from damaskwind.runtime.http1.unanswered import (
    CALLER_LEFT,
    OnUnanswered,
    UnansweredReason,
    UnansweredRequest,
    log_unanswered,
)

__all__ = ["HttpServer", "ServerLimits"]


def _log_unless_caller_left(request: UnansweredRequest) -> None:
    """Log a request that ended without an answer, unless an end of either side closed it."""
    if request.reason not in (*CALLER_LEFT, UnansweredReason.SERVER_STOPPED):
        log_unanswered(request)


class HttpServer:
    """All connections of one listening address.

    With `memory` the bytes of requests and answers are accounted for and may be given up.
    `on_unanswered` is called with each request that ends without a complete answer, and
    `on_refused` with the status of each that is refused before its handler has it.
    `limit` bounds the open connections. A request with a large body that `is_refused_by_head` is
    handed over without that body.
    `reading` is the number of requests whose bodies are then being read. While the limits are not
    known, what is too large for those given gets 503, since it may be allowed.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        memory: HeldMemory | None = None,
        on_unanswered: OnUnanswered = _log_unless_caller_left,
        on_refused: Callable[[int], None] = lambda status: None,
        are_limits_known: bool = True,
        is_refused_by_head: Callable[[Request], bool] = lambda request: False,
        limit: ConnectionLimit | None = None,
    ) -> None:
        self.handler = handler
        self.limit_history = LimitHistory(limits)
        self.memory = memory
        self.on_unanswered = on_unanswered
        self.on_refused = on_refused
        self.are_limits_known = are_limits_known
        self.is_refused_by_head = is_refused_by_head
        self.limit = ConnectionLimit() if limit is None else limit
        self.reading = 0
        self.connections: set[ServerConnection] = set()
        self.active = 0
        self.is_closing = False
        self._acceptor: Acceptor | None = None
        self._ended = asyncio.Event()

    @property
    def limits(self) -> ServerLimits:
        """Return the limits in force; requests that were sent before keep to earlier ones."""
        return self.limit_history.present

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        self.limit_history.replace(limits, read_clock())

    def listen(self, host: str, port: int, backlog: int = 512) -> int:
        """Open the socket and return its port."""
        listener = open_listener(host, port, backlog)
        self._acceptor = Acceptor(listener, self.limit, lambda: ServerConnection(self))
        return listener.getsockname()[1]

    def notify_request_end(self) -> None:
        """Wake the tasks that wait for the last request to end."""
        self._ended.set()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or answered, or an answer is not taken yet."""
        return bool(self.active) or any(item.is_busy for item in self.connections)

    def close_after_answers(self) -> None:
        """Make every answer from now on close its connection."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def stop_listening(self) -> None:
        """Stop accepting connections, and close the socket."""
        acceptor, self._acceptor = self._acceptor, None
        if acceptor is not None:
            await acceptor.close()

    async def wait_until_idle(self, limit_s: float) -> bool:
        """Wait until no request is in progress; return `False` if the limit expires first."""
        deadline_s = read_clock() + limit_s
        while self.is_busy:
            self._ended.clear()
            try:
                async with asyncio.timeout(max(0.0, deadline_s - read_clock())):
                    await self._ended.wait()
            except TimeoutError:
                return False
        return True

    async def end_requests(self, limit_s: float) -> None:
        """End what is in hand at the end of a drain, and reset what is left after a limit.

        A request whose answer has not begun is answered as its handler does when it is canceled.
        """
        for connection in list(self.connections):
            connection.end_request()
        await self.wait_until_idle(limit_s)
        self.abort()

    def abort(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort(UnansweredReason.SERVER_STOPPED)
