"""Seeded schedules of link faults, without I/O."""

import random
from typing import NamedTuple

from damaskwind.standins.impairment import Impairment, LinkImpairment

__all__ = ["FAULT_KINDS", "ScheduledFault", "seeded_schedule"]

_BLACKHOLE = Impairment(blackhole=True)
_SLOW = Impairment(delay_s=0.05, jitter_s=0.05)
_LOSSY = Impairment(drop_share=0.2, reorder_share=0.2)
_NARROW = Impairment(bytes_per_s=20_000)
_CORRUPT = Impairment(corrupt_share=0.05)

FAULT_KINDS: dict[str, LinkImpairment] = {
    "blackhole_to_target": LinkImpairment(to_target=_BLACKHOLE),
    "blackhole_to_caller": LinkImpairment(to_caller=_BLACKHOLE),
    "blackhole": LinkImpairment(_BLACKHOLE, _BLACKHOLE),
    "slow": LinkImpairment(_SLOW, _SLOW),
    "lossy": LinkImpairment(_LOSSY, _LOSSY),
    "narrow": LinkImpairment(_NARROW, _NARROW),
    "corrupt": LinkImpairment(_CORRUPT, _CORRUPT),
}


class ScheduledFault(NamedTuple):
    """A fault of one link: `direction` holds the impairments from `start_s` to `end_s`."""

    start_s: float
    end_s: float
    link: str
    kind: str
    direction: LinkImpairment


def seeded_schedule(
    rng: random.Random,
    links: list[str],
    duration_s: float,
    faults: int,
    longest_s: float,
    kinds: tuple[str, ...] = tuple(FAULT_KINDS),
) -> list[ScheduledFault]:
    """Draw a schedule; all faults end within `duration_s`, so that all links end unimpaired.

    >>> one = seeded_schedule(random.Random(1), ["a", "b"], 10.0, 3, 2.0)
    >>> one == seeded_schedule(random.Random(1), ["a", "b"], 10.0, 3, 2.0)
    True
    >>> max(fault.end_s for fault in one) <= 10.0
    True
    """
    schedule = []
    for _ in range(faults):
        start_s = rng.uniform(0.0, duration_s)
        end_s = min(start_s + rng.uniform(0.1, longest_s), duration_s)
        kind = rng.choice(kinds)
        link = rng.choice(links)
        schedule.append(ScheduledFault(start_s, end_s, link, kind, FAULT_KINDS[kind]))
    return sorted(schedule)
