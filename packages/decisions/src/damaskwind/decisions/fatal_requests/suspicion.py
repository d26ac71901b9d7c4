"""Distinguish what crashes the targets that run it from what is merely in flight there.

Suspects are whole requests, parts of prompts, and groups of these that nothing has told apart;
each is known by a digest, and called a request below. When a target ends, every request that it
had in flight becomes suspected. A request that is sent again and completes is cleared. A request
that was sent when a target's end under it was already known, and whose next target ends too, goes
up one level. Only such ends count, so that any number of targets that end together raise a request
by one level, and a request that is made all the time is cleared between two ends. At level
`FATAL_ENDS` the request is fatal and not sent for some time. Such a request is known as a query of
death or a poison message.

The state of a request is two numbers: how often it was cleared, then how many targets ended
since. Of two states the higher one wins, compared in that order, so that the tables of routers
and replicas can be merged in any order and any number of times ("Conflict-free Replicated Data
Types", Shapiro, Preguiça, Baquero and Zawirski, SSS 2011).

>>> table = SuspicionTable()
>>> for _ in range(3):
...     changed = table.record_target_end(b"digest", table.level(b"digest"), now_s=0.0)
>>> table.standing(b"digest", now_s=1.0)
<Standing.FATAL: 'fatal'>
"""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from itertools import islice
from typing import NamedTuple

__all__ = [
    "FATAL_ENDS",
    "FATAL_TTL_S",
    "MAX_REPEATED",
    "Standing",
    "Suspicion",
    "SuspicionLevel",
    "SuspicionTable",
    "fatal_duration_s",
]

# How many targets may end under a request before it is no longer sent.
FATAL_ENDS = 3
# A suspicion expires this long after the last end, that of a fatal request after a day: until
# then it comes again without another target's end.
SUSPICION_TTL_S = 600.0
FATAL_TTL_S = 86_400.0
# How long a request is fatal at first, and the factor after each trial that ended a target. A
# request that is not the cause is cleared by its first trial; one that is ends three targets a day.
FATAL_BASE_S = 60.0
FATAL_GROWTH = 30
# How many of the requests that became fatal last are repeated by all replicas: 176 bytes.
MAX_REPEATED = 16
# At 150 bytes each in a router's memory. A lost target adds as many as it had in flight.
MAX_REQUESTS = 4096
# How many changes are told out of turn, since a request is or will soon be fatal.
MAX_URGENT = 64


