"""A log of cache events as engines publish them: delayed and with gaps."""

import random
from collections import deque
from typing import Any, NamedTuple

from damaskwind.standins.prefix_cache import CachedPrefix

__all__ = ["CacheEventLog"]

_MAX_EVENTS = 5000


class _Event(NamedTuple):
    """One cache event and its time."""

    sequence: int
    time_s: float
    kind: str
    prefix: CachedPrefix


class CacheEventLog:
    """The last `_MAX_EVENTS` events, readable after `delay_s`; `loss_share` of them are lost."""

    def __init__(self, delay_s: float, loss_share: float, rng: random.Random) -> None:
        self._delay_s = delay_s
        self._loss_share = loss_share
        self._rng = rng
        self._next_sequence = 1
        self._events: deque[_Event] = deque(maxlen=_MAX_EVENTS)

    def record(self, now_s: float, kind: str, prefix: CachedPrefix) -> None:
        """Record an event; a lost event still consumes a sequence number."""
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._rng.random() >= self._loss_share:
            self._events.append(_Event(sequence, now_s, kind, prefix))

    def read(self, now_s: float, after: int) -> dict[str, Any]:
        """Return the events after a sequence number, the number to continue from and the loss."""
        visible = [
            event
            for event in self._events
            if event.sequence > after and event.time_s <= now_s - self._delay_s
        ]
        last = visible[-1].sequence if visible else after
        events = [
            {
                "sequence": event.sequence,
                "kind": event.kind,
                "digest": event.prefix.digest,
                "tokens": event.prefix.tokens,
            }
            for event in visible
        ]
        return {"next": last, "lost": last - after - len(visible), "events": events}
