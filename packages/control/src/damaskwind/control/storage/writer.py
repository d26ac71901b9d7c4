"""Group commit: write the journal in a separate thread, many changes per fsync.

Writes submitted during an fsync are queued and share the next one.
"""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from damaskwind.control.storage.journal import Journal, JournalWrite
from damaskwind.model.exception import StorageError
from damaskwind.runtime.clock import read_clock

__all__ = ["GroupCommitWriter"]

RECENT_SYNCS = 1024


class GroupCommitWriter:
    """Write submitted changes to a journal and report when they are durable.

    `on_durable` is called with the writes of each group, in order. `on_failure`
    is called once with the `StorageError` after which nothing is written.
    """

    def __init__(
        self,
        journal: Journal,
        on_durable: Callable[[list[JournalWrite]], None],
        on_failure: Callable[[StorageError], None],
    ) -> None:
        self._journal = journal
        self._on_durable = on_durable
        self._on_failure = on_failure
        self._pending: list[JournalWrite] = []
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="journal")
        self._drain_task: asyncio.Task | None = None
        self._has_failed = False
        self.group_count = 0
        self.sync_durations_s: list[float] = []
        self.on_synced: list[Callable[[float], None]] = []

    def submit(self, write: JournalWrite) -> None:
        """Queue one write; it is dropped after a failure."""
        if self._has_failed:
            return
        self._pending.append(write)
        if self._drain_task is None:
            self._drain_task = asyncio.ensure_future(self._drain())

    async def read_snapshot(self) -> Any:
        """Return the newest durable snapshot with its data."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._thread, self._journal.read_snapshot)

    async def close(self) -> None:
        """Finish the queued writes and close the journal."""
        while self._drain_task is not None:
            await asyncio.wait([self._drain_task])
        self._thread.shutdown(wait=True)
        self._journal.close()

    async def _drain(self) -> None:
        """Write group after group until nothing is queued."""
        loop = asyncio.get_running_loop()
        try:
            while self._pending and not self._has_failed:
                group, self._pending = self._pending, []
                started_s = read_clock()
                await loop.run_in_executor(self._thread, self._journal.write, group)
                self._record_duration(read_clock() - started_s)
                self._on_durable(group)
        except StorageError as error:
            self._has_failed = True
            self._pending.clear()
            self._on_failure(error)
        finally:
            self._drain_task = None

    def _record_duration(self, duration_s: float) -> None:
        """Record the duration of a group and notify the observers."""
        self.group_count += 1
        self.sync_durations_s.append(duration_s)
        del self.sync_durations_s[:-RECENT_SYNCS]
        for callback in self.on_synced:
            callback(duration_s)
