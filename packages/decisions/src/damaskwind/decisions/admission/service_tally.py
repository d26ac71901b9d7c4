"""Count what one router saw of a service in the last second."""

from collections import deque
from typing import NamedTuple

from damaskwind.decisions.admission.service_pace import ServiceStats

__all__ = ["ServiceReport", "ServiceTally"]

# What was seen counts for so long, and is kept in as many parts as follow.
WINDOW_S = 1.0
SLOTS = 4


class ServiceReport(NamedTuple):
    """What was seen of a service, which its digest stands for."""

    service: int
    stats: ServiceStats


class _Slot(NamedTuple):
    started_s: float
    stats: ServiceStats


class ServiceTally:
    """A sliding sum of what was seen.

    >>> tally = ServiceTally()
    >>> tally.add(ServiceStats(asked=1), 0.0); tally.add(ServiceStats(asked=1, answered=1), 0.6)
    >>> tally.recent(0.9).asked, tally.recent(1.3).asked, tally.recent(3.0)
    (2, 1, ServiceSeen(asked=0, answered=0, late=0, turned_away=0, busy_ms=0))
    """

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()

    def add(self, stats: ServiceStats, now_s: float) -> None:
        """Note what was seen now."""
        slot = self._slots[-1] if self._slots else None
        if slot is None or now_s - slot.started_s >= WINDOW_S / SLOTS:
            self._slots.append(_Slot(now_s, stats))
        else:
            self._slots[-1] = slot._replace(stats=slot.stats.plus(stats))
        self._drop_expired(now_s)

    def recent(self, now_s: float) -> ServiceStats:
        """Return what was seen in the last second."""
        self._drop_expired(now_s)
        total = ServiceStats()
        for slot in self._slots:
            total = total.plus(slot.stats)
        return total

    def _drop_expired(self, now_s: float) -> None:
        while self._slots and now_s - self._slots[0].started_s >= WINDOW_S:
            self._slots.popleft()
