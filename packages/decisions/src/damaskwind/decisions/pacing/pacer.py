"""Keep all control traffic of a router within one budget.

The pacer is a token bucket that fills at `FILL_SHARE` of the budget's rate and
holds `BURST_S` seconds of the budget. Every datagram and announcement counts, in both
directions and with headers. Received bytes can't be refused any more, so they are
taken from the bucket at once, even below zero, and delay the router's own sends.
Leave messages, probes and their answers may overdraw the bucket by `OVERDRAFT_S`; all
other sends wait until the debt is repaid. So over any time T the router transfers at
most budget x (FILL_SHARE x T + BURST_S + OVERDRAFT_S) bytes, plus what its peers send
beyond that: 0.96 of the budget over ten seconds.

Bytes of streams and calls count in full, but take the bucket no lower than
`STREAM_DEBT_S`: a whole configuration amounts to many seconds of the budget, and a
router that repaid it before its next probe would be considered dead.

Received traffic is itself bounded: every router spends at most `SEND_SHARE` of its
budget on sends in any second, and routers select their peers by a common ring, so that
each sends to a different one; on average a router receives as much as it sends. The rest
of the budget is for announcements and random variation. Of the sends, `PROBE_SHARE` of
the budget is reserved for probes and their answers: if the updates about a failure
starved the failure detector, it would report more failures.

>>> pacer = ControlPacer(2000, now_s=0.0)
>>> pacer.offer("routine", 300, Urgency.ROUTINE, "probe", 0.0)
>>> pacer.offer("leave", 300, Urgency.LEAVE, "news", 0.0)
>>> pacer.pop_ready(0.0)
['leave']
>>> pacer.pop_ready(1.0)
['routine']
"""

from collections import Counter, deque
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from damaskwind.decisions.pacing.urgency import MAX_WAIT_S, Urgency

__all__ = ["SEND_SHARE", "UDP_HEADER_BYTES", "ControlPacer", "PacerCounters"]

UDP_HEADER_BYTES = 28
SEND_SHARE = 0.4
PROBE_SHARE = 0.2
FILL_SHARE = 0.8
BURST_S = 1.0
OVERDRAFT_S = 1.0
STREAM_DEBT_S = 0.5
WINDOW_S = 1.0
LONG_WINDOW_S = 10.0
QUEUE_LIMIT = 512


class PacerCounters(NamedTuple):
    """Traffic since the creation or reset of the counters, in bytes with headers."""

    sent_bytes: dict[str, int]
    received_bytes: dict[str, int]
    deferred_sends: int
    dropped_sends: int
    mean_bytes_per_s: float
    highest_second_bytes: int
    highest_ten_seconds_bytes_per_s: float


class _Window:
    """The bytes transferred in the last `length_s` seconds."""

    def __init__(self, length_s: float = WINDOW_S) -> None:
        self._length_s = length_s
        self._entries: deque[tuple[float, int]] = deque()
        self.total_bytes = 0

    def add(self, size_bytes: int, now_s: float) -> None:
        """Count bytes transferred now."""
        self._entries.append((now_s, size_bytes))
        self.total_bytes += size_bytes

    def advance(self, now_s: float) -> None:
        """Drop entries that are older than the window."""
        while self._entries and self._entries[0][0] <= now_s - self._length_s:
            self.total_bytes -= self._entries.popleft()[1]


class _QueuedSend(NamedTuple):
    """A queued send, ordered by its first two fields."""

    urgency: Urgency
    order: int
    size_bytes: int
    expires_s: float
    kind: str
    item: Any


