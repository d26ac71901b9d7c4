"""Give all targets known here to another router, and fetch them from one.

The pattern: all routers start, or a thousand targets do, and each router needs tables of some
30 KB a thousand targets from replicas whose links carry 131 KB of news a second. The first
that have them have links of their own.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.decisions.pacing.bulk_pace import BulkPace
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer, Request
from damaskwind.wire.news import (
    TABLE_PATH,
    Seen,
    TableCopy,
    decode_table,
    encode,
    pack_answer,
    unpack_answer,
)

__all__ = ["TableExchange"]

# What tables may take of a router's link: at 5 Mbit/s one of 3,000 targets, 97 KB, takes half
# a second. The rest is for answers, and for documents.
TABLE_LINK_SHARE = 0.3
# Who would wait longer is sent away, to another router or to a replica.
MAX_QUEUE_S = 1.0
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 2.5
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
# A copy is as good for so long: packing 3,000 targets takes some 10 ms.
COPY_S = 0.25


class TableExchange:
    """The copies of one router. `seen` gives what it has seen of each replica.

    `take` gets what was fetched, and from where.
    """

    def __init__(
        self,
        table: TargetTable,
        seen: Callable[[], tuple[Seen, ...]],
        take: Callable[[str, TableCopy], None],
        port: int,
        link_bytes_per_s: float,
    ) -> None:
        self._table = table
        self._seen = seen
        self._take = take
        self._port = port
        self._pacer = BulkPace(link_bytes_per_s * TABLE_LINK_SHARE, read_clock())
        self._copy = Answer(503, [])
        self._copied_s = float("-inf")
        self._fetching: asyncio.Task | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Give a copy, unless many wait for one already."""
        if self._pacer.line_s(read_clock()) > MAX_QUEUE_S:
            exchange.respond(Answer(503, []))
            return
        await asyncio.sleep(self._pacer.wait_s(len(self._copy.body), read_clock()))
        exchange.respond(self._newest_copy())

    def _newest_copy(self) -> Answer:
        now_s = read_clock()
        if now_s - self._copied_s > COPY_S:
            # What was seen is read first: all of it is in the records read after it.
            seen = self._seen()
            records = self._table.as_of(self._table.changed_since(0).records, now_s)
            self._copy = pack_answer(encode(TableCopy(records, seen)))
            self._copied_s = now_s
        return self._copy

    def fetch(self, hosts: tuple[str, ...]) -> None:
        """Begin to fetch from one router or the next, unless that is under way."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch(hosts))

    async def stop(self) -> None:
        """Stop fetching."""
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)

    async def _fetch(self, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            try:
                self._take(host, await self._ask(host))
                return
            except (AnswerBrokenError, ConnectFailedError, MessageError, TimeoutError) as error:
                logger.info("targets not fetched", host=host, why=repr(error))

    async def _ask(self, host: str) -> TableCopy:
        connection = await connect(Address(host, self._port), CONNECT_TIMEOUT_S)
        try:
            request = Request(b"POST", TABLE_PATH, [(b"host", b"router")], b"")
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
            if answer.status != 200:
                raise AnswerBrokenError(f"status {answer.status}")
            return decode_table(unpack_answer(answer))
        finally:
            connection.abort()
