"""A prompt prefix cache of limited memory with least-recently-used eviction."""

from collections import OrderedDict
from collections.abc import Callable
from itertools import takewhile
from typing import NamedTuple

__all__ = ["CachedPrefix", "PrefixCache"]


class CachedPrefix(NamedTuple):
    """One message of a cached prefix: its digest, its tokens, the prefix before it."""

    digest: str
    tokens: int
    parent: str = ""


def _ignore_event(kind: str, prefix: CachedPrefix) -> None:
    """Take no notice of an event."""


class PrefixCache:
    """Keep prefixes as chains of messages, `limit_tokens` in all.

    A use touches the end of a chain first and its beginning last, so a parent
    is always more recent than its children and the oldest entry has none.

    >>> cache = PrefixCache(10)
    >>> first = [CachedPrefix("a", 4), CachedPrefix("b", 4)]
    >>> cache.store(first)
    >>> cache.matched_tokens(["a", "b", "c"])
    8
    >>> cache.store([CachedPrefix("a", 4), CachedPrefix("x", 4)])
    >>> cache.matched_tokens(["a", "b"])
    4
    """

    def __init__(
        self,
        limit_tokens: int,
        on_event: Callable[[str, CachedPrefix], None] = _ignore_event,
    ) -> None:
        self.limit_tokens = limit_tokens
        self.used_tokens = 0
        self._on_event = on_event
        self._entries: OrderedDict[str, CachedPrefix] = OrderedDict()

    def __contains__(self, digest: str) -> bool:
        return digest in self._entries

    def _matched(self, digests: list[str]) -> list[str]:
        """Return the longest cached prefix."""
        return list(takewhile(self._entries.__contains__, digests))

    def peek_tokens(self, digests: list[str]) -> int:
        """Count the tokens of the longest cached prefix without using it."""
        return sum(self._entries[digest].tokens for digest in self._matched(digests))

    def matched_tokens(self, digests: list[str]) -> int:
        """Count the tokens of the longest cached prefix and mark it as used."""
        matched = self._matched(digests)
        for digest in reversed(matched):
            self._entries.move_to_end(digest)
        return sum(self._entries[digest].tokens for digest in matched)

    def store(self, chain: list[CachedPrefix]) -> None:
        """Store a chain from its first message on and evict what no longer fits."""
        for prefix in reversed(chain):
            if prefix.digest not in self._entries:
                self._entries[prefix.digest] = prefix
                self.used_tokens += prefix.tokens
                self._on_event("stored", prefix)
            self._entries.move_to_end(prefix.digest)
        while self.used_tokens > self.limit_tokens:
            self._evict_oldest()

    def chain(self, digest: str) -> list[CachedPrefix]:
        """Return the whole chain up to `digest`, empty when it is not all there."""
        links: list[CachedPrefix] = []
        while digest:
            prefix = self._entries.get(digest)
            if prefix is None:
                return []
            links.append(prefix)
            digest = prefix.parent
        return links[::-1]

    def _evict_oldest(self) -> None:
        """Drop the least recently used entry."""
        _, prefix = self._entries.popitem(last=False)
        self.used_tokens -= prefix.tokens
        self._on_event("evicted", prefix)

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        while self._entries:
            self._evict_oldest()
