"""Log how late a process's loop runs, how long its peers take to answer, and what it sent.

The lines show when a process lost a lease because of its own loop, processor or link, and which
content of its updates took them. The meter samples ten times a second and logs at most one line
a second, only if a threshold is exceeded.
"""

import asyncio
import time
from collections.abc import Callable

from loguru import logger

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["SENT_ITEMS", "LoadMeter"]

# The counter of the parts that updates consist of, labeled by kind.
SENT_ITEMS = "sent_items"
# The counter of bytes sent, labeled by kind.
_SENT_BYTES = "sent_bytes"

# A loop that is later than this endangers the renewal of a lease of one second.
MIN_LATE_S = 0.1
SAMPLE_INTERVAL_S = 0.1
LOG_INTERVAL_S = 1.0
# A sixth of a link of 3 Mbit/s in a second; below this, nothing queues for long.
MIN_SENT_BYTES = 64_000


class LoadMeter:
    """Monitors the running loop.

    `slowest_call_s` returns the time that the slowest peer takes to answer.
    """

    def __init__(self, tallies: Tallies, slowest_call_s: Callable[[], float]) -> None:
        self.late_s = 0.0
        self._tallies = tallies
        self._slowest_call_s = slowest_call_s
        self._slowest_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._interval_start_s = 0.0
        self._used_s = 0.0
        self._sent: dict[str, dict[str, int]] = {_SENT_BYTES: {}, SENT_ITEMS: {}}

    def start(self) -> None:
        """Start sampling."""
        self._interval_start_s = read_clock()
        self._used_s = time.process_time()
        self._schedule_sample()

    def stop(self) -> None:
        """Stop sampling."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_sample(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_s = read_clock() + SAMPLE_INTERVAL_S
        self._timer = loop.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _sample(self) -> None:
        now_s = read_clock()
        self.late_s = max(self.late_s, now_s - self._due_s)
        self._slowest_s = max(self._slowest_s, self._slowest_call_s())
        if now_s - self._interval_start_s >= LOG_INTERVAL_S:
            self._log_interval(now_s)
        self._schedule_sample()

    def _log_interval(self, now_s: float) -> None:
        """Log the last interval if it exceeds a threshold, and start the next."""
        span_s = now_s - self._interval_start_s
        used_s = time.process_time()
        sent_bytes, sent_items = self._newly_sent(_SENT_BYTES), self._newly_sent(SENT_ITEMS)
        self._tallies.observe("loop_delay", self.late_s)
        if (
            self.late_s >= MIN_LATE_S
            or self._slowest_s >= MIN_LATE_S
            or sum(sent_bytes.values()) >= MIN_SENT_BYTES
        ):
            logger.info(
                "process load",
                span_s=round(span_s, 2),
                cpu_s=round(used_s - self._used_s, 3),
                loop_late_s=round(self.late_s, 3),
                slowest_call_s=round(self._slowest_s, 3),
                sent_bytes=sent_bytes,
                sent_items=sent_items,
            )
        self.late_s = self._slowest_s = 0.0
        self._interval_start_s, self._used_s = now_s, used_s

    def _newly_sent(self, name: str) -> dict[str, int]:
        """Return by how much a counter has grown since the last interval, by kind."""
        before = self._sent[name]
        totals = {labels[0][1]: total for labels, total in self._tallies.totals(name).items()}
        self._sent[name] = totals
        grown = {kind: total - before.get(kind, 0) for kind, total in totals.items()}
        return {kind: growth for kind, growth in grown.items() if growth}
