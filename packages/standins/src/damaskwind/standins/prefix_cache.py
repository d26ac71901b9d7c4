"""A prompt prefix cache of limited size with least-recently-used eviction."""

from collections import OrderedDict
from collections.abc import Callable
from itertools import takewhile
from typing import NamedTuple

__all__ = ["CachedPrefix", "PrefixCache"]


class CachedPrefix(NamedTuple):
    """One message of a cached prefix; `parent` is the digest of the prefix before it."""

    digest: str
    tokens: int
    parent: str = ""


def _ignore_event(kind: str, prefix: CachedPrefix) -> None:
    """Ignore a cache event."""


class PrefixCache:
    """A cache of message chains that holds at most `limit_tokens` tokens.

    A use moves the entries of a chain to the recent end from the last to the first,
    so that a parent is always more recent than its children and the oldest entry has
    no children.

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

    def _longest_match(self, digests: list[str]) -> list[str]:
        """Return the digests of the longest cached prefix."""
        return list(takewhile(self._entries.__contains__, digests))

    def peek_tokens(self, digests: list[str]) -> int:
        """Return the tokens of the longest cached prefix without marking it as used."""
        return sum(self._entries[digest].tokens for digest in self._longest_match(digests))

    def matched_tokens(self, digests: list[str]) -> int:
        """Return the tokens of the longest cached prefix and mark it as used."""
        matched = self._longest_match(digests)
        for digest in reversed(matched):
            self._entries.move_to_end(digest)
        return sum(self._entries[digest].tokens for digest in matched)

    def store(self, chain: list[CachedPrefix]) -> None:
        """Store a chain, which starts with its first message, and evict down to the limit."""
        for prefix in reversed(chain):
            if prefix.digest not in self._entries:
                self._entries[prefix.digest] = prefix
                self.used_tokens += prefix.tokens
                self._on_event("stored", prefix)
            self._entries.move_to_end(prefix.digest)
        while self.used_tokens > self.limit_tokens:
            self._evict_oldest()

    def chain(self, digest: str) -> list[CachedPrefix]:
        """Return the chain that ends with `digest`, or an empty list if part of it is missing."""
        links: list[CachedPrefix] = []
        while digest:
            prefix = self._entries.get(digest)
            if prefix is None:
                return []
            links.append(prefix)
            digest = prefix.parent
        return links[::-1]

    def _evict_oldest(self) -> None:
        """Evict the least recently used entry."""
        _, prefix = self._entries.popitem(last=False)
        self.used_tokens -= prefix.tokens
        self._on_event("evicted", prefix)

    def clear(self) -> None:
        """Evict everything, as a restart does."""
        while self._entries:
            self._evict_oldest()
