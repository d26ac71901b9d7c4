"""Share suspicions of fatal requests with all routers, through the control replicas.

A change is sent at once to the two replicas that rank first for this router, and these tell the
others; each replica wakes the routers that rank it first. One of the two that is unreachable, has
restarted, or has just taken the place of another, is sent all it may lack when its next update
arrives.
"""

import asyncio
from collections.abc import Callable, Iterable
from itertools import islice

from loguru import logger

from damaskwind.decisions.fatal_requests.completions import RecentCompletions
from damaskwind.decisions.fatal_requests.suspicion import (
    FATAL_ENDS,
    Standing,
    SuspicionLevel,
    SuspicionTable,
    fatal_duration_s,
)
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ClientConnection,
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
# A call with this many suspicions is 6 KB.
MAX_BATCH = 256
EXPIRY_INTERVAL_S = 30.0
# To how many replicas a router sends a change: one may be lost before it has told the others. If
# all were sent it, each would take a call of every router that held a request at a lost target.
REPORTED_REPLICAS = 2
# A replica that takes the place of another is sent what has changed for this long.
RECENT_S = 10.0


class SuspicionRelay:
    """One router's table of suspicions, and the digests that each replica has yet to receive."""

    def __init__(self, news_port: int, spread: float = 0.0) -> None:
        self.table = SuspicionTable(spread)
        self.on_held: list[Callable[[], None]] = []
        # Returns the reachable replicas, in the order in which this router prefers them.
        self.order_hosts: Callable[[], list[str]] = lambda: list(self._pending)
        # Called after news that changed the table.
        self.on_merged: list[Callable[[], None]] = []
        self._completions = RecentCompletions()
        # The level at which a request became fatal, or fatal again, by what this router saw.
        self._raised_here: dict[bytes, SuspicionLevel] = {}
        self._news_port = news_port
        self._expired_at_s = 0.0
        self._epochs: dict[str, str] = {}
        # Digests not yet sent, by replica; dicts serve as ordered sets.
        self._pending: dict[str, dict[bytes, None]] = {}
        self._reported: list[str] = []
        self._connections: dict[str, ClientConnection] = {}
        self._sending: dict[str, asyncio.Task] = {}

    async def stop(self) -> None:
        """Stop sending."""
        for task in self._sending.values():
            task.cancel()
        await asyncio.gather(*self._sending.values(), return_exceptions=True)
        for connection in self._connections.values():
            connection.abort()
        self._connections.clear()

    def follow(self, host: str) -> None:
        """Send suspicions to a replica too, while it is one of those that are preferred."""
        self._pending.setdefault(host, {})

    def standing(self, digest: bytes) -> Standing:
        """Return what may be done with a request now.

        A fatal one is tried by the router under which the last target ended. The others would make
        the trial after that one, so that a router that is lost is replaced.
        """
        is_own = self._raised_here.get(digest) == self.table.level(digest)
        return self.table.standing(digest, read_clock(), 0 if is_own else 1)

    def trial_interval_s(self, digest: bytes) -> float:
        """Return the least time between two trials of a fatal request by this router."""
        return fatal_duration_s(self.table.level(digest).ends)

    def record_target_end(self, sends: Iterable[tuple[bytes, SuspicionLevel]]) -> None:
        """Record that a target crashed with these requests in flight.

        Each is given with its suspicion level when it was sent.
        """
        now_s = read_clock()
        self._queue(
            [digest for digest, level in sends if self._record_target_end(digest, level, now_s)]
        )

    def _record_target_end(self, digest: bytes, level: SuspicionLevel, now_s: float) -> bool:
        if self._completions.has(digest, now_s):
            return False
        is_new = self.table.record_target_end(digest, level, now_s)
        if is_new:
            present = self.table.level(digest)
            if present.ends >= FATAL_ENDS:
                self._raised_here[digest] = present
            self._report_fatal(digest, "here")
        return is_new

    def record_completion(
        self, digest: bytes, request_id: bytes = b"", target_id: str = "", why: str = ""
    ) -> None:
        """Record that a target has run a request to completion; the rest is for the log."""
        self._completions.record(digest, read_clock())
        self.clear(digest, request_id, target_id, why)

    def clear(self, digest: bytes, request_id: bytes, target_id: str, why: str) -> None:
        """Clear a request that is under suspicion, here and elsewhere."""
        level = self.table.level(digest)
        if level.ends and self.table.record_completion(digest, read_clock()):
            logger.info(
                "request cleared",
                digest=digest.hex(),
                ends=level.ends,
                request=request_id.decode("latin-1"),
                target=target_id,
                why=why,
            )
            self._queue([digest])

    def handle_news(self, host: str, news: News) -> None:
        """Merge the suspicions of a replica, and send it those that it may lack."""
        now_s = read_clock()
        changed = self.table.merge(news.suspicions, now_s)
        for digest in changed:
            if self._completions.has(digest, now_s):
                self.clear(digest, b"", "", "completed lately")
            else:
                self._report_fatal(digest, host)
        if changed:
            for callback in self.on_merged:
                callback()
        if now_s - self._expired_at_s > EXPIRY_INTERVAL_S:
            self._expired_at_s = now_s
            self.table.forget(now_s)
            known = set(self.table.digests())
            for digest in self._raised_here.keys() - known:
                del self._raised_here[digest]
        self._update_reported(now_s)
        if self._epochs.get(host) != news.epoch:
            self._epochs[host] = news.epoch
            if host in self._reported:
                # Into the dict that a call in progress sends from, which then goes on with these.
                self._pending.setdefault(host, {}).update(dict.fromkeys(self.table.digests()))
        self._start_sending(host)

    def _update_reported(self, now_s: float) -> None:
        """Choose the replicas that are sent changes; a new one is sent what it may lack."""
        reported = self.order_hosts()[:REPORTED_REPLICAS]
        recent = self.table.changed_after(now_s - RECENT_S) if reported != self._reported else ()
        dropped = [host for host in self._reported if host not in reported]
        # What a dropped replica did not confirm may be known to no other one, however old it is.
        unsent = [digest for host in dropped for digest in self._pending[host]]
        for host in set(reported) - set(self._reported):
            self._pending.setdefault(host, {}).update(dict.fromkeys((*recent, *unsent)))
        for host in dropped:
            self._pending[host].clear()
        self._reported = reported

    def count(self, standing: Standing) -> int:
        """Return how many requests have this standing now."""
        return self.table.count(standing, read_clock())

    def _report_fatal(self, digest: bytes, source: str) -> None:
        """Report a request that is now held fatal, so that it is not sent any more."""
        if self.standing(digest) is Standing.FATAL:
            ends = self.table.level(digest).ends
            logger.warning("request held fatal", digest=digest.hex(), ends=ends, told_by=source)
            for callback in self.on_held:
                callback()

    def _queue(self, digests: list[bytes]) -> None:
        """Send changes to the preferred replicas."""
        self._update_reported(read_clock())
        for host in self._reported:
            self._pending[host].update(dict.fromkeys(digests))
            self._start_sending(host)

    def _start_sending(self, host: str) -> None:
        if self._pending.get(host) and host not in self._sending:
            task = self._sending[host] = asyncio.ensure_future(self._send_pending(host))
            task.add_done_callback(lambda _: self._sending.pop(host, None))

    async def _send_pending(self, host: str) -> None:
        """Send a replica its pending suspicions; on failure they wait for its next update."""
        pending = self._pending[host]
        while pending:
            batch = list(islice(pending, MAX_BATCH))
            for digest in batch:
                del pending[digest]
            try:
                await self._call(host, batch)
            except (ConnectFailedError, AnswerBrokenError, TimeoutError) as error:
                pending.update(dict.fromkeys(batch))
                logger.info(
                    "suspicions not sent", host=host, requests=len(pending), why=repr(error)
                )
                self._report_elsewhere(host, batch)
                return

    def _report_elsewhere(self, host: str, digests: list[bytes]) -> None:
        """Send what is fatal to the next replica, since `host` may be lost like the other one.

        The rest waits: many calls fail as the replicas are busy, and would double their load.
        """
        fatal = [digest for digest in digests if self.table.level(digest).ends >= FATAL_ENDS]
        ordered = self.order_hosts()
        behind = ordered[ordered.index(host) + 1 :] if host in ordered else ordered
        others = [item for item in behind if item not in self._reported]
        if fatal and others:
            self._pending.setdefault(others[0], {}).update(dict.fromkeys(fatal))
            self._start_sending(others[0])

    async def _call(self, host: str, digests: list[bytes]) -> None:
        """Send one batch, on the connection of the last one if that is still open."""
        items = self.table.entries(digests, read_clock())
        connection = self._connections.pop(host, None)
        if connection is None or not connection.is_open:
            connection = await connect(Address(host, self._news_port), CONNECT_TIMEOUT_S)
        request = Request(b"POST", SUSPICIONS_PATH, [(b"host", b"control")], encode(items))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
            if answer.status != 204:
                raise AnswerBrokenError(f"status {answer.status}")
        except BaseException:
            connection.abort()
            raise
        self._connections[host] = connection
