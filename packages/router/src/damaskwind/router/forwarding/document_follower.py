"""Fetch each newer configuration, from a further replica if the first one is in doubt.

A replica that was asked may stand still from that moment on. It is then asked beside the fetch
whether it runs, and if it doesn't answer, the next source is asked as well. The same happens if a
fetch lasts unusually long. The first document to arrive counts, and the other fetches end.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.following.document_sources import DocumentSources
from damaskwind.decisions.following.version_lag import VersionLag
from damaskwind.model.exception import MessageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.document_fetch import FETCH_ERRORS, DocumentFetcher
from damaskwind.wire.news import Document
from damaskwind.wire.watched_calls import Doubt, WatchedCall, wait_until_doubtful

__all__ = ["DocumentFollower"]

# Polling interval of the document sources: the leader becomes a source, and a failed source
# becomes one again, without an update arriving.
SOURCE_RECHECK_S = 0.05
# Pause after a fetch that brought nothing: replicas that refuse all calls, or an unreadable
# document, must not cause a busy loop.
FETCH_PAUSE_S = 0.1
# Pause after an extra fetch that was refused or failed: the queues that refuse it last longer.
EXTRA_PAUSE_S = 0.5
# A fetch that lasts longer is overdue: at a sound source, a document waits up to 1.2 s for its
# turn, and a version has to be in force within 2 s.
OVERDUE_S = 1.4
# Fetches in flight at once: one, and two others if two sources in turn are in doubt.
MAX_FETCHES = 3


class _Fetch(NamedTuple):
    """A fetch in flight from one replica."""

    host: str
    asked_s: float
    is_extra: bool
    document: asyncio.Task
    watch: asyncio.Task

    @property
    def doubt(self) -> Doubt | None:
        """Return why the fetch is in doubt, `None` if it is not."""
        has_result = self.watch.done() and not self.watch.cancelled()
        return self.watch.result() if has_result else None

    def cancel(self) -> None:
        """Stop waiting for the document."""
        self.document.cancel()
        self.watch.cancel()


class DocumentFollower:
    """The fetches of one router, which follow the versions that replicas report.

    `known_version` returns the version in force, and `replica_count` how many replicas are
    followed. `receive` puts a document in force and returns whether it was newer; it raises
    `MessageError` if the document can't be read. `last_heard_s` returns when a replica's last
    update arrived, in monotonic seconds.
    """

    def __init__(
        self,
        sources: DocumentSources,
        fetcher: DocumentFetcher,
        known_version: Callable[[], int],
        replica_count: Callable[[], int],
        receive: Callable[[str, Document, float], bool],
        last_heard_s: Callable[[str], float],
    ) -> None:
        self.has_update = asyncio.Event()
        self.tallies = Tallies()
        self.lag = VersionLag()
        self._sources = sources
        self._fetcher = fetcher
        self._known_version = known_version
        self._replica_count = replica_count
        self._receive = receive
        self._last_heard_s = last_heard_s
        self._needs_whole = False
        self._fetches: dict[str, _Fetch] = {}
        self._may_ask_s = float("-inf")

    def observe_versions(self) -> None:
        """Record whether a newer version than the one in force is known now."""
        is_behind = self._sources.has_newer(self._known_version())
        self.lag.observe(is_behind, read_clock())
        if is_behind:
            self.has_update.set()

    async def run(self) -> None:
        """Fetch each newer configuration until canceled."""
        try:
            while True:
                await self._take_document()
                self._ask_next_source()
                await self._wait()
        finally:
            await self._cancel_fetches()

    async def _wait(self) -> None:
        """Wait until a fetch ends or is in doubt, or the sources may have changed."""
        may_ask = all(fetch.doubt for fetch in self._fetches.values())
        is_pending = may_ask and self._sources.has_newer(self._known_version())
        with suppress(TimeoutError):
            async with asyncio.timeout(SOURCE_RECHECK_S if is_pending else None):
                await self.has_update.wait()
        self.has_update.clear()

    def _ask_next_source(self) -> None:
        """Start a fetch if a newer version is known and no fetch in flight is relied upon."""
        now_s = read_clock()
        doubts = [fetch.doubt for fetch in self._fetches.values()]
        is_full = len(doubts) == MAX_FETCHES
        if None in doubts or is_full or now_s < self._may_ask_s:
            return
        host = self._sources.choose(
            self._known_version(), self._replica_count(), now_s, self._fetches
        )
        if host is None:
            return
        held_version = 0 if self._needs_whole else self._known_version()
        # A silent source sends nothing, so that another one replaces it. An overdue source may
        # have a long queue, and a further request to another queue must not lengthen that one.
        is_extra = Doubt.OVERDUE in doubts
        ask = self._fetcher.fetch_extra if is_extra else self._fetcher.fetch
        call = self._fetcher.watch(host, partial(ask, host, held_version))
        self._log_question(host, now_s)
        self._fetches[host] = self._begin(call, now_s, is_extra)

    def _begin(self, call: WatchedCall, now_s: float, is_extra: bool) -> _Fetch:
        """Start a fetch, and the questions whether its source runs."""
        document = asyncio.ensure_future(call.start())
        watch = asyncio.ensure_future(wait_until_doubtful(document, call, OVERDUE_S))
        fetch = _Fetch(call.host, now_s, is_extra, document, watch)
        document.add_done_callback(lambda _: self.has_update.set())
        watch.add_done_callback(lambda _: self._handle_watch(fetch))
        return fetch

    def _handle_watch(self, fetch: _Fetch) -> None:
        """Record a source that is in doubt, so that another one is asked."""
        doubt = fetch.doubt
        if doubt is None:
            return
        self._sources.record_failure(fetch.host, read_clock())
        if doubt is Doubt.SILENT:
            self._sources.record_silence(fetch.host)
        self.tallies.count("document_fetches", outcome=doubt)
        self._log_setback("document source in doubt", fetch, doubt)
        self.has_update.set()

    async def _take_document(self) -> None:
        """Handle the fetches that ended; after a newer document, cancel the others."""
        for fetch in [item for item in self._fetches.values() if item.document.done()]:
            del self._fetches[fetch.host]
            fetch.watch.cancel()
            if self._receive_from(fetch):
                await self._cancel_fetches()
                return

    async def _cancel_fetches(self) -> None:
        """Cancel all fetches in flight."""
        fetches, self._fetches = list(self._fetches.values()), {}
        for fetch in fetches:
            fetch.cancel()
        tasks = [task for fetch in fetches for task in (fetch.document, fetch.watch)]
        await asyncio.gather(*tasks, return_exceptions=True)

    def _receive_from(self, fetch: _Fetch) -> bool:
        """Apply the result of a fetch; return whether a newer configuration came into force."""
        host = fetch.host
        try:
            is_newer = self._receive(host, fetch.document.result(), fetch.asked_s)
        except FETCH_ERRORS as error:
            self._handle_failure(fetch, error)
            return False
        except Exception as error:
            # An error that nobody foresaw must not end the task that follows the versions.
            logger.opt(exception=error).error("following failed", host=host, why=repr(error))
            self._handle_failure(fetch, error)
            return False
        self._needs_whole = False
        self._may_ask_s = float("-inf")
        self.observe_versions()
        self.tallies.count("document_fetches", outcome="newer" if is_newer else "not-newer")
        if not is_newer:
            self._record_failure(fetch)
        return is_newer

    def _handle_failure(self, fetch: _Fetch, error: Exception) -> None:
        """Record a fetch that failed, or a document that could not be put in force."""
        self._needs_whole = isinstance(error, MessageError)
        self._record_failure(fetch)
        self.tallies.count("document_fetches", outcome="failed")
        self._log_setback("document not fetched", fetch, repr(error))

    def _record_failure(self, fetch: _Fetch) -> None:
        """Record a fetch that brought nothing, and pause."""
        now_s = read_clock()
        self._sources.record_failure(fetch.host, now_s)
        self._may_ask_s = now_s + (EXTRA_PAUSE_S if fetch.is_extra else FETCH_PAUSE_S)

    def waits_for(self) -> list[str]:
        """Return the replicas of which a document is expected now."""
        return list(self._fetches)

    def _log_question(self, host: str, now_s: float) -> None:
        """Log which replica is asked, and since when a newer version is known."""
        logger.info(
            "document asked for",
            host=host,
            held=self._known_version(),
            newest=self._sources.newest_version(),
            behind_s=round(self.lag.behind_s(now_s), 3),
        )

    def _log_setback(self, event: str, fetch: _Fetch, why: str) -> None:
        """Log a failed or doubtful fetch, with the age of the replica's last update."""
        now_s = read_clock()
        logger.warning(
            event,
            host=fetch.host,
            why=why,
            waited_s=round(now_s - fetch.asked_s, 3),
            heard_s=round(now_s - self._last_heard_s(fetch.host), 3),
            behind_s=round(self.lag.behind_s(now_s), 3),
        )
