"""Serve updates and documents to routers and other replicas, paced by the link's rate."""

import asyncio

from damaskwind.control.fleet.document_cache import DocumentCache
from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.control.fleet.news_items import count_items
from damaskwind.control.fleet.origins_site import OriginsSite
from damaskwind.decisions.following.document_holders import RELAY_LINK_SHARE, DocumentHolders
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.decisions.load.token_sums import TokenSums
from damaskwind.decisions.pacing.bulk_pacer import BulkPacer
from damaskwind.model.exception import MessageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import (
    DOCUMENT_PATH,
    EXTRA_COPY,
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
from damaskwind.wire.peer_liveness import ALIVE_PATH, answer_alive
from damaskwind.wire.stream_origins import ORIGINS_PATH

__all__ = ["NewsSite"]

# Shares of the link for documents and updates; the rest is left to the log, operators
# and targets.
DOCUMENT_LINK_SHARE = 0.6
NEWS_LINK_SHARE = 0.25
# Share of the link for load sums. At 4.2 Mbit/s with 39 targets and 195 routers, every second
# answer of a replica carries one; at 3 Mbit/s with 65 routers, each answer does.
LOAD_SUM_LINK_SHARE = 0.06
# Encoded size of one target's digest and count.
LOAD_SUM_TARGET_BYTES = 7
# Share of the link for the sums of tokens, apart from those of requests, so that these come as
# often as without them.
TOKEN_SUM_LINK_SHARE = 0.06
# Encoded size of one engine's digest and figures, without its parts in use (two bytes each).
TOKEN_SUM_TARGET_BYTES = 21
# Share of the link for suspicions of fatal requests: a lost target adds as many as it had requests
# in flight and parts of their prompts, and each router is sent all of them.
SUSPICION_LINK_SHARE = 0.2
# Encoded size of one suspicion in a compressed answer: mostly its digest.
SUSPICION_BYTES = 11
# A router that would wait longer than this for its document is redirected to routers that
# have it. The routers served first thus take a tenth of the time allowed.
REDIRECT_BACKLOG_S = 0.25
# Size that an answer's head and packet headers add to its body.
OVERHEAD_BYTES = 150
# Routers give up on an answer 0.8 s after it was due; of several replicas, one is faster.
MAX_NEWS_WAIT_S = 0.4
# Parts of a large table are sent only while the backlog is shorter than this, a tenth of a lease.
MAX_BACKLOG_S = 0.1


class NewsSite:
    """HTTP handler of a replica's internal address: updates, documents, suspicions, streams."""

    def __init__(
        self,
        feed: NewsFeed,
        documents: DocumentCache,
        tallies: Tallies,
        link_bytes_per_s: float,
    ) -> None:
        self._feed = feed
        self._document_bytes_per_s = link_bytes_per_s * DOCUMENT_LINK_SHARE
        self._document_pacer = BulkPacer(self._document_bytes_per_s, read_clock())
        self._news_pacer = BulkPacer(
            link_bytes_per_s * NEWS_LINK_SHARE, read_clock(), MAX_NEWS_WAIT_S
        )
        self._load_sum_pacer = BulkPacer(link_bytes_per_s * LOAD_SUM_LINK_SHARE, read_clock())
        self._token_sum_pacer = BulkPacer(link_bytes_per_s * TOKEN_SUM_LINK_SHARE, read_clock())
        self._suspicion_pacer = BulkPacer(link_bytes_per_s * SUSPICION_LINK_SHARE, read_clock())
        self._last_news_bytes = OVERHEAD_BYTES
        feed.has_headroom = self._is_idle
        feed.reserve_headroom = self._reserve_headroom
        feed.reserve_suspicions = self._reserve_suspicions
        self._tallies = tallies
        self._documents = documents
        self._holders = DocumentHolders()
        self._handlers = {
            NEWS_PATH: self._news,
            DOCUMENT_PATH: self._document,
            SUSPICIONS_PATH: self._suspicions,
            ORIGINS_PATH: OriginsSite(tallies, feed.table, feed.replica_hosts).handle,
            ALIVE_PATH: answer_alive,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        call = self._handlers.get(exchange.request.target)
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
        await self._feed.wait_for_updates(request)
        is_router, is_known = (
            request.kind == SubscriberKind.ROUTER,
            self._feed.has_current_epoch(request),
        )
        is_behind = is_router and self._feed.is_behind(request)
        load_sum, token_sums = None, None
        if is_behind:
            await asyncio.sleep(min(self._news_pacer.backlog_s(read_clock()), MAX_NEWS_WAIT_S))
        elif is_router and is_known:
            await self._wait_for_turn()
        if is_router and is_known:
            load_sum = self._load_sum()
            token_sums = self._token_sums() if request.held_tokens is not None else None
        has_headroom = not is_behind or self._news_pacer.backlog_s(read_clock()) < MAX_BACKLOG_S
        news = self._feed.build_news(request, load_sum, has_headroom, token_sums)
        answer = pack_answer(encode(news, with_versions=request.knows_versions))
        size_bytes = len(answer.body)
        self._last_news_bytes = size_bytes + OVERHEAD_BYTES
        if is_behind:
            # Reserve the actual size. When the size of the last answer was reserved instead, 32
            # parts of a table were sent at once as a replica's routers started together, and the
            # leader lost its lease.
            self._news_pacer.reserve(self._last_news_bytes, read_clock())
        self._tallies.count("sent_bytes", size_bytes, kind=f"news-{request.kind}")
        if is_router:
            count_items(news, self._tallies)
        exchange.respond(answer)

    def _load_sum(self) -> HeldSum | None:
        """Return the load sum of the routers, unless sums sent earlier are still queued.

        Routers then get it from the other replicas, and from here with the next answer.
        """
        now_s = read_clock()
        size_bytes = LOAD_SUM_TARGET_BYTES * self._feed.load_sums.target_count
        if not self._load_sum_pacer.try_reserve(size_bytes, now_s):
            self._tallies.count("held_sums", sent="no")
            return None
        self._tallies.count("held_sums", sent="yes")
        return self._feed.load_sums.total(now_s)

    def _token_sums(self) -> TokenSums | None:
        """Return the sums of tokens, unless sums sent earlier are still queued."""
        now_s = read_clock()
        sums = self._feed.token_sums.total(now_s)
        size_bytes = sum(TOKEN_SUM_TARGET_BYTES + len(item.parts) for item in sums.targets)
        is_sent = self._token_sum_pacer.try_reserve(size_bytes, now_s)
        self._tallies.count("token_sums", sent="yes" if is_sent else "no")
        return sums if is_sent else None

    def _is_idle(self) -> bool:
        """Return whether an answer could be sent at once."""
        return not self._news_pacer.backlog_s(read_clock())

    def _reserve_headroom(self, size_bytes: int) -> bool:
        """Reserve bytes for optional updates if they can be sent at once; return success."""
        return self._news_pacer.try_reserve(size_bytes, read_clock())

    def _reserve_suspicions(self, count: int) -> float:
        """Reserve bytes for suspicions; return after how many seconds they may be sent."""
        return self._suspicion_pacer.reserve(count * SUSPICION_BYTES, read_clock())

    async def _wait_for_turn(self) -> None:
        """Wait until the answers before this one have been sent.

        A change wakes all routers at once; changes made during the wait are included.
        """
        wait_s = self._news_pacer.reserve(self._last_news_bytes, read_clock())
        if wait_s:
            await asyncio.sleep(wait_s)

    async def _suspicions(self, exchange: Exchange) -> None:
        """Merge a router's suspicions of fatal requests."""
        try:
            items = decode_suspicions(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        changed = self._feed.merge_suspicions(items)
        self._tallies.count("suspicions", len(changed))
        exchange.respond(Answer(204, []))

    async def _document(self, exchange: Exchange) -> None:
        """Send the newest document when its turn comes, or redirect to routers that have it."""
        try:
            request = decode_document_request(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        if not self._documents.version:
            exchange.respond(Answer(404, []))
            return
        if EXTRA_COPY in exchange.request.headers and self._document_pacer.backlog_s(read_clock()):
            # Others wait for their only copy, and this router expects one from another source.
            self._tallies.count("documents", sent="refused")
            exchange.respond(Answer(503, []))
            return
        size_bytes = len(self._documents.newest_for(request.held_version).packed)
        holders = self._choose_holders(request.host, size_bytes)
        if holders:
            exchange.respond(
                Answer(200, [], encode(Document(self._documents.version, b"", 0, holders)))
            )
            self._tallies.count("documents", sent="passed on")
            return
        # All routers ask within a few ms of a new version, and the heartbeats that maintain the
        # leader's lease must get through between the documents.
        wait_s = self._document_pacer.reserve(size_bytes, read_clock())
        sent_s = read_clock() + wait_s + size_bytes / self._document_bytes_per_s
        self._holders.record(self._documents.version, request.host, sent_s)
        if wait_s:
            await asyncio.sleep(wait_s)
        document = self._documents.newest_for(request.held_version)
        body = encode(document)
        self._holders.record(document.version, request.host, read_clock())
        self._tallies.count("documents", sent="here")
        self._tallies.count("sent_bytes", len(body), kind="documents")
        self._tallies.observe("document_wait", wait_s)
        exchange.respond(Answer(200, [], body))

    def _choose_holders(self, host: str, size_bytes: int) -> tuple[str, ...]:
        """Return the routers to which a router is redirected, if the backlog here is long."""
        now_s = read_clock()
        if not host or self._document_pacer.backlog_s(now_s) < REDIRECT_BACKLOG_S:
            return ()
        send_s = size_bytes / (self._feed.link_rate(host) * RELAY_LINK_SHARE)
        return self._holders.choose(self._documents.version, host, send_s, now_s)
