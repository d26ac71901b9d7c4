"""Serve a process's metrics in the Prometheus text format."""

import asyncio
from collections.abc import Awaitable, Callable

from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.held_memory import HeldMemory
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.tallies import Tallies

__all__ = ["MetricsSite"]

METRICS_PATH = b"/metrics"
# A request for metrics has no body; a small one is ignored.
METRICS_LIMITS = ServerLimits(body_bytes=65_536, idle_timeout_s=30.0)
_TEXT = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]


class MetricsSite:
    """The server at the metrics address.

    With `memory` its requests and answers are accounted for there, and `limit` bounds its
    connections. `handlers` maps other path
    prefixes to their handlers.
    """

    def __init__(
        self,
        tallies: Tallies,
        memory: HeldMemory | None = None,
        limit: ConnectionLimit | None = None,
    ) -> None:
        self._tallies = tallies
        self.handlers: dict[bytes, Callable[[Exchange], Awaitable[None]]] = {}
        self._server = HttpServer(self._answer, METRICS_LIMITS, memory, limit=limit)

    def listen(self, host: str, port: int) -> int:
        """Open the socket and return its port."""
        return self._server.listen(host, port)

    async def stop(self) -> None:
        """Close the socket and all connections."""
        await self._server.stop_listening()
        self._server.abort()

    async def _answer(self, exchange: Exchange) -> None:
        target = exchange.request.target
        for path, handler in self.handlers.items():
            if target.startswith(path):
                await handler(exchange)
                return
        if target != METRICS_PATH:
            exchange.respond(Answer(404, []))
            return
        # The first call loads the library that renders the text.
        loop = asyncio.get_running_loop()
        text = await loop.run_in_executor(None, self._tallies.render)
        exchange.respond(Answer(200, _TEXT, text))
