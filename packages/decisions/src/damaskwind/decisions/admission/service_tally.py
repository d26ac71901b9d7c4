"""Count what one router observed of a service in the last second."""

from collections import deque
from typing import NamedTuple

from damaskwind.decisions.admission.service_throttle import ServiceStats

__all__ = ["ServiceReport", "ServiceTally"]

# The length of the sliding window, and the number of slots it is divided into.
WINDOW_S = 1.0
SLOTS = 4


class ServiceReport(NamedTuple):
    """The statistics of a service, which is identified by its digest."""

    service: int
    stats: ServiceStats


class _Slot(NamedTuple):
    started_s: float
    stats: ServiceStats


class ServiceTally:
    """A sliding sum of the observations of one service.

    >>> tally = ServiceTally()
    >>> tally.add(ServiceStats(asked=1), 0.0); tally.add(ServiceStats(asked=1, answered=1), 0.6)
    >>> tally.recent(0.9).asked, tally.recent(1.3).asked, tally.recent(3.0)
    (2, 1, ServiceStats(asked=0, answered=0, late=0, turned_away=0, busy_ms=0))
    """

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()

    def add(self, stats: ServiceStats, now_s: float) -> None:
        """Add observations made now."""
        slot = self._slots[-1] if self._slots else None
        if slot is None or now_s - slot.started_s >= WINDOW_S / SLOTS:
            self._slots.append(_Slot(now_s, stats))
        else:
            self._slots[-1] = slot._replace(stats=slot.stats.plus(stats))
        self._drop_expired(now_s)

    def recent(self, now_s: float) -> ServiceStats:
        """Return the sum of the last second."""
        self._drop_expired(now_s)
        total = ServiceStats()
        for slot in self._slots:
            total = total.plus(slot.stats)
        return total

    def _drop_expired(self, now_s: float) -> None:
        while self._slots and now_s - self._slots[0].started_s >= WINDOW_S:
            self._slots.popleft()
