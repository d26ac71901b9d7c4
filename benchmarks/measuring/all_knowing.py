"""Prefix reuse under an oracle placement with the same cache size per engine.

The oracle sees the current state of every cache and ignores load: a chat goes to the
engine that caches most of its prompt, a new chat to the engine with the fewest tokens
placed so far. Engines are down at the same times as in the measured run.
"""

from collections import Counter

from benchmarks.measuring.calendar_load import Turn
from damaskwind.model.prefix import Message, ModelName, prefix_chain
from damaskwind.standins.answers import count_tokens
from damaskwind.standins.prefix_cache import CachedPrefix, PrefixCache

__all__ = ["all_knowing_reuse", "turn_chain"]


def turn_chain(turn: Turn, model: ModelName) -> list[CachedPrefix]:
    """Return the prefix chain of a turn, including its answer."""
    messages = [*turn.messages, Message("assistant", turn.answer)]
    digests = prefix_chain(model, messages)
    return [
        CachedPrefix(digest, count_tokens(message.content), parent)
        for digest, message, parent in zip(digests, messages, ["", *digests], strict=False)
    ]


def _is_up(down_spans: list[tuple[float, float]], at_s: float) -> bool:
    """Return whether an engine is up, given its spans of downtime."""
    return not any(start_s <= at_s < end_s for start_s, end_s in down_spans)


def all_knowing_reuse(
    turns: list[Turn],
    model: ModelName,
    down_spans: dict[str, list[tuple[float, float]]],
    cache_tokens: int,
) -> Counter[str]:
    """Return the prompt tokens reused in each phase."""
    caches = {engine: PrefixCache(cache_tokens) for engine in down_spans}
    placed: Counter[str] = Counter()
    reused: Counter[str] = Counter()
    for turn in turns:
        chain = turn_chain(turn, model)
        digests = [prefix.digest for prefix in chain[:-1]]
        available = [engine for engine in down_spans if _is_up(down_spans[engine], turn.at_s)]
        cached_tokens = {engine: caches[engine].peek_tokens(digests) for engine in available}
        best = max(available, key=lambda engine: (cached_tokens[engine], -placed[engine]))
        if cached_tokens[best] <= chain[0].tokens:
            # Only the system prompt is cached, which is cheap to replicate on every engine.
            best = min(available, key=lambda engine: placed[engine])
        reused[turn.phase] += caches[best].matched_tokens(digests)
        caches[best].store(chain)
        placed[best] += chain[-1].tokens
    return reused
