"""Choose when a caller that is turned away should come back.

The pattern: all that were turned away in a surge come back at one moment, or while
it lasts, and are turned away again; a caller asks but a few times. A surge that has
just begun may be over in a moment: then they come back within their objective. Of one
that lasts nothing is known but its age, which is the best guess of what is still to
come; whoever comes back is late by then, so that later costs little, and a refusal
more all. The times are spread evenly up to a third of what the caller has left: what
is named beyond that is not honoured.
"""

from random import Random

__all__ = ["draw_retry_after_pause_s", "draw_retry_after_s"]

# A caller comes back after this part of its objective at the earliest: early enough
# to be served within it, late enough that a place may be free.
MIN_OBJECTIVE_FRACTION = 0.3
MIN_RETRY_AFTER_S = 0.05
MAX_REMAINING_FRACTION = 1.0 / 3.0
# A surge younger than this may be a clump of requests that came together.
BURST_S = 0.3


def draw_retry_after_s(
    objective_s: float, remaining_s: float, surge_age_s: float, random: Random
) -> float:
    """Return the seconds after which to come back.

    `remaining_s` is the time that the caller has, `surge_age_s` for how long requests
    have been turned away.

    >>> draw_retry_after_s(1.0, 9.0, 0.0, Random(1))
    0.3
    >>> 1.65 <= draw_retry_after_s(1.0, 9.0, 2.0, Random(1)) <= 3.0
    True
    """
    min_s = max(MIN_OBJECTIVE_FRACTION * objective_s, MIN_RETRY_AFTER_S)
    if surge_age_s < BURST_S:
        return round(min_s, 3)
    upper_s = max(MAX_REMAINING_FRACTION * remaining_s, min_s)
    lower_s = min(max(surge_age_s, min_s), (min_s + upper_s) / 2)
    return round(random.uniform(lower_s, upper_s), 3)


def draw_retry_after_pause_s(pause_left_s: float, objective_s: float, random: Random) -> float:
    """Return when to come back to targets that all want no requests for so long.

    >>> 2.5 <= draw_retry_after_pause_s(2.5, 0.2, Random(1)) <= 2.7
    True
    """
    return round(pause_left_s + random.uniform(0.0, objective_s), 3)
