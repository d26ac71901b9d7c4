"""Choose when a rejected caller should retry.

Callers rejected in a surge must not all retry at the same moment, nor while it lasts,
since they would be rejected again and a caller makes only a few attempts. A surge that
has just begun may be over in a moment, so callers retry within their objective. The
remaining duration of a longer surge is estimated by its age, the only thing known of
it. A retry is late by then anyway, so that a later one costs little, while another
rejection may cost the request. The times are spread evenly up to a third of the
caller's remaining time, since callers do not honour longer ones.
"""

from random import Random

__all__ = ["draw_retry_after_pause_s", "draw_retry_after_s"]

# A caller retries after this fraction of its objective at the earliest: early enough
# to be served within it, late enough that a slot may be free.
MIN_OBJECTIVE_FRACTION = 0.3
MIN_RETRY_AFTER_S = 0.05
MAX_REMAINING_FRACTION = 1.0 / 3.0
# A surge younger than this may be a mere burst of requests.
BURST_S = 0.3


def draw_retry_after_s(
    objective_s: float,
    remaining_s: float,
    surge_age_s: float,
    random: Random,
    earliest_start_s: float = 0.0,
) -> float:
    """Return the seconds after which to retry.

    `remaining_s` is the time that the caller has left, `surge_age_s` for how long
    requests have been rejected. Before `earliest_start_s` no target would start an answer.

    >>> draw_retry_after_s(1.0, 9.0, 0.0, Random(1))
    0.3
    >>> draw_retry_after_s(1.0, 9.0, 0.0, Random(1), earliest_start_s=0.5)
    0.5
    >>> 1.65 <= draw_retry_after_s(1.0, 9.0, 2.0, Random(1)) <= 3.0
    True
    """
    min_s = max(MIN_OBJECTIVE_FRACTION * objective_s, MIN_RETRY_AFTER_S)
    if earliest_start_s > min_s:
        min_s = max(min(earliest_start_s, MAX_REMAINING_FRACTION * remaining_s), min_s)
    if surge_age_s < BURST_S:
        return round(min_s, 3)
    upper_s = max(MAX_REMAINING_FRACTION * remaining_s, min_s)
    lower_s = min(max(surge_age_s, min_s), (min_s + upper_s) / 2)
    return round(random.uniform(lower_s, upper_s), 3)


def draw_retry_after_pause_s(pause_left_s: float, objective_s: float, random: Random) -> float:
    """Return after how many seconds to retry while all targets requested a pause.

    >>> 2.5 <= draw_retry_after_pause_s(2.5, 0.2, Random(1)) <= 2.7
    True
    """
    return round(pause_left_s + random.uniform(0.0, objective_s), 3)
