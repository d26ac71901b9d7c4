"""Compute from the mean load the levels at which chats spill, and the share that spills.

If all routers reacted to the same lagged report at once, they would empty a target that
is over its bound and overload another one. The share of chats that spill therefore grows
gradually between two levels below the bound. Which chats spill is decided by a hash of
chat and target, not at random: every router spills the same chats, and a chat that
spilled keeps spilling while the target's load is unchanged.
"""

from typing import NamedTuple

import xxhash

__all__ = ["LoadLevels", "SpillRamp", "levels_for", "spill_draw", "spill_share"]

_DRAW_SCALE = 1.0 / (1 << 64)
_DRAW_SEED = 0x7468696E


class SpillRamp(NamedTuple):
    """The centre and the width of the load range in which spilling grows.

    At `centre`, a fraction of the headroom from the mean to the bound, half of the
    chats spill. `half_width_sds` is in standard deviations of the estimate's error, so
    that the share that spills approximates the probability that the load really is over
    the centre. The half width is at least `min_half_width`, a fraction of the headroom.
    """

    centre: float
    half_width_sds: float
    min_half_width: float


class LoadLevels(NamedTuple):
    """The levels of one target in tokens: no chat spills up to `start`, all from `full` on."""

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
    """Return the load levels of a target.

    The older the report, the larger the error and the more gradual the spilling:
    a control loop that reacts to old reports as sharply as to fresh ones oscillates.
    The headroom from the mean to the bound is at least `min_headroom_tokens`;
    otherwise one or two requests would make a target hot at a low load.

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
    """Return a hash draw in [0, 1) for a chat at a target, equal on every router."""
    return xxhash.xxh3_64_intdigest(chat_key, target_seed ^ _DRAW_SEED) * _DRAW_SCALE
