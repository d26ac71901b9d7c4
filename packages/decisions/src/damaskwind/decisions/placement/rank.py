"""Rank targets for a chat by rendezvous hashing.

Each pair of chat and target has a score, and a chat ranks the targets by decreasing
score. A target that leaves moves only the chats that ranked it first; one that
returns gets exactly these chats back. Thaler and Ravishankar, "Using name-based
mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Sequence

import xxhash

__all__ = ["rank_order", "scores", "target_seed"]


def target_seed(target_id: str) -> int:
    """Return the hash seed of a target."""
    return xxhash.xxh3_64_intdigest(target_id.encode())


def scores(chat_key: bytes, seeds: Sequence[int]) -> list[int]:
    """Return the chat's score for each target."""
    digest = xxhash.xxh3_64_intdigest
    return [digest(chat_key, seed) for seed in seeds]


def rank_order(chat_scores: Sequence[int]) -> list[int]:
    """Return the positions of the targets by decreasing score.

    >>> rank_order([5, 9, 7])
    [1, 2, 0]
    """
    return sorted(range(len(chat_scores)), key=chat_scores.__getitem__, reverse=True)
