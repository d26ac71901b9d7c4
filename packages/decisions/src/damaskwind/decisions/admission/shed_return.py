"""Choose when a shed caller should return, by the capacity left in each coming second.

All routers report how many callers they have told to return in each of the next seconds. What
the fleet starts per second, less these, is left for further ones. A caller returns within the
time that it honours, in each second with a probability in proportion to what is left of it.
Breakwater (Cho and others, "Overload Control for Microsecond-scale RPCs with Breakwater", OSDI
2020) sends credits to clients instead, which callers of HTTP can't hold.
"""

from random import Random

__all__ = ["draw_return_s"]

# A caller returns after this fraction of its objective at the earliest.
MIN_OBJECTIVE_FRACTION = 0.3
# Callers honour Retry-After up to this fraction of their remaining time.
HONOURED_FRACTION = 1.0 / 3.0


def draw_return_s(
    spare_per_s: tuple[int, ...], objective_s: float, remaining_s: float, random: Random
) -> float:
    """Return the seconds after which to return.

    >>> 0.3 <= draw_return_s((10, 10), 1.0, 6.0, Random(1)) <= 2.0
    True
    >>> draw_return_s((0, 10), 1.0, 6.0, Random(2)) >= 1.0
    True
    """
    min_s = MIN_OBJECTIVE_FRACTION * objective_s
    max_s = max(HONOURED_FRACTION * remaining_s, min_s)
    spans = []
    for index, spare in enumerate(spare_per_s):
        start_s, end_s = max(min_s, float(index)), min(max_s, index + 1.0)
        if end_s > start_s and spare > 0:
            spans.append((start_s, end_s, spare * (end_s - start_s)))
    if not spans:
        return round(random.uniform(min_s, max_s), 3)
    (start_s, end_s, _), *_ = random.choices(spans, [span[2] for span in spans])
    return round(random.uniform(start_s, end_s), 3)
