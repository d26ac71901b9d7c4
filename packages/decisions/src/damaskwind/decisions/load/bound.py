"""Turn the mean load into the levels at which chats spill, and thin them evenly.

Routers that act on the same lagged report at once would empty a target that is
over its bound and fill another one. So the share of chats that spill grows
gradually between two levels below the bound, and which chats spill is drawn by a
hash of chat and target, not by chance: every router spills the same chats, and a
chat that spilled keeps spilling while the target stays as loaded as it is.
"""

from typing import NamedTuple

import xxhash

__all__ = ["LoadLevels", "SpillRamp", "levels_for", "spill_draw", "spill_share"]

_DRAW_SCALE = 1.0 / (1 << 64)
_DRAW_SEED = 0x7468696E


class SpillRamp(NamedTuple):
    """Where spilling is half complete, and how wide the way there is.

    `centre` is a share of the way from the mean to the bound; `half_width_sds`
    is counted in standard deviations of the estimate's error, so that the share
    that spills is near the chance that the target is really over the centre. It
    is never less than `min_half_width`, again a share of the way from the mean.
    """

    centre: float
    half_width_sds: float
    min_half_width: float


class LoadLevels(NamedTuple):
    """The levels of one target in tokens: no chat spills at `start`, all at `full`."""

    start_tokens: float
    full_tokens: float
    bound_tokens: float


def levels_for(
    ramp: SpillRamp,
    mean_tokens: float,
    load_factor: float,
    error_sd_tokens: float,
    min_headroom_tokens: float,
    capacity_tokens: float,
) -> LoadLevels:
    """Return the levels of a target.

    The older the report, the larger the error and the more gradual the spilling:
    a loop that reacts as sharply to old news as to fresh news swings. The way
    from the mean to the bound is at least `min_headroom_tokens`: at a low load a
    request or two would else count as a hot target.

    >>> levels_for(SpillRamp(0.5, 2.0, 0.1), 100.0, 1.5, 10.0, 0.0, 1000.0)
    LoadLevels(start_tokens=105.0, full_tokens=145.0, bound_tokens=150.0)
    """
    headroom_tokens = max(mean_tokens * (load_factor - 1.0), min_headroom_tokens)
    centre_tokens = mean_tokens + ramp.centre * headroom_tokens
    half_width_tokens = max(
        ramp.half_width_sds * error_sd_tokens, ramp.min_half_width * headroom_tokens
    )
    start = max(centre_tokens - half_width_tokens, 0.0)
    full = centre_tokens + half_width_tokens
    bound = mean_tokens + headroom_tokens
    return LoadLevels(
        min(start, capacity_tokens), min(full, capacity_tokens), min(bound, capacity_tokens)
    )


def spill_share(load_tokens: float, levels: LoadLevels) -> float:
    """Return the share of chats that spill at a load.

    >>> spill_share(110.0, LoadLevels(100.0, 120.0, 125.0))
    0.5
    """
    if load_tokens <= levels.start_tokens:
        return 0.0
    if load_tokens >= levels.full_tokens:
        return 1.0
    return (load_tokens - levels.start_tokens) / (levels.full_tokens - levels.start_tokens)


def spill_draw(chat_key: bytes, target_seed: int) -> float:
    """Draw a number in [0, 1) for a chat at a target, the same on every router."""
    return xxhash.xxh3_64_intdigest(chat_key, target_seed ^ _DRAW_SEED) * _DRAW_SCALE
