"""Share with all routers what requests did to targets, by way of the replicas.

What is new here goes to every replica at once; each wakes the routers that have it first.
A replica that can't be reached, or has started anew, is told when it is heard again.
"""

import asyncio
from collections.abc import Iterable
from itertools import islice

from loguru import logger

from damaskwind.decisions.fatal_requests.good_ends import GoodEnds
from damaskwind.decisions.fatal_requests.suspicion import Known, Standing, SuspicionTable
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.messages import Request
from damaskwind.wire.news import SUSPICIONS_PATH, News, encode

__all__ = ["SuspicionRelay"]

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 0.8
ANSWER_LIMIT_BYTES = 4096
# A call with so many is 6 KB.
MAX_BATCH = 256
EXPIRY_INTERVAL_S = 30.0


class SuspicionRelay:
    """What one router knows of fatal requests, and what it still owes each replica."""

    def __init__(self, news_port: int, spread: float = 0.0) -> None:
        self.table = SuspicionTable(spread)
        self._good_ends = GoodEnds()
        self._news_port = news_port
        self._expired_at_s = 0.0
        self._epochs: dict[str, str] = {}
        # In the order in which they came.
        self._pending: dict[str, dict[bytes, None]] = {}
        self._sending: dict[str, asyncio.Task] = {}

    async def stop(self) -> None:
        """Tell no more."""
        for task in self._sending.values():
            task.cancel()
        await asyncio.gather(*self._sending.values(), return_exceptions=True)

    def follow(self, host: str) -> None:
        """Tell a replica too."""
        self._pending.setdefault(host, dict.fromkeys(self.table.digests()))

    def standing(self, digest: bytes) -> Standing:
        """Return what may be done with a request now."""
        return self.table.standing(digest, read_clock())

    def note_end(self, sends: Iterable[tuple[bytes, Known]]) -> None:
        """Take that a target ended under these requests, sent with this known of them."""
        now_s = read_clock()
        self._queue_for_all(
            [digest for digest, known in sends if self._note_end(digest, known, now_s)]
        )

    def _note_end(self, digest: bytes, known: Known, now_s: float) -> bool:
        if self._good_ends.has(digest, now_s):
            return False
        is_news = self.table.note_end(digest, known, now_s)
        if is_news:
            self._log_fatal(digest, "here")
        return is_news

    def note_survived(self, digest: bytes) -> None:
        """Take that a target has run a request to its end."""
        now_s = read_clock()
        self._good_ends.note(digest, now_s)
        self._clear(digest, now_s)

    def _clear(self, digest: bytes, now_s: float) -> None:
        """Clear a request that is under suspicion, here and elsewhere."""
        if self.table.note_survived(digest, now_s):
            logger.info("request cleared", digest=digest.hex())
            self._queue_for_all([digest])

    def take_news(self, host: str, news: News) -> None:
        """Merge what a replica knows, and tell it what it may lack."""
        now_s = read_clock()
        for digest in self.table.merge(news.suspicions, now_s):
            if self._good_ends.has(digest, now_s):
                self._clear(digest, now_s)
            else:
                self._log_fatal(digest, host)
        if now_s - self._expired_at_s > EXPIRY_INTERVAL_S:
            self._expired_at_s = now_s
            self.table.forget(now_s)
        if self._epochs.get(host) != news.epoch:
            self._epochs[host] = news.epoch
            self._pending[host] = dict.fromkeys(self.table.digests())
        self._start_sending(host)

    def count(self, standing: Standing) -> int:
        """Return how many requests have this standing now."""
        return self.table.count(standing, read_clock())

    def _log_fatal(self, digest: bytes, told_by: str) -> None:
        """Write a line for a request that is sent no more from now on."""
        if self.standing(digest) is Standing.FATAL:
            ends = self.table.known(digest).ends
            logger.warning("request held fatal", digest=digest.hex(), ends=ends, told_by=told_by)

    def _queue_for_all(self, digests: list[bytes]) -> None:
        for host, pending in self._pending.items():
            pending.update(dict.fromkeys(digests))
            self._start_sending(host)

    def _start_sending(self, host: str) -> None:
        if self._pending.get(host) and host not in self._sending:
            task = self._sending[host] = asyncio.ensure_future(self._send_pending(host))
            task.add_done_callback(lambda _: self._sending.pop(host, None))

    async def _send_pending(self, host: str) -> None:
        """Tell a replica what it is owed; what fails is told when it is heard again."""
        pending = self._pending[host]
        while pending:
            part = list(islice(pending, MAX_BATCH))
            for digest in part:
                del pending[digest]
            try:
                await self._call(host, part)
            except (ConnectFailedError, AnswerBrokenError, TimeoutError) as error:
                pending.update(dict.fromkeys(part))
                logger.info(
                    "suspicions not told", host=host, requests=len(pending), why=repr(error)
                )
                return

    async def _call(self, host: str, digests: list[bytes]) -> None:
        items = self.table.told(digests, read_clock())
        connection = await connect(Address(host, self._news_port), CONNECT_TIMEOUT_S)
        request = Request(b"POST", SUSPICIONS_PATH, [(b"host", b"control")], encode(items))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
        finally:
            connection.abort()
        if answer.status != 204:
            raise AnswerBrokenError(f"status {answer.status}")
