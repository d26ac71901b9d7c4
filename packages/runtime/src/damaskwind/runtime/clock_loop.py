"""An event loop on the process's clock that detects when the process was suspended.

A timer that expired while the VM was suspended fires when it resumes, although the
peer may have answered in time and its bytes are still unread. Code that infers the
failure of a peer from its silence should count the silence from `last_woken_s`.
"""

import asyncio
import selectors
import time

from loguru import logger

from damaskwind.runtime.clock import read_clock

__all__ = ["ClockLoop", "last_woken_s", "record_wake"]

# A wait that overruns its timeout by more than this means suspension, not a late timer.
MIN_AWAY_S = 0.5

_woken_s = float("-inf")


def last_woken_s() -> float:
    """Return when this process last resumed after it was suspended or stopped."""
    return _woken_s


def record_wake(away_s: float) -> None:
    """Record that this process resumed after `away_s` seconds without running."""
    global _woken_s
    _woken_s = read_clock()
    logger.warning("process was away", away_s=round(away_s, 2))


class _WakeSelector(selectors.DefaultSelector):
    """A selector that compares the length of each wait with its timeout."""

    def __init__(self) -> None:
        super().__init__()
        self._clock_offset_s = read_clock() - time.monotonic()

    def select(self, timeout: float | None = None) -> list:
        """Return the ready events."""
        started_s = read_clock()
        ready = super().select(timeout)
        now_s = read_clock()
        # A suspended VM shows in the gain of this clock on the monotonic one since the last
        # check; a stopped process shows only as an overlong wait.
        offset_s = now_s - time.monotonic()
        suspended_s, self._clock_offset_s = offset_s - self._clock_offset_s, offset_s
        stopped_s = 0.0 if timeout is None else now_s - started_s - max(timeout, 0.0)
        away_s = max(suspended_s, stopped_s)
        if away_s > MIN_AWAY_S:
            record_wake(away_s)
        return ready


class ClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the process's clock."""

    def __init__(self) -> None:
        super().__init__(_WakeSelector())

    def time(self) -> float:
        """Return the time by which timers are due."""
        return read_clock()
