"""Serve the configuration in force to other routers, at a share of this VM's link."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.following.document_holders import MAX_RELAY_DELAY_S, RELAY_LINK_SHARE
from damaskwind.decisions.pacing.bulk_pacer import BulkPacer
from damaskwind.model.exception import MessageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.held_memory import HeldMemory
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.configuration_read import (
    READ_PATH,
    ConfigurationRead,
    log_read,
    read_version,
)
from damaskwind.wire.news import DOCUMENT_PATH, Document, decode_document_request, encode
from damaskwind.wire.peer_liveness import ALIVE_PATH, answer_alive
from damaskwind.wire.peers import FORWARD_PREFIX

__all__ = ["DocumentRelay", "WholeDocument"]

# A replica may refer to a router that is still fetching the document; it has it within this
# time at the latest.
WAIT_S = MAX_RELAY_DELAY_S
POLL_S = 0.02


async def _refuse_unknown(exchange: Exchange) -> None:
    """Answer a request for an unknown path."""
    exchange.respond(Answer(404, []))


class WholeDocument(NamedTuple):
    """A configuration as it was published; version 0 means none."""

    version: int
    content: bytes


class DocumentRelay:
    """The request handler of a router's internal address.

    `newest_for` returns the newest document for a reader that holds the given version; the
    document's version is 0 while there is none. `whole` returns the same configuration as it
    was published.
    """

    def __init__(
        self,
        newest_for: Callable[[int], Document],
        whole: Callable[[], WholeDocument],
        link_bytes_per_s: float = float("inf"),
    ) -> None:
        self._newest_for = newest_for
        self._whole = whole
        self._pacer = BulkPacer(link_bytes_per_s * RELAY_LINK_SHARE, read_clock())
        self._server = HttpServer(self._handle, ServerLimits())
        self.documents_served = 0
        # Handlers of other paths, and the fallback, which takes the platform's heartbeats.
        self.handlers: dict[bytes, Callable[[Exchange], Awaitable[None]]] = {
            ALIVE_PATH: answer_alive
        }
        self.fallback_handler: Callable[[Exchange], Awaitable[None]] = _refuse_unknown
        # The handler of requests that are sent on for another router.
        self.forward_handler: Callable[[Exchange], Awaitable[None]] = _refuse_unknown

    def bound(self, memory: HeldMemory, limit: ConnectionLimit) -> None:
        """Bound the bytes of requests and answers, and the connections; call it before `listen`."""
        self._server.memory = memory
        self._server.limit = limit

    def listen(self, host: str, port: int) -> None:
        """Open the socket; if that fails, other routers fetch from the replicas alone."""
        try:
            self._server.listen(host, port)
        except OSError as error:
            logger.warning("documents not served", host=host, port=port, why=str(error))

    def limit_requests(self, limits: ServerLimits) -> None:
        """Bound the requests on the internal address, which include those that are sent on."""
        self._server.limits = limits

    async def stop(self) -> None:
        """Close the socket and its connections."""
        await self._server.stop_listening()
        self._server.abort()

    async def _handle(self, exchange: Exchange) -> None:
        """Answer one request on the internal address."""
        if exchange.request.target.startswith(FORWARD_PREFIX):
            await self.forward_handler(exchange)
            return
        path, _, query = exchange.request.target.partition(b"?")
        if (exchange.request.method, path) == (b"GET", READ_PATH):
            await self._serve_read(exchange, query)
            return
        if path != DOCUMENT_PATH:
            await self.handlers.get(path, self.fallback_handler)(exchange)
            return
        try:
            request = decode_document_request(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        if not await self._wait_for_version(request.version):
            exchange.respond(Answer(404, []))
            return
        size_bytes = len(self._newest_for(request.held_version).packed)
        await asyncio.sleep(self._pacer.reserve(size_bytes, read_clock()))
        exchange.respond(Answer(200, [], encode(self._newest_for(request.held_version))))
        self.documents_served += 1

    async def _serve_read(self, exchange: Exchange, query: bytes) -> None:
        """Serve the configuration to an operator that a replica redirected to this router."""
        asked_s = read_clock()
        version = read_version(query)
        if version is None:
            exchange.respond(Answer(400, [], b"expected version=N"))
            return
        if not await self._wait_for_version(version):
            logger.info("read refused", caller=exchange.caller, version=version, why="not here yet")
            exchange.respond(Answer(503, []))
            return
        whole = self._whole()
        read = ConfigurationRead(
            exchange.caller, whole.version, whole.content, asked_s, read_clock() - asked_s
        )
        answer = Answer(200, [(b"content-type", b"application/json")], whole.content)
        await exchange.deliver(answer, partial(log_read, read))

    async def _wait_for_version(self, version: int) -> bool:
        """Wait up to `WAIT_S` for a version to be in force here; tell whether it is."""
        limit_s = read_clock() + WAIT_S
        while self._newest_for(0).version < max(version, 1):
            if read_clock() > limit_s:
                return False
            await asyncio.sleep(POLL_S)
        return True
