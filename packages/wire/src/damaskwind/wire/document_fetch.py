"""Fetch configuration documents, on a connection of its own to each replica.

Documents wait for their turn at the replica; on the connection of the news they
would hold up the news.
"""

import asyncio

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

CONNECT_S = 0.5
# A replica sends a document of 30 KB to fifteen routers in some 2 s.
ANSWER_S = 4.0
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
FETCH_ERRORS = (AnswerBrokenError, ConnectFailedError, MessageError, TimeoutError)


class DocumentFetcher:
    """Keep a connection to each replica that was asked."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._connections: dict[str, ClientConnection] = {}

    async def fetch(self, host: str, held_version: int) -> Document:
        """Fetch the newest document; raise one of `FETCH_ERRORS` when it doesn't come."""
        connection = self._connections.pop(host, None)
        if connection is None or not connection.is_open:
            connection = await connect(Address(host, self._port), CONNECT_S)
        body = encode(DocumentRequest(held_version))
        request = Request(b"POST", DOCUMENT_PATH, [(b"host", b"control")], body)
        try:
            async with asyncio.timeout(ANSWER_S):
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
