"""A seeded schedule of faults over the links of a network; pure."""

import random
from typing import NamedTuple

from damaskwind.standins.impairment import Direction, Impairment

__all__ = ["FAULT_KINDS", "ScheduledFault", "seeded_schedule"]

_BLACK = Impairment(blackhole=True)
_SLOW = Impairment(delay_s=0.05, jitter_s=0.05)
_LOSSY = Impairment(drop_share=0.2, reorder_share=0.2)
_NARROW = Impairment(bytes_per_s=20_000)
_CORRUPT = Impairment(corrupt_share=0.05)

FAULT_KINDS: dict[str, Direction] = {
    "blackhole_to_target": Direction(to_target=_BLACK),
    "blackhole_to_caller": Direction(to_caller=_BLACK),
    "blackhole": Direction(_BLACK, _BLACK),
    "slow": Direction(_SLOW, _SLOW),
    "lossy": Direction(_LOSSY, _LOSSY),
    "narrow": Direction(_NARROW, _NARROW),
    "corrupt": Direction(_CORRUPT, _CORRUPT),
}


class ScheduledFault(NamedTuple):
    """From `start_s` to `end_s` the link behaves as `direction` says."""

    start_s: float
    end_s: float
    link: str
    kind: str
    direction: Direction


def seeded_schedule(
    source: random.Random,
    links: list[str],
    duration_s: float,
    faults: int,
    longest_s: float,
    kinds: tuple[str, ...] = tuple(FAULT_KINDS),
) -> list[ScheduledFault]:
    """Draw a schedule; all faults end within `duration_s`, so that it ends healed.

    >>> one = seeded_schedule(random.Random(1), ["a", "b"], 10.0, 3, 2.0)
    >>> one == seeded_schedule(random.Random(1), ["a", "b"], 10.0, 3, 2.0)
    True
    >>> max(fault.end_s for fault in one) <= 10.0
    True
    """
    schedule = []
    for _ in range(faults):
        start_s = source.uniform(0.0, duration_s)
        end_s = min(start_s + source.uniform(0.1, longest_s), duration_s)
        kind = source.choice(kinds)
        link = source.choice(links)
        schedule.append(ScheduledFault(start_s, end_s, link, kind, FAULT_KINDS[kind]))
    return sorted(schedule)
