"""Serve news and documents to routers and other replicas."""

from collections.abc import Callable

from damaskwind.control.fleet.news_board import NewsBoard
from damaskwind.model.exception import MessageError
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import Exchange
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import DOCUMENT_PATH, NEWS_PATH, decode_request, encode

__all__ = ["NewsSite"]


class NewsSite:
    """The handler behind a replica's internal address."""

    def __init__(
        self, board: NewsBoard, packed_document: Callable[[], bytes], tallies: Tallies
    ) -> None:
        self._board = board
        self._tallies = tallies
        self._packed_document = packed_document
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
        packed = self._packed_document()
        self._tallies.count("sent_bytes", len(packed), kind="documents")
        exchange.respond(Answer(200 if packed else 404, [], packed))
