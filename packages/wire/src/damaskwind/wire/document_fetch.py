"""Fetch configuration documents, on a separate connection to each replica.

A replica queues requests for documents; on the connection of the updates they would
delay the updates.
"""

import asyncio

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
from damaskwind.runtime.http1.messages import Request
from damaskwind.wire.news import (
    DOCUMENT_PATH,
    Document,
    DocumentRequest,
    decode_document,
    encode,
)

__all__ = ["FETCH_ERRORS", "DocumentFetcher"]

CONNECT_TIMEOUT_S = 0.5
# A replica takes about 2 s to send a document of 30 KB to fifteen routers.
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

    async def fetch(self, host: str, held_version: int) -> Document:
        """Fetch the newest document from a replica or from a router that it refers to.

        Raises one of `FETCH_ERRORS` if the document can't be fetched.
        """
        document = await self._ask(host, DocumentRequest(held_version, self._own_host))
        for holder in document.holders:
            try:
                request = DocumentRequest(held_version, version=document.version)
                return await self._ask(holder, request, RELAY_TIMEOUT_S)
            except FETCH_ERRORS as error:
                logger.warning("document not passed on", host=holder, why=repr(error))
            finally:
                self._drop(holder)
        if document.holders:
            return await self._ask(host, DocumentRequest(held_version))
        return document

    def _drop(self, host: str) -> None:
        """Close a connection that won't be reused soon."""
        connection = self._connections.pop(host, None)
        if connection is not None:
            connection.abort()

    async def _ask(
        self, host: str, message: DocumentRequest, limit_s: float = ANSWER_TIMEOUT_S
    ) -> Document:
        """Request a document from one host."""
        connection = self._connections.pop(host, None)
        if connection is None or not connection.is_open:
            connection = await connect(Address(host, self._port), CONNECT_TIMEOUT_S)
        request = Request(b"POST", DOCUMENT_PATH, [(b"host", b"control")], encode(message))
        try:
            async with asyncio.timeout(limit_s):
                answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
            if answer.status != 200:
                raise AnswerBrokenError(f"status {answer.status}")
            document = decode_document(answer.body)
        except BaseException:
            connection.abort()
            raise
        self._connections[host] = connection
        return document

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.abort()
        self._connections.clear()
