"""Minimal models of chats and engines for the placement benchmark."""

from collections import OrderedDict

import xxhash

from damaskwind.decisions.placement.messages import PoolName
from damaskwind.model.targets import (
    Address,
    LoadReport,
    ModelOffer,
    TargetKind,
    TargetState,
    TargetView,
)

__all__ = [
    "DOMAIN",
    "DECODE_TOKENS_PER_S",
    "POOL",
    "Chat",
    "Engine",
    "engine_report",
    "engine_view",
]

POOL = PoolName("pool", "m", "1")
DOMAIN = "d0"
DECODE_TOKENS_PER_S = 22.7
CACHE_TOKENS = 900_000
CAPACITY_TOKENS = 200_000


class Chat:
    """A chat with its account, digest and history length."""

    __slots__ = ("account", "digest", "history_tokens", "key", "turns_left", "turns_done")

    def __init__(self, account: int, key: str, turns: int) -> None:
        self.account = account
        self.key = key
        self.digest = xxhash.xxh3_128_hexdigest(key.encode())
        self.history_tokens = 0
        self.turns_left = turns
        self.turns_done = 0


class Engine:
    """An engine with its load and an LRU cache of prefixes, both in tokens."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0
        self.load_tokens = 0.0
        self.running = 0
        self.updated_s = 0.0
        self.prefill_free_s = 0.0
        self.published = (0.0, 0.0)
        self.reported_s = 0.0
        self.epoch = 0

    def load_at(self, now_s: float) -> float:
        """Subtract the tokens decoded up to now and return the load."""
        self.load_tokens -= self.running * DECODE_TOKENS_PER_S * (now_s - self.updated_s)
        self.updated_s = now_s
        return self.load_tokens

    def cached_prefix_tokens(self, chat: Chat) -> int:
        """Return the cached tokens of the chat's prompt without updating their recency."""
        shared = self.cache.get(f"account-{chat.account}", 0)
        return max(self.cache.get(chat.digest, 0), shared)

    def store(self, key: str, tokens: int) -> None:
        """Cache a prefix and evict the least recently used ones beyond the limit."""
        self.cached_tokens += tokens - self.cache.pop(key, 0)
        self.cache[key] = tokens
        while self.cached_tokens > CACHE_TOKENS:
            self.cached_tokens -= self.cache.popitem(last=False)[1]

    def restart(self, now_s: float) -> None:
        """Drop the cache and all requests."""
        self.cache.clear()
        self.cached_tokens = self.running = 0
        self.load_tokens = 0.0
        self.updated_s = now_s
        self.epoch += 1


def engine_view(name: str, state: TargetState) -> TargetView:
    """Return a router's view of an engine."""
    offers = (ModelOffer("m", "1"),)
    address = Address("127.0.0.1", 1)
    return TargetView(
        name, 1, TargetKind.ENGINE, "pool", DOMAIN, address, state, 0.0, 0, 0.0, offers
    )


def engine_report(engine: Engine, age_s: float) -> LoadReport:
    """Return an engine's published load."""
    load_tokens = max(0, int(engine.published[0]))
    return LoadReport(load_tokens, CAPACITY_TOKENS, engine.running, 0, age_s)
