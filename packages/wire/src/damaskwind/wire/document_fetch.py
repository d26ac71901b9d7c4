"""Fetch configuration documents, on a connection of its own to each replica.

Documents wait for their turn at the replica; on the connection of the news they
would hold up the news.
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
# A replica sends a document of 30 KB to fifteen routers in some 2 s.
ANSWER_TIMEOUT_S = 4.0
# A router passes a document on within half a second, or has some before this one.
RELAY_TIMEOUT_S = 1.5
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
FETCH_ERRORS = (AnswerBrokenError, ConnectFailedError, MessageError, TimeoutError)


class DocumentFetcher:
    """Keep a connection to each replica that was asked.

    `own_host` is where this router passes documents on, if it does.
    """

    def __init__(self, port: int, own_host: str = "") -> None:
        self._port = port
        self._own_host = own_host
        self._connections: dict[str, ClientConnection] = {}

    async def fetch(self, host: str, held_version: int) -> Document:
        """Fetch the newest document from a replica or a router that it names.

        Raise one of `FETCH_ERRORS` when it doesn't come.
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
        """Close a connection that is not used again soon."""
        connection = self._connections.pop(host, None)
        if connection is not None:
            connection.abort()

    async def _ask(
        self, host: str, message: DocumentRequest, limit_s: float = ANSWER_TIMEOUT_S
    ) -> Document:
        """Make one call."""
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
