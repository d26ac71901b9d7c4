"""Fetch configuration documents, on a separate connection to each replica.

A replica queues requests for documents; on the connection of the updates they would
delay the updates.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from loguru import logger

from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ClientConnection,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.messages import Headers, Request
from damaskwind.wire.news import (
    DOCUMENT_PATH,
    EXTRA_COPY,
    Document,
    DocumentRequest,
    decode_document,
    encode,
)
from damaskwind.wire.peer_liveness import is_answering
from damaskwind.wire.watched_calls import PROBE_LIMIT_S, WatchedCall, first_result

__all__ = ["FETCH_ERRORS", "DocumentFetcher"]

CONNECT_TIMEOUT_S = 0.5
# A replica takes about 2 s to send a document of 30 KB to fifteen routers. A source that stands
# still is noticed much sooner, by questions beside the call.
ANSWER_TIMEOUT_S = 4.0
# A router relays a document within half a second, unless others are queued before it.
RELAY_TIMEOUT_S = 1.5
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
FETCH_ERRORS = (AnswerBrokenError, ConnectFailedError, MessageError, TimeoutError)


class DocumentFetcher:
    """Fetches documents and keeps a connection to each replica that was asked.

    `own_host` is the host at which this router relays documents, if it does.
    """

    def __init__(self, port: int, own_host: str = "") -> None:
        self._port = port
        self._own_host = own_host
        self._connections: dict[str, ClientConnection] = {}
        self._in_use: dict[str, ClientConnection] = {}
        # The replicas that referred this router to others, whose answers it waits for.
        self._referred_by: set[str] = set()

    async def fetch(self, host: str, held_version: int) -> Document:
        """Fetch the newest document from a replica or from a router that it refers to.

        Raises one of `FETCH_ERRORS` if the document can't be fetched.
        """
        document = await self._ask(host, DocumentRequest(held_version, self._own_host))
        if not document.holders:
            return document
        request = DocumentRequest(held_version, version=document.version)
        self._referred_by.add(host)
        calls = [
            self.watch(holder, partial(self._ask_holder, holder, request))
            for holder in document.holders
        ]
        calls.append(self.watch(host, partial(self._ask_after_all, host, held_version)))
        try:
            return await first_result(calls, FETCH_ERRORS, _log_setback)
        finally:
            self._referred_by.discard(host)

    async def fetch_extra(self, host: str, held_version: int) -> Document:
        """Fetch the newest document from a replica although another source was asked for it.

        A replica at which others wait refuses this, so that a queue doesn't cause further requests.
        """
        return await self._ask(host, DocumentRequest(held_version), headers=[EXTRA_COPY])

    def watch(self, host: str, start: Callable[[], Awaitable[Document]]) -> WatchedCall:
        """Return a fetch from a host together with what tells whether that host runs."""
        probe, heard_s = partial(self._is_answering, host), partial(self._heard_s, host)
        return WatchedCall(host, start, probe, heard_s)

    async def _is_answering(self, host: str) -> bool:
        """Return whether a host runs; a replica that referred to others isn't asked that."""
        if host in self._referred_by:
            return True
        return await is_answering(Address(host, self._port), PROBE_LIMIT_S)

    def _heard_s(self, host: str) -> float | None:
        """Return when the call to a host last received something, `None` for not yet."""
        connection = self._in_use.get(host)
        return connection.last_received_s if connection is not None else None

    async def _ask_after_all(self, host: str, held_version: int) -> Document:
        """Request a document from the replica that referred to others, without a referral."""
        self._referred_by.discard(host)
        return await self._ask(host, DocumentRequest(held_version))

    async def _ask_holder(self, holder: str, request: DocumentRequest) -> Document:
        """Request a document from another router, to which no connection is kept."""
        try:
            return await self._ask(holder, request, RELAY_TIMEOUT_S)
        finally:
            connection = self._connections.pop(holder, None)
            if connection is not None:
                connection.abort()

    async def _ask(
        self,
        host: str,
        message: DocumentRequest,
        limit_s: float = ANSWER_TIMEOUT_S,
        headers: Headers = (),
    ) -> Document:
        """Request a document from one host."""
        connection = self._connections.pop(host, None)
        if connection is None or not connection.is_open:
            connection = await connect(Address(host, self._port), CONNECT_TIMEOUT_S)
        headers = [(b"host", b"control"), *headers]
        request = Request(b"POST", DOCUMENT_PATH, headers, encode(message))
        self._in_use[host] = connection
        try:
            async with asyncio.timeout(limit_s):
                answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
            if answer.status != 200:
                raise AnswerBrokenError(f"status {answer.status}")
            document = decode_document(answer.body)
        except BaseException:
            connection.abort()
            raise
        finally:
            del self._in_use[host]
        self._connections[host] = connection
        return document

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.abort()
        self._connections.clear()


def _log_setback(host: str, why: str) -> None:
    """Log that a router or replica didn't pass on a document, or not yet."""
    logger.warning("document not passed on", host=host, why=why)
