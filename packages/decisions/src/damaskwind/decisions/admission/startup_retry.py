"""Choose when a caller should retry that is refused because no configuration is known yet.

A router that starts alone has a configuration within a fraction of a second. When a whole fleet
starts at once, as after a loss of power, the replicas start too, and then all routers fetch the
configuration from them at the same moment. A caller makes only a few attempts, so it should not
return before that, nor at the same moment as all others.
"""

from random import Random

__all__ = ["draw_startup_retry_after_s"]

# Replicas on a quarter of a core need about a second to start, and their first updates and
# documents to all routers as long again.
FLEET_START_S = (0.8, 1.8)
# A replica that answers has the configuration; the fetch may wait behind those of other routers.
FETCH_S = (0.4, 1.0)


def draw_startup_retry_after_s(uptime_s: float, hears_replica: bool, random: Random) -> float:
    """Return the seconds after which to retry.

    `uptime_s` is how long this router has run; `hears_replica` tells whether a replica has
    answered it.

    >>> 0.8 <= draw_startup_retry_after_s(0.0, False, Random(1)) <= 1.8
    True
    >>> 0.4 <= draw_startup_retry_after_s(5.0, True, Random(1)) <= 1.0
    True
    """
    if hears_replica:
        return round(random.uniform(*FETCH_S), 3)
    earliest_s, latest_s = FLEET_START_S
    elapsed_s = min(uptime_s, earliest_s - FETCH_S[0])
    return round(random.uniform(earliest_s - elapsed_s, latest_s - elapsed_s), 3)
