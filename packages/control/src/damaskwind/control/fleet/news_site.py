"""Serve news and documents to routers and other replicas."""

import asyncio

from damaskwind.control.fleet.document_cache import DocumentShelf
from damaskwind.control.fleet.news_feed import NewsBoard
from damaskwind.decisions.following.document_holders import RELAY_LINK_SHARE, DocumentHolders
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.decisions.pacing.bulk_pacer import BulkPacer
from damaskwind.model.exception import MessageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import (
    DOCUMENT_PATH,
    NEWS_PATH,
    SUSPICIONS_PATH,
    Document,
    SubscriberKind,
    decode_document_request,
    decode_request,
    decode_suspicions,
    encode,
    pack_answer,
)

__all__ = ["NewsSite"]

# The parts of the link that documents and news may take; the rest is for the log,
# for operators and targets.
DOCUMENT_PART = 0.6
NEWS_PART = 0.25
# What the sums of held requests may take of it: 195 routers get one from every second
# answer of a replica at 4.2 Mbit/s and 39 targets, 65 at 3 Mbit/s from each.
HELD_PART = 0.06
# A target's digest and count, encoded.
HELD_BYTES = 7
# A router that would wait longer than this for its document is sent on to routers that
# have it: those that come first take a tenth of the time allowed.
PASS_ON_AFTER_S = 0.25
# What an answer's head and packets add to its body.
OVERHEAD_BYTES = 150
# Routers give up an answer 0.8 s after it was due; of several replicas one is faster.
NEWS_WAIT_S = 0.4
# Parts of a large table go where the line is shorter than this, a tenth of a lease.
ROOM_S = 0.1


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
        self._document_bytes_per_s = link_bytes_per_s * DOCUMENT_PART
        self._pace = BulkPacer(self._document_bytes_per_s, read_clock())
        self._news_pace = BulkPacer(link_bytes_per_s * NEWS_PART, read_clock(), NEWS_WAIT_S)
        self._held_pace = BulkPacer(link_bytes_per_s * HELD_PART, read_clock())
        self._last_news_bytes = OVERHEAD_BYTES
        board.has_room = self._is_idle
        board.take_room = self._take_room
        self._tallies = tallies
        self._shelf = shelf
        self._holders = DocumentHolders()
        self._calls = {
            NEWS_PATH: self._news,
            DOCUMENT_PATH: self._document,
            SUSPICIONS_PATH: self._suspicions,
        }

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
        await self._board.wait_for_news(request)
        is_router, knows = request.kind == SubscriberKind.ROUTER, self._board.knows(request)
        is_behind = is_router and self._board.is_behind(request)
        held = None
        if is_behind:
            await asyncio.sleep(min(self._news_pace.backlog_s(read_clock()), NEWS_WAIT_S))
        elif is_router and knows:
            await self._take_turn()
        if is_router and knows:
            held = self._held_sum()
        has_room = not is_behind or self._news_pace.backlog_s(read_clock()) < ROOM_S
        answer = pack_answer(encode(self._board.news(request, held, has_room)))
        size_bytes = len(answer.body)
        self._last_news_bytes = size_bytes + OVERHEAD_BYTES
        if is_behind:
            # By its own size: by the last one's, 32 parts of a table went at once when a
            # replica's routers started together, and cost a leader its lease.
            self._news_pace.reserve(self._last_news_bytes, read_clock())
        self._tallies.count("sent_bytes", size_bytes, kind=f"news-{request.kind}")
        exchange.respond(answer)

    def _held_sum(self) -> HeldSum | None:
        """Return what routers hold, unless the last ones told have not gone yet.

        Routers hear of it from the other replicas, and here with the next answer.
        """
        now_s = read_clock()
        size_bytes = HELD_BYTES * self._board.held.target_count
        if not self._held_pace.try_reserve(size_bytes, now_s):
            self._tallies.count("held_sums", sent="no")
            return None
        self._tallies.count("held_sums", sent="yes")
        return self._board.held.total(now_s)

    def _is_idle(self) -> bool:
        """Tell whether an answer could go at once."""
        return not self._news_pace.backlog_s(read_clock())

    def _take_room(self, size_bytes: int) -> bool:
        """Book news that can be left out, if they can go at once; tell whether they can."""
        return self._news_pace.try_reserve(size_bytes, read_clock())

    async def _take_turn(self) -> None:
        """Wait until the answers before this one have gone.

        A change wakes all routers at once; what changes meanwhile goes with it.
        """
        wait_s = self._news_pace.reserve(self._last_news_bytes, read_clock())
        if wait_s:
            await asyncio.sleep(wait_s)

    async def _suspicions(self, exchange: Exchange) -> None:
        """Take what a router knows of fatal requests."""
        try:
            items = decode_suspicions(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        news = self._board.suspect(items)
        self._tallies.count("suspicions", len(news))
        exchange.respond(Answer(204, []))

    async def _document(self, exchange: Exchange) -> None:
        """Send the newest document, in its turn."""
        try:
            request = decode_document_request(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        if not self._shelf.version:
            exchange.respond(Answer(404, []))
            return
        size_bytes = len(self._shelf.newest_for(request.held_version).packed)
        named = self._holders_for(request.host, size_bytes)
        if named:
            exchange.respond(Answer(200, [], encode(Document(self._shelf.version, b"", 0, named))))
            self._tallies.count("documents", sent="passed on")
            return
        # All routers ask within some ms of a version, and the heartbeats that keep the
        # leader's lease have to find room between the documents.
        wait_s = self._pace.reserve(size_bytes, read_clock())
        sent_s = read_clock() + wait_s + size_bytes / self._document_bytes_per_s
        self._holders.record(self._shelf.version, request.host, sent_s)
        if wait_s:
            await asyncio.sleep(wait_s)
        document = self._shelf.newest_for(request.held_version)
        body = encode(document)
        self._holders.record(document.version, request.host, read_clock())
        self._tallies.count("documents", sent="here")
        self._tallies.count("sent_bytes", len(body), kind="documents")
        self._tallies.observe("document_wait", wait_s)
        exchange.respond(Answer(200, [], body))

    def _holders_for(self, host: str, size_bytes: int) -> tuple[str, ...]:
        """Return the routers to which one is sent on, if the line here is long."""
        now_s = read_clock()
        if not host or self._pace.backlog_s(now_s) < PASS_ON_AFTER_S:
            return ()
        send_s = size_bytes / (self._board.link_rate(host) * RELAY_LINK_SHARE)
        return self._holders.choose(self._shelf.version, host, send_s, now_s)
