"""Serve news and documents to routers and other replicas."""

import asyncio
import time

from damaskwind.control.fleet.document_shelf import DocumentShelf
from damaskwind.control.fleet.news_board import NewsBoard
from damaskwind.decisions.pacing.bulk_pace import BulkPace
from damaskwind.model.exception import MessageError
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import Exchange
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import (
    DOCUMENT_PATH,
    NEWS_PATH,
    decode_document_request,
    decode_request,
    encode,
)

__all__ = ["NewsSite"]

# The part of the link that documents may take; the rest is for the log and the news,
# which take up to a third of it while targets come and go.
DOCUMENT_PART = 0.5


class NewsSite:
    """The handler behind a replica's internal address."""

    def __init__(
        self,
        board: NewsBoard,
        shelf: DocumentShelf,
        tallies: Tallies,
        link_bytes_per_s: float,
    ) -> None:
        self._board = board
        self._pace = BulkPace(link_bytes_per_s * DOCUMENT_PART, time.monotonic())
        self._tallies = tallies
        self._shelf = shelf
        self._calls = {NEWS_PATH: self._news, DOCUMENT_PATH: self._document}

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        call = self._calls.get(exchange.request.target)
        if call is None:
            exchange.respond(Answer(404, []))
            return
        await call(exchange)

    async def _news(self, exchange: Exchange) -> None:
        try:
            request = decode_request(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        body = encode(await self._board.answer(request))
        self._tallies.count("sent_bytes", len(body), kind=f"news-{request.kind}")
        exchange.respond(Answer(200, [], body))

    async def _document(self, exchange: Exchange) -> None:
        """Send the newest document, in its turn."""
        try:
            held_version = decode_document_request(exchange.request.body).held_version
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        if not self._shelf.version:
            exchange.respond(Answer(404, []))
            return
        # All routers ask within some ms of a version, and the heartbeats that keep the
        # leader's lease have to find room between the documents.
        size_bytes = len(self._shelf.newest_for(held_version).packed)
        wait_s = self._pace.wait_s(size_bytes, time.monotonic())
        if wait_s:
            await asyncio.sleep(wait_s)
        body = encode(self._shelf.newest_for(held_version))
        self._tallies.count("sent_bytes", len(body), kind="documents")
        self._tallies.observe("document_wait", wait_s)
        exchange.respond(Answer(200, [], body))
