"""An event loop that goes by the process's clock, and notices when the process was away.

A timer that came due while the VM was suspended fires at the next wake. What it
bounds may have been kept by the other side meanwhile, whose bytes are still to be read:
`last_woken_s` tells who judges others by their silence from when on to count.
"""

import asyncio
import selectors
import time

from loguru import logger

from damaskwind.runtime.clock import read_clock

__all__ = ["ClockLoop", "last_woken_s", "record_wake"]

# A wait that lasts so much longer than asked for was no late timer.
MIN_AWAY_S = 0.5

_woken_s = float("-inf")


def last_woken_s() -> float:
    """Return when this process last went on after it was suspended or stopped."""
    return _woken_s


def record_wake(away_s: float) -> None:
    """Note that this process goes on after a while of which it knows nothing."""
    global _woken_s
    _woken_s = read_clock()
    logger.warning("process was away", away_s=round(away_s, 2))


class _WakeSelector(selectors.DefaultSelector):
    """Look after each wait how long it was."""

    def __init__(self) -> None:
        super().__init__()
        self._ahead_s = read_clock() - time.monotonic()

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready."""
        begun_s = read_clock()
        ready = super().select(timeout)
        now_s = read_clock()
        # Suspended at any moment since the last look; or stopped, which shows in a wait alone.
        ahead_s = now_s - time.monotonic()
        suspended_s, self._ahead_s = ahead_s - self._ahead_s, ahead_s
        stopped_s = 0.0 if timeout is None else now_s - begun_s - max(timeout, 0.0)
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
