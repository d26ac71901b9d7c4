"""Share with all routers what requests did to targets, by way of the replicas.

What is new here goes to every replica at once; each wakes the routers that have it first.
A replica that can't be reached, or has started anew, is told when it is heard again.
"""

import asyncio
from collections.abc import Iterable
from itertools import islice

from loguru import logger

from damaskwind.decisions.fatal_requests.completions import RecentCompletions
from damaskwind.decisions.fatal_requests.suspicion import Standing, SuspicionLevel, SuspicionTable
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

CONNECT_S = 0.5
ANSWER_S = 0.8
ANSWER_LIMIT_BYTES = 4096
# A call with so many is 6 KB.
TOLD_AT_ONCE = 256
FORGET_EVERY_S = 30.0


class SuspicionRelay:
    """What one router knows of fatal requests, and what it still owes each replica."""

    def __init__(self, news_port: int, spread: float = 0.0) -> None:
        self.table = SuspicionTable(spread)
        self._good_ends = RecentCompletions()
        self._news_port = news_port
        self._forgot_s = 0.0
        self._epochs: dict[str, str] = {}
        # In the order in which they came.
        self._owed: dict[str, dict[bytes, None]] = {}
        self._telling: dict[str, asyncio.Task] = {}

    async def stop(self) -> None:
        """Tell no more."""
        for task in self._telling.values():
            task.cancel()
        await asyncio.gather(*self._telling.values(), return_exceptions=True)

    def follow(self, host: str) -> None:
        """Tell a replica too."""
        self._owed.setdefault(host, dict.fromkeys(self.table.digests()))

    def standing(self, digest: bytes) -> Standing:
        """Return what may be done with a request now."""
        return self.table.standing(digest, read_clock())

    def note_end(self, sends: Iterable[tuple[bytes, SuspicionLevel]]) -> None:
        """Take that a target ended under these requests, sent with this known of them."""
        now_s = read_clock()
        self._tell_all([digest for digest, known in sends if self._note_end(digest, known, now_s)])

    def _note_end(self, digest: bytes, known: SuspicionLevel, now_s: float) -> bool:
        if self._good_ends.has(digest, now_s):
            return False
        is_news = self.table.record_target_end(digest, known, now_s)
        if is_news:
            self._log_fatal(digest, "here")
        return is_news

    def note_survived(self, digest: bytes) -> None:
        """Take that a target has run a request to its end."""
        now_s = read_clock()
        self._good_ends.record(digest, now_s)
        self._clear(digest, now_s)

    def _clear(self, digest: bytes, now_s: float) -> None:
        """Clear a request that is under suspicion, here and elsewhere."""
        if self.table.record_completion(digest, now_s):
            logger.info("request cleared", digest=digest.hex())
            self._tell_all([digest])

    def take_news(self, host: str, news: News) -> None:
        """Merge what a replica knows, and tell it what it may lack."""
        now_s = read_clock()
        for digest in self.table.merge(news.suspicions, now_s):
            if self._good_ends.has(digest, now_s):
                self._clear(digest, now_s)
            else:
                self._log_fatal(digest, host)
        if now_s - self._forgot_s > FORGET_EVERY_S:
            self._forgot_s = now_s
            self.table.forget(now_s)
        if self._epochs.get(host) != news.epoch:
            self._epochs[host] = news.epoch
            self._owed[host] = dict.fromkeys(self.table.digests())
        self._tell(host)

    def count(self, standing: Standing) -> int:
        """Return how many requests have this standing now."""
        return self.table.count(standing, read_clock())

    def _log_fatal(self, digest: bytes, told_by: str) -> None:
        """Write a line for a request that is sent no more from now on."""
        if self.standing(digest) is Standing.FATAL:
            ends = self.table.level(digest).ends
            logger.warning("request held fatal", digest=digest.hex(), ends=ends, told_by=told_by)

    def _tell_all(self, digests: list[bytes]) -> None:
        for host, owed in self._owed.items():
            owed.update(dict.fromkeys(digests))
            self._tell(host)

    def _tell(self, host: str) -> None:
        if self._owed.get(host) and host not in self._telling:
            task = self._telling[host] = asyncio.ensure_future(self._tell_owed(host))
            task.add_done_callback(lambda _: self._telling.pop(host, None))

    async def _tell_owed(self, host: str) -> None:
        """Tell a replica what it is owed; what fails is told when it is heard again."""
        owed = self._owed[host]
        while owed:
            part = list(islice(owed, TOLD_AT_ONCE))
            for digest in part:
                del owed[digest]
            try:
                await self._call(host, part)
            except (ConnectFailedError, AnswerBrokenError, TimeoutError) as error:
                owed.update(dict.fromkeys(part))
                logger.info("suspicions not told", host=host, requests=len(owed), why=repr(error))
                return

    async def _call(self, host: str, digests: list[bytes]) -> None:
        items = self.table.entries(digests, read_clock())
        connection = await connect(Address(host, self._news_port), CONNECT_S)
        request = Request(b"POST", SUSPICIONS_PATH, [(b"host", b"control")], encode(items))
        try:
            async with asyncio.timeout(ANSWER_S):
                answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
        finally:
            connection.abort()
        if answer.status != 204:
            raise AnswerBrokenError(f"status {answer.status}")
