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

__all__ = ["return_after_rest_s", "return_after_s"]

# A caller comes back after this part of its objective at the earliest: early enough
# to be served within it, late enough that a place may be free.
SOONEST_OBJECTIVES = 0.3
SOONEST_S = 0.05
LEFT_SHARE = 1.0 / 3.0
# A surge younger than this may be a clump of requests that came together.
CLUMP_S = 0.3


def return_after_s(objective_s: float, left_s: float, lasted_s: float, random: Random) -> float:
    """Return the seconds after which to come back.

    `left_s` is the time that the caller has, `lasted_s` for how long requests
    have been turned away.

    >>> return_after_s(1.0, 9.0, 0.0, Random(1))
    0.3
    >>> 1.65 <= return_after_s(1.0, 9.0, 2.0, Random(1)) <= 3.0
    True
    """
    soonest_s = max(SOONEST_OBJECTIVES * objective_s, SOONEST_S)
    if lasted_s < CLUMP_S:
        return round(soonest_s, 3)
    latest_s = max(LEFT_SHARE * left_s, soonest_s)
    earliest_s = min(max(lasted_s, soonest_s), (soonest_s + latest_s) / 2)
    return round(random.uniform(earliest_s, latest_s), 3)


def return_after_rest_s(rest_left_s: float, objective_s: float, random: Random) -> float:
    """Return when to come back to targets that all want no requests for so long.

    >>> 2.5 <= return_after_rest_s(2.5, 0.2, Random(1)) <= 2.7
    True
    """
    return round(rest_left_s + random.uniform(0.0, objective_s), 3)
