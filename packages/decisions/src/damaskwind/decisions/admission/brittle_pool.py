"""Bound what one router sends to the brittle targets of a service that reports no load.

A brittle target falls over when it refuses more than a few requests in a second, summed over all
routers. So routers must not find out by refusals how much it bears. Its slots are divided among
them: slot k belongs to router k modulo their number, so that routers with equal traffic never
meet at a slot, and a router whose callers ask for more than others' has more. What finds no slot
waits at the router or is refused there. Where there are fewer slots than routers, each router may
hold one request, at its share of the rate that the slots bear.

Refusals that happen nevertheless reduce the part of the slots that is used, which grows again
while there are none ("additive increase, multiplicative decrease": Chiu and Jain, "Analysis of
the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989).
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from damaskwind.decisions.admission.service_throttle import ServiceStats

__all__ = ["BrittlePool", "BrittleSlots"]

# A target that has not answered for this time no longer counts as brittle.
BRITTLE_TTL_S = 10.0
# A target that refused a request gets no other for this time if there are others.
REFUSED_HOLD_S = 1.0
# The part of the allowed refusals at which fewer slots are used, and by how much.
REFUSED_SHARE = 0.25
DECREASE_FACTOR = 0.7
INCREASE_PER_S = 0.05
MIN_USED_SHARE = 0.3
# Places to wait are used too, up to half as many as slots, while nothing is refused.
MAX_USED_SHARE = 1.5
# The sums are a second old on average, so the effect of a change is not visible sooner.
UPDATE_INTERVAL_S = 1.0
# A part of the slots is divided evenly, since traffic may move to a router that had none.
EVEN_SHARE = 0.2
# A router counts some tens of requests a second, whose number varies by a third.
SHARE_SMOOTHING = 0.25
# In a burst the counts of other routers are up to a second older than those of this one, which
# seems to have most of the traffic. Its share grows by at most this factor with each update.
MAX_SHARE_GROWTH = 1.2
# Part of a slot that is added before fractions are dropped: rounding to the nearest would give all
# routers one more in a burst, when each seems to have more traffic than the others.
ROUNDED_UP = 0.25
# Answers in a second from which their mean time is taken.
MIN_ANSWERS = 5
# The known time of a request grows by at most this factor a second: waiting makes answers longer.
MAX_SLOWDOWN_PER_S = 1.05
DEFAULT_WORK_S = 0.1


class BrittleSlots(NamedTuple):
    """A target, its slots, and the requests that this router holds there."""

    target_id: str
    slots: int
    held: int


class BrittlePool:
    """One router's part of a service's brittle targets.

    >>> pool = BrittlePool()
    >>> pool.observe("a", 3, 0.0); pool.is_brittle(0.5), pool.is_brittle(11.0)
    (True, False)
    >>> slots = [BrittleSlots("a", 2, 0), BrittleSlots("b", 2, 0)]
    >>> pool.set_place(1, 2); pool.free_slots(slots)
    {'b': 1, 'a': 1}
    """

    def __init__(self) -> None:
        self.used_share = MAX_USED_SHARE
        self.traffic_share: float | None = None
        self.work_s = DEFAULT_WORK_S
        self._allowed: dict[str, tuple[int, float]] = {}
        self._refused_s: dict[str, float] = {}
        self._place, self._routers = 0, 1
        self._updated_s = float("-inf")
        self._credit = 1.0
        self._credited_s = float("-inf")

    def observe(self, target_id: str, refusals_per_s: int | None, now_s: float) -> None:
        """Record what a target's answer says: the refusals that it bears, `None` for any."""
        if refusals_per_s is None:
            self._allowed.pop(target_id, None)
        else:
            self._allowed[target_id] = (refusals_per_s, now_s)

    def is_brittle(self, now_s: float) -> bool:
        """Return whether any target said lately that it is brittle."""
        return any(now_s - at_s < BRITTLE_TTL_S for _, at_s in self._allowed.values())

    def record_refusal(self, target_id: str, now_s: float) -> None:
        """Record that a target refused a request for lack of room."""
        self._refused_s[target_id] = now_s

    def has_refused(self, target_id: str, now_s: float) -> bool:
        """Return whether a target refused a request a moment ago."""
        return now_s - self._refused_s.get(target_id, float("-inf")) < REFUSED_HOLD_S

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self._allowed.pop(target_id, None)
        self._refused_s.pop(target_id, None)

    def set_place(self, place: int, routers: int) -> None:
        """Set this router's index among all routers, and their number."""
        self._place, self._routers = place, max(routers, 1)

    def update(self, own: ServiceStats, total: ServiceStats, targets: int, now_s: float) -> None:
        """Update by what this router and all routers observed in the last second."""
        if now_s - self._updated_s < UPDATE_INTERVAL_S or not targets:
            return
        elapsed_s = min(now_s - self._updated_s, 10.0)
        self._updated_s = now_s
        if total.asked:
            share = 1.0 / self._routers if self.traffic_share is None else self.traffic_share
            measured = min(own.asked / total.asked, 1.0)
            share += SHARE_SMOOTHING * (measured - share)
            self.traffic_share = min(share, MAX_SHARE_GROWTH * (self.traffic_share or share))
        if total.answered >= MIN_ANSWERS:
            mean_s = total.busy_ms / total.answered / 1000
            self.work_s = max(0.001, min(mean_s, self.work_s * MAX_SLOWDOWN_PER_S**elapsed_s))
        allowed = min((count for count, _ in self._allowed.values()), default=0)
        if total.turned_away > REFUSED_SHARE * allowed * targets:
            self.used_share = max(MIN_USED_SHARE, self.used_share * DECREASE_FACTOR)
        else:
            self.used_share = min(MAX_USED_SHARE, self.used_share + INCREASE_PER_S * elapsed_s)

    def _share(self) -> float:
        """Return this router's share of the slots."""
        even = 1.0 / self._routers
        if self.traffic_share is None:
            return even
        return EVEN_SHARE * even + (1.0 - EVEN_SHARE) * self.traffic_share

    def describe(self, now_s: float) -> dict[str, float]:
        """Return the figures from which this router's part follows, for the log."""
        return {
            "place": self._place,
            "routers": self._routers,
            "share": round(self._share(), 2),
            "used_share": round(self.used_share, 2),
            "counts_age_s": round(now_s - self._updated_s, 2),
        }

    def free_slots(self, targets: Sequence[BrittleSlots]) -> Mapping[str, int]:
        """Return how many more requests this router may send to each target, own slots first."""
        all_slots = sum(item.slots for item in targets)
        held = sum(item.held for item in targets)
        left = max(1, int(self.used_share * all_slots * self._share() + ROUNDED_UP)) - held
        free = {}
        for target_id in self._in_order(targets):
            item = next(item for item in targets if item.target_id == target_id)
            most = max(1, round(item.slots * self._share()))
            free[target_id] = max(0, min(most - item.held, left))
            left -= free[target_id]
        return free

    def preference(self, targets: Sequence[BrittleSlots]) -> Mapping[str, float]:
        """Return for each target how far it stands back in this router's order, from 0 to 1.

        >>> pool = BrittlePool()
        >>> pool.set_place(1, 2)
        >>> pool.preference([BrittleSlots("a", 2, 0), BrittleSlots("b", 2, 0)])
        {'b': 0.0, 'a': 0.5}
        """
        order = self._in_order(targets)
        return {target_id: index / len(order) for index, target_id in enumerate(order)}

    def _in_order(self, targets: Sequence[BrittleSlots]) -> list[str]:
        """Return the targets in this router's order: neighbours begin with different ones."""
        names = sorted(item.target_id for item in targets)
        first = self._place % len(names) if names else 0
        return names[first:] + names[:first]

    def take(self, all_slots: int, now_s: float) -> bool:
        """Return whether a request may be sent at this router's share of the rate.

        That matters only where there are fewer slots than routers.
        """
        own_slots = self.used_share * all_slots * self._share()
        if own_slots >= 1.0:
            return True
        elapsed_s = max(0.0, now_s - self._credited_s)
        self._credited_s = now_s
        self._credit = min(1.0, self._credit + elapsed_s * own_slots / self.work_s)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
