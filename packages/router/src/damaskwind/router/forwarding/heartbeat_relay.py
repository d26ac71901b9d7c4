"""Take the heartbeats of targets that a replica sent to this router, and tell the replicas.

Only a heartbeat that says nothing new is taken. A target that starts, leaves or moves is told to
go to a replica, which alone makes sure that all others know before it acknowledges that.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.wire.news import Heard

__all__ = ["HeartbeatRelay"]

# Told in so many seconds' calls: two of each replica, as replicas tell each other.
HEARD_S = 2.5


class _Heartbeat(NamedTuple):
    """A heartbeat that was heard here."""

    at_s: float
    sequence: int
    born_ms: int


class HeartbeatRelay:
    """The heartbeats that one router hears.

    `is_in_touch` tells whether what is heard here reaches the replicas.
    """

    def __init__(self, table: TargetTable, is_in_touch: Callable[[], bool]) -> None:
        self._table = table
        self._is_in_touch = is_in_touch
        self._heard: dict[str, _Heartbeat] = {}

    def take(self, record: TargetRecord) -> bool:
        """Take a report; tell whether it may be acknowledged here."""
        if not self._is_in_touch() or not self._table.is_heartbeat(record):
            return False
        before = self._heard.get(record.target_id)
        is_late = before is not None and (before.born_ms, before.sequence) >= (
            record.born_ms,
            record.sequence,
        )
        if not is_late:
            now_s = time.monotonic()
            self._heard[record.target_id] = _Heartbeat(now_s, record.sequence, record.born_ms)
            self._table.hear(record.target_id, now_s, record.born_ms)
        return True

    def heard(self) -> tuple[Heard, ...]:
        """Return which targets were heard here lately."""
        now_s = time.monotonic()
        self._heard = {key: one for key, one in self._heard.items() if now_s - one.at_s < HEARD_S}
        return tuple(
            Heard(key, round(now_s - one.at_s, 2), one.born_ms) for key, one in self._heard.items()
        )
