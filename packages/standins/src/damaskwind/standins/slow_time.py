"""A slowed clock, for simulating a fleet of many machines in one process.

One loop that simulates six replicas and sixty routers does the work of sixty-six
processors and competes with other processes. On an overloaded machine the loop was
0.38 s late, which alone cost a leader its lease. This clock therefore advances while
the loop waits and while the process computes, but not while it waits for a processor.
It also runs slower than real time: delays, rates and bounds keep their ratios, and
computing time weighs less.

    clock = SlowClock(3.0)
    with clock.installed():
        loop = NarrowLoop(rates, delay_s, clock)
"""

import selectors
import time
from collections.abc import Iterator
from contextlib import contextmanager

from damaskwind.runtime.clock import override_clock

__all__ = ["SlowClock", "SlowSelector"]


class SlowClock:
    """The time that the loop has waited and the process has computed, divided by `slowdown`."""

    def __init__(self, slowdown: float) -> None:
        self.slowdown = slowdown
        self.waited_s = 0.0

    def monotonic(self) -> float:
        """Return the slowed time in seconds."""
        return (time.process_time() + self.waited_s) / self.slowdown

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Use this clock in the process and in asyncio loops while the context is active."""
        real, time.monotonic = time.monotonic, self.monotonic
        try:
            with override_clock(self.monotonic):
                yield
        finally:
            time.monotonic = real


class SlowSelector(selectors.DefaultSelector):
    """A selector whose timeouts follow a slowed clock, and which advances that clock."""

    def __init__(self, clock: SlowClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list:
        """Return the ready events, or none after `timeout` slowed seconds."""
        timeout_s = None if timeout is None else max(timeout, 0.0) * self._clock.slowdown
        started_s = time.perf_counter()
        ready = super().select(timeout_s)
        waited_s = time.perf_counter() - started_s
        # Any wait beyond the timeout was spent waiting for a processor.
        self._clock.waited_s += waited_s if timeout_s is None else min(waited_s, timeout_s)
        return ready