class Standing(StrEnum):
    """How a request may be handled."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    FATAL = "fatal"


class SuspicionLevel(NamedTuple):
    """How often a request was cleared, and how many targets have ended under it since then."""

    cleared: int = 0
    ends: int = 0


class Suspicion(NamedTuple):
    """The state of one request as exchanged between processes; it last changed `age_s` ago."""

    digest: bytes
    cleared: int
    ends: int
    age_s: float


class _Entry(NamedTuple):
    level: SuspicionLevel
    at_s: float
    revision: int
    first_end_s: float


def fatal_duration_s(ends: int) -> float:
    """Return how long a request is fatal after this number of targets ended under it.

    >>> fatal_duration_s(3), fatal_duration_s(5)
    (60.0, 54000.0)
    """
    return FATAL_BASE_S * FATAL_GROWTH ** (ends - FATAL_ENDS)


def _ttl_s(ends: int) -> float:
    """Return how long after the last end a request is remembered."""
    if ends < FATAL_ENDS:
        return SUSPICION_TTL_S
    return FATAL_TTL_S + 2 * fatal_duration_s(ends)


class SuspicionTable:
    """The suspected requests, as known to one process. Times are monotonic.

    `revision` grows with each change, so that other processes can request the changes. A
    different `jitter` (0 to 1) in each router keeps them from trying a request at the same time.
    """

    def __init__(self, jitter: float = 0.0) -> None:
        self.revision = 0
        self._duration_factor = 1.0 + jitter
        # In order of the last change.
        self._entries: dict[bytes, _Entry] = {}
        self._last_fatal: deque[bytes] = deque(maxlen=MAX_REPEATED)

    def __len__(self) -> int:
        return len(self._entries)

    def level(self, digest: bytes) -> SuspicionLevel:
        """Return the level of a request."""
        entry = self._entries.get(digest)
        return entry.level if entry else SuspicionLevel()

    def first_end_s(self, digest: bytes) -> float | None:
        """Return when the first end under a request became known here since it was cleared."""
        entry = self._entries.get(digest)
        return entry.first_end_s if entry and entry.level.ends else None

    def standing(self, digest: bytes, now_s: float, skipped_trials: int = 0) -> Standing:
        """Return the current standing of a request, of which another process makes the next trials.

        It is fatal here until after as many trials as are skipped, had each ended a target.
        """
        entry = self._entries.get(digest)
        if entry is None or not entry.level.ends:
            return Standing.CLEAR
        ends = entry.level.ends
        is_fatal = (
            ends >= FATAL_ENDS
            and now_s - entry.at_s < self._duration_factor * fatal_duration_s(ends + skipped_trials)
        )
        return Standing.FATAL if is_fatal else Standing.SUSPECTED

    def may_retry(self, digest: bytes) -> bool:
        """Return whether a request may be retried on another target after an end under it.

        A single end may have had another cause.
        """
        return self.level(digest).ends <= 1

    def count(self, standing: Standing, now_s: float) -> int:
        """Return how many requests have this standing."""
        return sum(self.standing(digest, now_s) is standing for digest in self._entries)

    def digests(self) -> list[bytes]:
        """Return the digests of all requests in the table."""
        return list(self._entries)

    def changed_after(self, at_s: float) -> list[bytes]:
        """Return the digests of the requests whose state changed after a time.

        >>> table = SuspicionTable()
        >>> table.record_target_end(b"old", table.level(b"old"), now_s=1.0)
        True
        >>> table.record_target_end(b"new", table.level(b"new"), now_s=9.0)
        True
        >>> table.changed_after(5.0)
        [b'new']
        """
        return [digest for digest, entry in self._entries.items() if entry.at_s > at_s]

    def record_target_end(self, digest: bytes, level: SuspicionLevel, now_s: float) -> bool:
        """Record that a target ended under a request, which had this level when it was sent.

        Return whether that changed the table.
        """
        return self._raise_level(digest, level._replace(ends=level.ends + 1), now_s)

    def record_completion(self, digest: bytes, now_s: float) -> bool:
        """Clear a request that a target completed; return whether that changed the table."""
        level = self.level(digest)
        return level.ends > 0 and self._raise_level(
            digest, SuspicionLevel(level.cleared + 1), now_s
        )

    def merge(self, items: Iterable[Suspicion], now_s: float) -> list[bytes]:
        """Merge entries of another process; return the requests whose state changed."""
        return [
            item.digest
            for item in items
            if self._raise_level(
                item.digest, SuspicionLevel(item.cleared, item.ends), now_s - item.age_s
            )
        ]

    def entries(self, digests: Iterable[bytes], now_s: float) -> tuple[Suspicion, ...]:
        """Return the entries of those of these requests that are in the table."""
        entries = ((digest, self._entries.get(digest)) for digest in digests)
        return tuple(
            Suspicion(digest, *entry.level, round(max(now_s - entry.at_s, 0.0), 1))
            for digest, entry in entries
            if entry is not None
        )

    def changed_since(
        self, revision: int, limit: int, now_s: float
    ) -> tuple[tuple[Suspicion, ...], int]:
        """Return up to `limit` changes after a revision, oldest first, and the last revision.

        Of later ones, those of requests that lack one end to be fatal, or are fatal, come as well:
        they must be known soon. They come again when their turn comes.

        >>> table = SuspicionTable()
        >>> for digest, ends in ((b"a", 1), (b"b", 1), (b"c", 2)):
        ...     changed = table.merge([Suspicion(digest, 0, ends, 0.0)], now_s=0.0)
        >>> items, revision = table.changed_since(0, limit=1, now_s=0.0)
        >>> [item.digest for item in items], revision
        ([b'a', b'c'], 1)
        """
        newer = []
        for digest, entry in reversed(self._entries.items()):
            if entry.revision <= revision:
                break
            newer.append((digest, entry.revision))
        newer.reverse()
        page, later = newer[:limit], newer[limit:]
        last_revision = page[-1][1] if page else max(revision, self.revision)
        urgent = (digest for digest, _ in later if self.level(digest).ends >= FATAL_ENDS - 1)
        digests = [digest for digest, _ in page] + list(islice(urgent, MAX_URGENT))
        return self.entries(digests, now_s), last_revision

    def recently_fatal(self, within_s: float, now_s: float) -> tuple[Suspicion, ...]:
        """Return the requests that became fatal last, of those that changed within a time.

        >>> table = SuspicionTable()
        >>> table.merge([Suspicion(b"a", 0, 3, 0.0), Suspicion(b"b", 0, 2, 0.0)], now_s=9.0)
        [b'a', b'b']
        >>> [item.digest for item in table.recently_fatal(3.0, 10.0)]
        [b'a']
        """
        oldest_s = now_s - within_s
        entries = ((digest, self._entries.get(digest)) for digest in self._last_fatal)
        recent = [digest for digest, entry in entries if entry and entry.at_s > oldest_s]
        return self.entries(recent, now_s)

    def forget(self, now_s: float) -> None:
        """Drop expired entries."""
        old = [
            digest
            for digest, entry in self._entries.items()
            if now_s - entry.at_s > _ttl_s(entry.level.ends)
        ]
        for digest in old:
            del self._entries[digest]

    def _raise_level(self, digest: bytes, level: SuspicionLevel, at_s: float) -> bool:
        """Store a level if it is higher than the known one; return whether it was."""
        if level <= self.level(digest):
            return False
        self.revision += 1
        before = self._entries.pop(digest, None)
        is_first = before is None or before.level.cleared != level.cleared or not before.level.ends
        first_end_s = at_s if is_first else before.first_end_s
        self._entries[digest] = _Entry(level, at_s, self.revision, first_end_s)
        if level.ends >= FATAL_ENDS and digest not in self._last_fatal:
            self._last_fatal.append(digest)
        if len(self._entries) > MAX_REQUESTS:
            self._evict_one()
        return True

    def _evict_one(self) -> None:
        """Evict the oldest entry, preferably one that is not fatal."""
        evictable = (item for item, entry in self._entries.items() if entry.level.ends < FATAL_ENDS)
        digest = next(evictable, next(iter(self._entries)))
        del self._entries[digest]
