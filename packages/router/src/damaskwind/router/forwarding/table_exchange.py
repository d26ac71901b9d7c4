"""Exchange target tables between routers.

When all routers, or a thousand targets, start at once, each router needs a table of some 30 KB
per thousand targets, but the replicas' links carry only 131 KB of updates a second. Routers
that already have the table serve it over their own links.
"""

import asyncio
from collections.abc import Callable
from functools import partial

from loguru import logger

from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.decisions.pacing.bulk_pacer import BulkPacer
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ClientConnection,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer, Request, header
from damaskwind.wire.news import (
    TABLE_PATH,
    VERSIONS_WANTED,
    SeenRevision,
    TableCopy,
    decode_table,
    encode,
    pack_answer,
    unpack_answer,
)
from damaskwind.wire.peer_liveness import is_answering
from damaskwind.wire.watched_calls import PROBE_LIMIT_S, WatchedCall, first_result

__all__ = ["TableExchange"]

# Share of a router's link for tables: at 5 Mbit/s one of 3,000 targets, 97 KB, takes half
# a second. The rest is for answers and documents.
TABLE_LINK_SHARE = 0.3
# A router that would wait longer is refused, and asks another router or a replica.
MAX_QUEUE_S = 1.0
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 2.5
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
# A packed copy is reused for this time: packing 3,000 targets takes some 10 ms.
COPY_S = 0.25
_FETCH_ERRORS = (AnswerBrokenError, ConnectFailedError, MessageError, TimeoutError)


class TableExchange:
    """Serves and fetches the target tables of one router.

    `seen` returns the epoch and revision that this router has seen of each replica. `merge` is
    called with the host and the table when one was fetched.
    """

    def __init__(
        self,
        table: TargetTable,
        seen: Callable[[], tuple[SeenRevision, ...]],
        merge: Callable[[str, TableCopy], None],
        port: int,
        link_bytes_per_s: float,
    ) -> None:
        self._table = table
        self._seen = seen
        self._merge = merge
        self._port = port
        self._pacer = BulkPacer(link_bytes_per_s * TABLE_LINK_SHARE, read_clock())
        # By whether the receiver knows software versions.
        self._copies = {True: Answer(503, []), False: Answer(503, [])}
        self._copied_s = float("-inf")
        self._fetching: asyncio.Task | None = None
        self._in_use: dict[str, ClientConnection] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Answer with a copy of the table, or 503 if the queue is too long."""
        if self._pacer.backlog_s(read_clock()) > MAX_QUEUE_S:
            exchange.respond(Answer(503, []))
            return
        name, value = VERSIONS_WANTED
        with_versions = header(exchange.request.headers, name) == value
        size_bytes = len(self._copies[with_versions].body)
        await asyncio.sleep(self._pacer.reserve(size_bytes, read_clock()))
        exchange.respond(self._newest_copy(with_versions))

    def _newest_copy(self, with_versions: bool) -> Answer:
        now_s = read_clock()
        if now_s - self._copied_s > COPY_S:
            # The seen revisions are read before the records, so that the records include them.
            seen = self._seen()
            records = self._table.with_remaining_cold_time(
                self._table.changed_since(0).records, now_s
            )
            self._copies = {
                known: pack_answer(encode(TableCopy(records, seen, known), known))
                for known in (True, False)
            }
            self._copied_s = now_s
        return self._copies[with_versions]

    def fetch(self, hosts: tuple[str, ...]) -> None:
        """Start to fetch from the first host that answers, unless a fetch is in progress."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch(hosts))

    async def stop(self) -> None:
        """Stop fetching."""
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)

    async def _fetch(self, hosts: tuple[str, ...]) -> None:
        """Fetch from the first host; from the next one as well if it is silent or fails."""
        try:
            host, copy = await first_result(map(self._watch, hosts), _FETCH_ERRORS, _log_setback)
        except _FETCH_ERRORS:
            # The replicas send their tables in parts meanwhile.
            return
        self._merge(host, copy)

    def _watch(self, host: str) -> WatchedCall:
        """Return a fetch from a host together with what tells whether that host runs."""
        probe = partial(is_answering, Address(host, self._port), PROBE_LIMIT_S)
        return WatchedCall(host, partial(self._ask, host), probe, partial(self._heard_s, host))

    def _heard_s(self, host: str) -> float | None:
        """Return when the call to a host last received something, `None` for not yet."""
        connection = self._in_use.get(host)
        return connection.last_received_s if connection is not None else None

    async def _ask(self, host: str) -> tuple[str, TableCopy]:
        """Fetch the table of one router; return it with the router's host."""
        connection = await connect(Address(host, self._port), CONNECT_TIMEOUT_S)
        self._in_use[host] = connection
        try:
            request = Request(b"POST", TABLE_PATH, [(b"host", b"router"), VERSIONS_WANTED], b"")
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
            if answer.status != 200:
                raise AnswerBrokenError(f"status {answer.status}")
            return host, decode_table(unpack_answer(answer))
        finally:
            del self._in_use[host]
            connection.abort()


def _log_setback(host: str, why: str) -> None:
    """Log that a router didn't send its table, or not yet."""
    logger.info("targets not fetched", host=host, why=why)
