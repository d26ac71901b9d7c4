"""Fetch each newer configuration from the replica that is chosen as its source."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from loguru import logger

from damaskwind.decisions.following.document_sources import DocumentSources
from damaskwind.decisions.following.version_lag import VersionLag
from damaskwind.model.exception import MessageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.document_fetch import FETCH_ERRORS, DocumentFetcher
from damaskwind.wire.news import Document

__all__ = ["DocumentFollower"]

# Polling interval of the document sources: the leader becomes a source, and a failed source
# becomes one again, without an update arriving.
SOURCE_RECHECK_S = 0.05
# Pause after a fetch that brought nothing: replicas that refuse all calls, or an unreadable
# document, must not cause a busy loop.
FETCH_PAUSE_S = 0.1


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
        self.waits_for = ""
        self._sources = sources
        self._fetcher = fetcher
        self._known_version = known_version
        self._replica_count = replica_count
        self._receive = receive
        self._last_heard_s = last_heard_s
        self._needs_whole = False

    def observe_versions(self) -> None:
        """Record whether a newer version than the one in force is known now."""
        is_behind = self._sources.has_newer(self._known_version())
        self.lag.observe(is_behind, read_clock())
        if is_behind:
            self.has_update.set()

    async def run(self) -> None:
        """Fetch each newer configuration until canceled."""
        while True:
            host = self._sources.choose(self._known_version(), self._replica_count(), read_clock())
            if host is not None:
                if not await self._fetch_from(host):
                    await asyncio.sleep(FETCH_PAUSE_S)
                continue
            self.has_update.clear()
            is_pending = self._sources.has_newer(self._known_version())
            with suppress(TimeoutError):
                async with asyncio.timeout(SOURCE_RECHECK_S if is_pending else None):
                    await self.has_update.wait()

    async def _fetch_from(self, host: str) -> bool:
        """Fetch from one replica; return whether a newer configuration came into force."""
        asked_s = read_clock()
        self._log_question(host, asked_s)
        self.waits_for = host
        try:
            held_version = 0 if self._needs_whole else self._known_version()
            document = await self._fetcher.fetch(host, held_version)
            is_newer = self._receive(host, document, asked_s)
        except FETCH_ERRORS as error:
            self._needs_whole = isinstance(error, MessageError)
            self._sources.record_failure(host, read_clock())
            self._log_failure(host, asked_s, error)
            return False
        finally:
            self.waits_for = ""
        self._needs_whole = False
        self.observe_versions()
        self.tallies.count("document_fetches", outcome="newer" if is_newer else "not-newer")
        if not is_newer:
            self._sources.record_failure(host, read_clock())
        return is_newer

    def _log_question(self, host: str, now_s: float) -> None:
        """Log which replica is asked, and since when a newer version is known."""
        logger.info(
            "document asked for",
            host=host,
            held=self._known_version(),
            newest=self._sources.newest_version(),
            behind_s=round(self.lag.behind_s(now_s), 3),
        )

    def _log_failure(self, host: str, asked_s: float, error: Exception) -> None:
        """Log a failed fetch, with the time waited and the age of the replica's last update."""
        now_s = read_clock()
        self.tallies.count("document_fetches", outcome="failed")
        logger.warning(
            "document not fetched",
            host=host,
            why=repr(error),
            waited_s=round(now_s - asked_s, 3),
            heard_s=round(now_s - self._last_heard_s(host), 3),
            behind_s=round(self.lag.behind_s(now_s), 3),
        )
