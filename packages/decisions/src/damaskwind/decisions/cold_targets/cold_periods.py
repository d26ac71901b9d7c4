"""Track which targets are cold, and when this router may send a request to one of them."""

from random import Random
from typing import NamedTuple

from damaskwind.decisions.cold_targets.send_slots import SendSlots

__all__ = ["WARM", "ColdPeriods", "ColdStartLimits", "ColdState"]


class ColdStartLimits(NamedTuple):
    """The limits for cold targets of a service, as configured by the operator.

    A target is cold for `start_s` after its start and can handle `per_s` requests per second from
    all routers together. Both are 0 if not configured; then the rate is not limited.
    """

    start_s: float = 0.0
    per_s: float = 0.0


class ColdState(NamedTuple):
    """Whether a target is cold, and whether it may be sent a request now."""

    is_cold: bool
    may_send: bool


# Fractional parts of its multiples are evenly spread over [0, 1): if all targets are cold, a
# router's send slots for them are spread over time.
GOLDEN_RATIO_STEP = 0.618034
WARM = ColdState(False, True)


class _ColdPeriod(NamedTuple):
    until_s: float
    slots: SendSlots


class ColdPeriods:
    """The cold targets that one router knows.

    The router's send slots are at a random phase relative to other routers, but spread evenly over
    the targets.

    >>> periods = ColdPeriods(Random(1))
    >>> periods.mark_cold("t", now_s=0.0, cold_s=3.0)
    >>> limits = ColdStartLimits(3.0, 14.0)
    >>> periods.cold_state("t", limits, routers=60, now_s=0.1)
    ColdState(is_cold=True, may_send=False)
    >>> periods.cold_state("t", limits, 60, 3.0)
    ColdState(is_cold=False, may_send=True)
    >>> periods.cold_state("t", ColdStartLimits(), 60, 0.1)
    ColdState(is_cold=False, may_send=True)
    """

    def __init__(self, random: Random) -> None:
        self._phase = random.random()
        self._periods: dict[str, _ColdPeriod] = {}

    def mark_cold(self, target_id: str, now_s: float, cold_s: float) -> None:
        """Record that a target is cold for `cold_s` from now; an earlier end is extended."""
        until_s = now_s + cold_s
        known = self._periods.get(target_id)
        if known is None or known.until_s <= now_s:
            self._phase = (self._phase + GOLDEN_RATIO_STEP) % 1.0
            self._periods[target_id] = _ColdPeriod(until_s, SendSlots(now_s, self._phase))
        elif known.until_s < until_s:
            self._periods[target_id] = known._replace(until_s=until_s)

    def is_tracked(self, target_id: str) -> bool:
        """Return whether a target is cold or was cold recently."""
        return target_id in self._periods

    def cold_state(
        self, target_id: str, limits: ColdStartLimits, routers: int, now_s: float
    ) -> ColdState:
        """Return whether a target is cold, and whether this router may send there now."""
        period = self._periods.get(target_id)
        if period is None or not limits.per_s:
            return WARM
        if period.until_s <= now_s:
            del self._periods[target_id]
            return WARM
        return ColdState(True, period.slots.is_open(now_s, routers, limits.per_s))

    def record_sent(self, target_id: str, limits: ColdStartLimits, routers: int) -> None:
        """Record that a request is being sent to a target."""
        period = self._periods.get(target_id)
        if period is not None and limits.per_s:
            period.slots.record_sent(routers, limits.per_s)

    def forget(self, target_id: str) -> None:
        """Remove a target that is gone."""
        self._periods.pop(target_id, None)

    def count(self, now_s: float) -> int:
        """Return how many targets are cold now."""
        return sum(period.until_s > now_s for period in self._periods.values())
