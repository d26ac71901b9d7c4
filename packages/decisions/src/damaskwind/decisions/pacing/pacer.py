"""Hold all control traffic of a router below one budget.

The pacer is a sliding-window rate limiter. It remembers every datagram and
announcement of the last second, in both directions, headers included, and lets
a send go only when the window stays within the budget afterwards. A window of
one second has no burst beyond the budget: whichever second is looked at, what
the router sent in it was sent within the budget.

What arrives can't be refused any more, so it counts first: received bytes push
the router's own sends back. What arrives is itself bounded because every peer
spends at most `SEND_SHARE` of its budget on sends, and because peers choose
whom they send to by a common ring, so that each of them hits another router.

>>> pacer = ControlPacer(1000, now_s=0.0)
>>> pacer.offer("routine", 300, Urgency.ROUTINE, "probe", 0.0)
>>> pacer.offer("leave", 300, Urgency.LEAVE, "news", 0.0)
>>> pacer.take(0.0)
['leave']
>>> pacer.take(1.1)
['routine']
"""

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from damaskwind.decisions.pacing.urgency import MAX_WAIT_S, Urgency

__all__ = ["SEND_SHARE", "UDP_HEADER_BYTES", "ControlPacer", "PacerCounters"]

UDP_HEADER_BYTES = 28
SEND_SHARE = 0.45
WINDOW_S = 1.0
QUEUE_LIMIT = 512


class PacerCounters(NamedTuple):
    """What went through the pacer since it was made, in bytes with headers."""

    sent_bytes: dict[str, int]
    received_bytes: dict[str, int]
    deferred_sends: int
    dropped_sends: int
    mean_bytes_per_s: float
    highest_second_bytes: int


class _Window:
    """The bytes of the last second."""

    def __init__(self) -> None:
        self._entries: deque[tuple[float, int]] = deque()
        self.total_bytes = 0

    def add(self, size_bytes: int, now_s: float) -> None:
        """Count bytes that move now."""
        self._entries.append((now_s, size_bytes))
        self.total_bytes += size_bytes

    def advance(self, now_s: float) -> None:
        """Forget what is a second old."""
        while self._entries and self._entries[0][0] <= now_s - WINDOW_S:
            self.total_bytes -= self._entries.popleft()[1]


class _Waiting(NamedTuple):
    """A send in the queue; the first two fields give its order."""

    urgency: Urgency
    order: int
    size_bytes: int
    expires_s: float
    kind: str
    item: Any


class ControlPacer:
    """The one gate for control sends; sizes are payloads, headers are added here."""

    def __init__(self, bytes_per_s: int, now_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._started_s = now_s
        self._now_s = now_s
        self._all = _Window()
        self._sends = _Window()
        self._queue: list[_Waiting] = []
        self._order = count()
        self._sent: Counter[str] = Counter()
        self._received: Counter[str] = Counter()
        self._deferred = 0
        self._dropped = 0
        self._highest = 0

    def received(
        self, size_bytes: int, kind: str, now_s: float, header_bytes: int = UDP_HEADER_BYTES
    ) -> None:
        """Count bytes that arrived."""
        self._advance(now_s)
        size_bytes += header_bytes
        self._received[kind] += size_bytes
        self._count(size_bytes)

    def offer(self, item: Any, size_bytes: int, urgency: Urgency, kind: str, now_s: float) -> None:
        """Queue a send; `take` returns it when the budget allows."""
        self._advance(now_s)
        expires_s = self._now_s + MAX_WAIT_S[urgency]
        size_bytes += UDP_HEADER_BYTES
        heappush(
            self._queue,
            _Waiting(urgency, next(self._order), size_bytes, expires_s, kind, item),
        )
        if len(self._queue) > QUEUE_LIMIT:
            self._queue.remove(max(self._queue, key=lambda waiting: waiting[:2]))
            self._dropped += 1

    def take(self, now_s: float) -> list[Any]:
        """Return the sends that may go now, the most urgent first."""
        self._advance(now_s)
        going = []
        while self._queue:
            first = self._queue[0]
            if first.expires_s < self._now_s:
                heappop(self._queue)
                self._dropped += 1
                continue
            if not self._allows(first.size_bytes):
                self._deferred += 1
                break
            heappop(self._queue)
            self._sends.add(first.size_bytes, self._now_s)
            self._sent[first.kind] += first.size_bytes
            self._count(first.size_bytes)
            going.append(first.item)
        return going

    def room_bytes(self, now_s: float) -> int:
        """Return how many payload bytes could go now beside what waits."""
        self._advance(now_s)
        waiting = sum(waiting.size_bytes for waiting in self._queue)
        room = min(
            self.bytes_per_s - self._all.total_bytes,
            int(self.bytes_per_s * SEND_SHARE) - self._sends.total_bytes,
        )
        return max(room - waiting - UDP_HEADER_BYTES, 0)

    def counters(self, now_s: float) -> PacerCounters:
        """Return the counters as of now."""
        self._advance(now_s)
        elapsed_s = max(self._now_s - self._started_s, WINDOW_S)
        total = self._sent.total() + self._received.total()
        return PacerCounters(
            dict(self._sent),
            dict(self._received),
            self._deferred,
            self._dropped,
            total / elapsed_s,
            self._highest,
        )

    def _advance(self, now_s: float) -> None:
        """Move to `now_s`; a clock that goes back stands still instead."""
        self._now_s = max(self._now_s, now_s)
        self._all.advance(self._now_s)
        self._sends.advance(self._now_s)

    def _allows(self, size_bytes: int) -> bool:
        """Tell whether a send fits the budget and the share for sends."""
        fits_all = self._all.total_bytes + size_bytes <= self.bytes_per_s
        return fits_all and self._sends.total_bytes + size_bytes <= self.bytes_per_s * SEND_SHARE

    def _count(self, size_bytes: int) -> None:
        """Count bytes of either direction."""
        self._all.add(size_bytes, self._now_s)
        self._highest = max(self._highest, self._all.total_bytes)
