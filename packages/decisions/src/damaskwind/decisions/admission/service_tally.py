"""Count what one router saw of a service in the last second."""

from collections import deque
from typing import NamedTuple

from damaskwind.decisions.admission.service_pace import ServiceSeen

__all__ = ["ServiceCount", "ServiceTally"]

# What was seen counts for so long, and is kept in as many parts as follow.
WINDOW_S = 1.0
PARTS = 4


class ServiceCount(NamedTuple):
    """What was seen of a service, which its digest stands for."""

    service: int
    seen: ServiceSeen


class _Part(NamedTuple):
    begun_s: float
    seen: ServiceSeen


class ServiceTally:
    """A sliding sum of what was seen.

    >>> tally = ServiceTally()
    >>> tally.add(ServiceSeen(asked=1), 0.0); tally.add(ServiceSeen(asked=1, answered=1), 0.6)
    >>> tally.recent(0.9).asked, tally.recent(1.3).asked, tally.recent(3.0)
    (2, 1, ServiceSeen(asked=0, answered=0, late=0, turned_away=0, busy_ms=0))
    """

    def __init__(self) -> None:
        self._parts: deque[_Part] = deque()

    def add(self, seen: ServiceSeen, now_s: float) -> None:
        """Note what was seen now."""
        part = self._parts[-1] if self._parts else None
        if part is None or now_s - part.begun_s >= WINDOW_S / PARTS:
            self._parts.append(_Part(now_s, seen))
        else:
            self._parts[-1] = part._replace(seen=part.seen.plus(seen))
        self._forget(now_s)

    def recent(self, now_s: float) -> ServiceSeen:
        """Return what was seen in the last second."""
        self._forget(now_s)
        total = ServiceSeen()
        for part in self._parts:
            total = total.plus(part.seen)
        return total

    def _forget(self, now_s: float) -> None:
        while self._parts and now_s - self._parts[0].begun_s >= WINDOW_S:
            self._parts.popleft()
