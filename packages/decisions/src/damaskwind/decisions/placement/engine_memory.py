"""Choose among ranked engines one whose memory has room for a request.

A request is sent only where it fits. A short urgent request also avoids an engine that still
has long prompts to read, unless reading its own shared parts anew elsewhere takes longer
(chunked prefill: Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference with
Sarathi-Serve", OSDI 2024).
"""

from collections.abc import Sequence
from typing import NamedTuple

from damaskwind.decisions.load.engine_tokens import EngineUse
from damaskwind.decisions.load.request_cost import RequestCost

__all__ = [
    "EngineRoom",
    "avoids_prefill",
    "engine_room",
    "first_with_room",
    "free_tokens",
    "is_plausible_use",
    "most_room",
]

# Memory left free for what is not known: what other routers have sent since the sum, and
# outputs that are longer than expected. It is this multiple of the usual change within the
# age of the sum, between these shares of the memory.
CHANGE_MULTIPLE = 2.0
MARGIN_SHARES = (0.03, 0.2)
# An engine that is not the first choice gets the requests of many keys from all routers
# before the next sum shows them, so the margin grows by this factor with each place in the
# ranking, up to a share of the memory.
MARGIN_GROWTH = 2.0
MAX_MARGIN_SHARE = 0.6
# Engines that are tried in the order of the ranking. If all were, an engine that has become
# empty would get what fits nowhere else from all routers before the next sum.
MAX_POSITIONS = 3
# Engines may hold a little more than their memory in requests that wait there. A sum beyond
# this multiple is wrong.
MAX_PLAUSIBLE_SHARE = 2.0
# A request is urgent at this priority, and short if an engine reads its prompt in one chunk.
URGENT_PRIORITY = 0
SHORT_PROMPT_TOKENS = 2048

# Prefill is known from sums of half a second's age, in which an engine reads some ten
# thousand tokens. A smaller difference than two chunks is no reason to leave the home.
MIN_PREFILL_GAIN_TOKENS = 4096


class EngineRoom(NamedTuple):
    """The memory of a target for one request, all in tokens.

    `need_tokens` is what the request adds there. `prefill_ahead_tokens` is what the target
    has yet to read for others, `prefill_tokens` for this request, of which
    `shared_prefill_tokens` for parts that its home has. With `avoids_prefill` the request is
    short and urgent. `held_tokens` and `age_s` are what the room is based on. `margin_tokens`
    are left free of it, and up to `max_margin_tokens` where it is not the first choice.
    """

    free_tokens: float
    need_tokens: int
    prefill_ahead_tokens: int = 0
    prefill_tokens: int = 0
    shared_prefill_tokens: int = 0
    avoids_prefill: bool = False
    held_tokens: int = 0
    age_s: float | None = None
    margin_tokens: float = 0.0
    max_margin_tokens: float = 0.0

    def at_position(self, position: int) -> "EngineRoom":
        """Return the room at a position of the ranking; the margin is larger further down."""
        margin_tokens = self.margin_tokens * (1.0 + MARGIN_GROWTH * position)
        extra_tokens = min(margin_tokens, self.max_margin_tokens) - self.margin_tokens
        return self._replace(free_tokens=self.free_tokens - max(extra_tokens, 0.0))

    def is_usable_at(self, position: int) -> bool:
        """Return whether the request may be sent here at a position of the ranking."""
        is_tried = position < MAX_POSITIONS or self.avoids_prefill
        return is_tried and self.at_position(position).fits

    @property
    def fits(self) -> bool:
        """Return whether the request fits."""
        return self.need_tokens <= self.free_tokens


def avoids_prefill(priority: int, cost: RequestCost) -> bool:
    """Return whether a request is so short and urgent that long prompts ahead delay it much."""
    return priority <= URGENT_PRIORITY and cost.prompt_tokens <= SHORT_PROMPT_TOKENS


def is_plausible_use(use: EngineUse, capacity_tokens: int) -> bool:
    """Return whether an engine can hold what a sum says; what is known here always can be."""
    return use.age_s is None or use.held_tokens <= MAX_PLAUSIBLE_SHARE * capacity_tokens


def _margin_tokens(use: EngineUse, capacity_tokens: int) -> float:
    """Return the memory to be left free for what is not known; an empty engine needs none."""
    if not use.held_tokens:
        return 0.0
    least, most = (share * capacity_tokens for share in MARGIN_SHARES)
    return min(max(CHANGE_MULTIPLE * use.change_tokens, least), most)


def free_tokens(use: EngineUse, capacity_tokens: int) -> float:
    """Return the memory that requests may still take; an empty engine has all of it.

    >>> none = frozenset()
    >>> free_tokens(EngineUse(0, 0, none, none, 0.5, 90.0), 1000)
    1000.0
    >>> free_tokens(EngineUse(500, 0, none, none, 0.5, 90.0), 1000)
    320.0
    """
    return capacity_tokens - use.held_tokens - _margin_tokens(use, capacity_tokens)


def engine_room(
    use: EngineUse, cost: RequestCost, capacity_tokens: int, is_short: bool
) -> EngineRoom:
    """Return the memory of an engine for a request."""
    prefill_tokens = cost.prefill_tokens(use.cached_parts)
    return EngineRoom(
        free_tokens(use, capacity_tokens),
        cost.need_beside(use.held_parts),
        use.prefill_tokens,
        prefill_tokens,
        prefill_tokens - cost.own_tokens,
        is_short,
        use.held_tokens,
        use.age_s,
        _margin_tokens(use, capacity_tokens),
        MAX_MARGIN_SHARE * capacity_tokens,
    )


def first_with_room(rooms: Sequence[EngineRoom | None]) -> int | None:
    """Return the position of the first room that fits, `None` if there is none.

    A short urgent request gets another one if it starts much sooner there.

    >>> long, short = EngineRoom(100, 10, 50_000, avoids_prefill=True), EngineRoom(100, 10)
    >>> first_with_room([EngineRoom(5, 10), EngineRoom(20, 10)]), first_with_room([long, short])
    (1, 1)
    """
    fitting = [
        index for index, room in enumerate(rooms) if room is None or room.is_usable_at(index)
    ]
    if not fitting:
        return None
    first = fitting[0]
    if rooms[first] is None or not rooms[first].avoids_prefill:
        return first
    best = min(fitting, key=lambda index: _prefill_until_start(rooms[index], index))
    gain = _prefill_until_start(rooms[first], first) - _prefill_until_start(rooms[best], best)
    return best if gain >= MIN_PREFILL_GAIN_TOKENS else first


def most_room(rooms: Sequence[EngineRoom]) -> int:
    """Return the position of the room in which the request fits soonest.

    >>> most_room([EngineRoom(5, 10), EngineRoom(9, 10)])
    1
    """
    return max(range(len(rooms)), key=lambda index: _spare(rooms[index]))


def _spare(room: EngineRoom | None) -> float:
    return float("inf") if room is None else room.free_tokens - room.need_tokens


def _prefill_until_start(room: EngineRoom | None, rank: int) -> int:
    """Return the tokens read at a target before the request starts; the home has its parts."""
    if room is None:
        return 0
    cached = room.shared_prefill_tokens if rank == 0 else 0
    return room.prefill_ahead_tokens + room.prefill_tokens - cached
