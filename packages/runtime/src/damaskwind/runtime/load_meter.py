"""Log how late a process's loop runs, how long its peers take to answer, and what it sent.

The lines show when a process lost a lease because of its own loop or link. The meter
samples ten times a second and logs at most one line a second, only if a threshold is
exceeded.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["LoadMeter"]

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
        self._sent: dict[str, int] = {}

    def start(self) -> None:
        """Start sampling."""
        self._interval_start_s = read_clock()
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
        sent = {labels[0][1]: total for labels, total in self._tallies.totals("sent_bytes").items()}
        last = {kind: total - self._sent.get(kind, 0) for kind, total in sent.items()}
        self._tallies.observe("loop_delay", self.late_s)
        if (
            self.late_s >= MIN_LATE_S
            or self._slowest_s >= MIN_LATE_S
            or sum(last.values()) >= MIN_SENT_BYTES
        ):
            logger.info(
                "process load",
                span_s=round(span_s, 2),
                loop_late_s=round(self.late_s, 3),
                slowest_call_s=round(self._slowest_s, 3),
                sent_bytes={kind: size for kind, size in last.items() if size},
            )
        self.late_s = self._slowest_s = 0.0
        self._interval_start_s, self._sent = now_s, sent
