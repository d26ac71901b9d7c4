"""Tell a request that ends its targets from those that were merely in hand there.

With each target that ends, all that it had in hand falls under suspicion. Who is
sent again and ends well is cleared; who was sent **knowing** of an end, and has the next
target end under it too, is a step further. Only such steps count, so that any number of
targets that end together take a request one step, and a request that is asked
for all the time is cleared between two of them. After `FATAL_ENDS` steps the request is held
fatal and sent no more for a while. The field's names are a query of death or a poison message.

All that is known of a request is two numbers, and of two beliefs the higher one counts:
how often it was cleared, then how many targets ended since. Tables of routers and replicas
are merged in any order, as often as they meet ("Conflict-free Replicated Data
Types", Shapiro, Preguiça, Baquero and Zawirski, SSS 2011).

>>> table = SuspicionTable()
>>> for _ in range(3):
...     changed = table.record_target_end(b"digest", table.level(b"digest"), now_s=0.0)
>>> table.standing(b"digest", now_s=1.0)
<Standing.FATAL: 'fatal'>
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Standing", "Suspicion", "SuspicionLevel", "SuspicionTable", "fatal_duration_s"]

# So many targets may end under a request before it is sent no more.
FATAL_ENDS = 3
# A suspicion without a further end is forgotten after this.
SUSPICION_TTL_S = 600.0
# So long is a request held fatal at first, and twice as long after each trial that ended a
# target: whoever is held wrongly is cleared by the first trial.
FATAL_BASE_S = 60.0
# At 150 bytes each in a router's memory; a lost target adds as many as it had in hand.
MAX_REQUESTS = 4096


class Standing(StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    FATAL = "fatal"


class SuspicionLevel(NamedTuple):
    """How often a request was cleared, and how many targets ended under it since."""

    cleared: int = 0
    ends: int = 0


class Suspicion(NamedTuple):
    """What is told of a request; its last change is `age_s` ago."""

    digest: bytes
    cleared: int
    ends: int
    age_s: float


class _Entry(NamedTuple):
    level: SuspicionLevel
    at_s: float
    revision: int


def fatal_duration_s(ends: int) -> float:
    """Return how long a request is held fatal after so many targets ended under it.

    >>> fatal_duration_s(3), fatal_duration_s(5)
    (60.0, 240.0)
    """
    return FATAL_BASE_S * 2 ** (ends - FATAL_ENDS)


class SuspicionTable:
    """The requests under suspicion, as one process knows them. Times are monotonic.

    `revision` grows with each change, so that others can ask for what is new. With
    another `jitter` (0 to 1) in each router, not all of them try a request again at once.
    """

    def __init__(self, jitter: float = 0.0) -> None:
        self.revision = 0
        self._duration_factor = 1.0 + jitter
        # The one that changed last stands last.
        self._entries: dict[bytes, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def level(self, digest: bytes) -> SuspicionLevel:
        """Return what is known of a request."""
        entry = self._entries.get(digest)
        return entry.level if entry else SuspicionLevel()

    def standing(self, digest: bytes, now_s: float) -> Standing:
        """Return what may be done with a request now."""
        entry = self._entries.get(digest)
        if entry is None or not entry.level.ends:
            return Standing.CLEAR
        ends = entry.level.ends
        is_fatal = (
            ends >= FATAL_ENDS
            and now_s - entry.at_s < self._duration_factor * fatal_duration_s(ends)
        )
        return Standing.FATAL if is_fatal else Standing.SUSPECTED

    def may_retry(self, digest: bytes) -> bool:
        """Tell whether a request may be taken elsewhere after a target ended under it.

        One end may have had any other cause.
        """
        return self.level(digest).ends <= 1

    def count(self, standing: Standing, now_s: float) -> int:
        """Return how many requests have this standing."""
        return sum(self.standing(digest, now_s) is standing for digest in self._entries)

    def digests(self) -> list[bytes]:
        """Return all requests that anything is known of."""
        return list(self._entries)

    def record_target_end(self, digest: bytes, level: SuspicionLevel, now_s: float) -> bool:
        """Take that a target ended under a request that was sent with this known of it."""
        return self._raise_level(digest, level._replace(ends=level.ends + 1), now_s)

    def record_completion(self, digest: bytes, now_s: float) -> bool:
        """Clear a request that a target has run to its end; tell whether that was news."""
        level = self.level(digest)
        return level.ends > 0 and self._raise_level(
            digest, SuspicionLevel(level.cleared + 1), now_s
        )

    def merge(self, items: Iterable[Suspicion], now_s: float) -> list[bytes]:
        """Take what another process knows; return the requests of which that was news."""
        return [
            item.digest
            for item in items
            if self._raise_level(
                item.digest, SuspicionLevel(item.cleared, item.ends), now_s - item.age_s
            )
        ]

    def entries(self, digests: Iterable[bytes], now_s: float) -> tuple[Suspicion, ...]:
        """Return what is known of these requests."""
        entries = ((digest, self._entries.get(digest)) for digest in digests)
        return tuple(
            Suspicion(digest, *entry.level, round(max(now_s - entry.at_s, 0.0), 1))
            for digest, entry in entries
            if entry is not None
        )

    def changed_since(
        self, revision: int, limit: int, now_s: float
    ) -> tuple[tuple[Suspicion, ...], int]:
        """Return what has changed since a revision, the oldest first, and up to which one."""
        newer = []
        for digest, entry in reversed(self._entries.items()):
            if entry.revision <= revision:
                break
            newer.append((digest, entry.revision))
        page = newer[: -limit - 1 : -1]
        last_revision = page[-1][1] if page else max(revision, self.revision)
        return self.entries([digest for digest, _ in page], now_s), last_revision

    def forget(self, now_s: float) -> None:
        """Drop what is too old to count."""
        old = [
            digest
            for digest, entry in self._entries.items()
            if now_s - entry.at_s > SUSPICION_TTL_S + 2 * fatal_duration_s(entry.level.ends)
        ]
        for digest in old:
            del self._entries[digest]

    def _raise_level(self, digest: bytes, level: SuspicionLevel, at_s: float) -> bool:
        """Believe the higher of two beliefs."""
        if level <= self.level(digest):
            return False
        self.revision += 1
        self._entries.pop(digest, None)
        self._entries[digest] = _Entry(level, at_s, self.revision)
        if len(self._entries) > MAX_REQUESTS:
            self._evict_one()
        return True

    def _evict_one(self) -> None:
        """Make room: those held fatal stay as long as there are others."""
        evictable = (item for item, entry in self._entries.items() if entry.level.ends < FATAL_ENDS)
        digest = next(evictable, next(iter(self._entries)))
        del self._entries[digest]