class ControlPacer:
    """The queue and budget of all control sends; sizes are payloads without headers."""

    def __init__(self, bytes_per_s: int, now_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._started_s = now_s
        self._now_s = now_s
        self._tokens = bytes_per_s * BURST_S
        self._second = _Window()
        self._ten_seconds = _Window(LONG_WINDOW_S)
        self._sends = _Window()
        self._probe_sends = _Window()
        self._queue: list[_QueuedSend] = []
        self._order = count()
        self._sent: Counter[str] = Counter()
        self._received: Counter[str] = Counter()
        self._deferred = 0
        self._dropped = 0
        self._dropped_sends: list[Any] = []
        self._highest_second_bytes = 0
        self._highest_ten_seconds_bytes = 0

    def received(
        self, size_bytes: int, kind: str, now_s: float, header_bytes: int = UDP_HEADER_BYTES
    ) -> None:
        """Count the bytes of a received datagram or announcement."""
        self._advance(now_s)
        size_bytes += header_bytes
        self._received[kind] += size_bytes
        self._count(size_bytes)

    def sent_on_stream(self, size_bytes: int, kind: str, now_s: float) -> None:
        """Count control bytes sent on a stream or call, which is not paced."""
        self._sent[kind] += size_bytes
        self._count_stream_bytes(size_bytes, now_s)

    def received_on_stream(self, size_bytes: int, kind: str, now_s: float) -> None:
        """Count control bytes received on a stream or call."""
        self._received[kind] += size_bytes
        self._count_stream_bytes(size_bytes, now_s)

    def _count_stream_bytes(self, size_bytes: int, now_s: float) -> None:
        """Count bytes, taking the bucket no lower than the debt allowed for streams."""
        self._advance(now_s)
        floor = min(self._tokens, -STREAM_DEBT_S * self.bytes_per_s)
        self._count(size_bytes)
        self._tokens = max(self._tokens, floor)

    def offer(self, item: Any, size_bytes: int, urgency: Urgency, kind: str, now_s: float) -> None:
        """Queue a send; `pop_ready` returns it when the budget allows."""
        self._advance(now_s)
        expires_s = self._now_s + MAX_WAIT_S[urgency]
        size_bytes += UDP_HEADER_BYTES
        heappush(
            self._queue,
            _QueuedSend(urgency, next(self._order), size_bytes, expires_s, kind, item),
        )
        if len(self._queue) > QUEUE_LIMIT:
            least_urgent = max(self._queue, key=lambda queued: queued[:2])
            self._queue.remove(least_urgent)
            heapify(self._queue)
            self._drop(least_urgent)

    def pop_ready(self, now_s: float) -> list[Any]:
        """Return and remove the sends that may go now, the most urgent first."""
        self._advance(now_s)
        ready = []
        while self._queue:
            first = self._queue[0]
            if first.expires_s < self._now_s:
                self._drop(heappop(self._queue))
                continue
            if not self._fits(first):
                self._deferred += 1
                break
            heappop(self._queue)
            self._sends.add(first.size_bytes, self._now_s)
            if first.urgency == Urgency.PROBE:
                self._probe_sends.add(first.size_bytes, self._now_s)
            self._sent[first.kind] += first.size_bytes
            self._count(first.size_bytes)
            ready.append(first.item)
        return ready

    def pop_dropped(self) -> list[Any]:
        """Return and clear the sends that were dropped since the last call."""
        dropped, self._dropped_sends = self._dropped_sends, []
        return dropped

    def headroom_bytes(self, now_s: float) -> int:
        """Return how many payload bytes of updates could be sent now after the queued sends."""
        self._advance(now_s)
        queued_bytes = sum(queued.size_bytes for queued in self._queue)
        return max(self._headroom_bytes(Urgency.JOIN) - queued_bytes - UDP_HEADER_BYTES, 0)

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
            self._highest_second_bytes,
            self._highest_ten_seconds_bytes / LONG_WINDOW_S,
        )

    def reset_counters(self, now_s: float) -> None:
        """Reset the counters; the contents of the windows remain."""
        self._advance(now_s)
        self._started_s = self._now_s
        self._sent.clear()
        self._received.clear()
        self._deferred = self._dropped = 0
        self._highest_second_bytes = self._second.total_bytes
        self._highest_ten_seconds_bytes = self._ten_seconds.total_bytes

    def _advance(self, now_s: float) -> None:
        """Advance to `now_s`; a clock that steps back is taken as standing still."""
        elapsed_s = max(now_s - self._now_s, 0.0)
        self._now_s += elapsed_s
        filled = self._tokens + elapsed_s * self.bytes_per_s * FILL_SHARE
        self._tokens = min(filled, self.bytes_per_s * BURST_S)
        self._second.advance(self._now_s)
        self._ten_seconds.advance(self._now_s)
        self._sends.advance(self._now_s)
        self._probe_sends.advance(self._now_s)

    def _drop(self, queued: _QueuedSend) -> None:
        """Drop a send that has expired or does not fit into the queue."""
        self._dropped += 1
        self._dropped_sends.append(queued.item)

    def _headroom_bytes(self, urgency: Urgency) -> int:
        """Return the largest size in bytes that a send of this urgency may have now."""
        share = int(self.bytes_per_s * SEND_SHARE) - self._sends.total_bytes
        if urgency <= Urgency.PROBE:
            return min(int(self._tokens + self.bytes_per_s * OVERDRAFT_S), share)
        probe_reserve = int(self.bytes_per_s * PROBE_SHARE) - self._probe_sends.total_bytes
        return min(int(self._tokens), share) - max(probe_reserve, 0)

    def _fits(self, queued: _QueuedSend) -> bool:
        """Return whether a send fits the budget, the share for sends and the probe reserve."""
        return queued.size_bytes <= self._headroom_bytes(queued.urgency)

    def _count(self, size_bytes: int) -> None:
        """Count bytes of either direction."""
        self._tokens -= size_bytes
        self._second.add(size_bytes, self._now_s)
        self._ten_seconds.add(size_bytes, self._now_s)
        self._highest_ten_seconds_bytes = max(
            self._highest_ten_seconds_bytes, self._ten_seconds.total_bytes
        )
        self._highest_second_bytes = max(self._highest_second_bytes, self._second.total_bytes)
