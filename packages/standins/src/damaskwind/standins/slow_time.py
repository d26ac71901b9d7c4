"""Let time pass for a fleet that is played in one process as it would on its own machines.

One loop that plays six replicas and sixty routers does the work of sixty-six
processors, beside whatever else a machine runs. On a starved one it was 0.38 s
late, and a leader lost its lease by that alone. Here time passes while the loop
waits and while the process computes, not while it waits for a processor; and it
passes more slowly, so that delays, rates and bounds keep their ratios and what the
process computes counts less.

    clock = SlowClock(3.0)
    with clock.installed():
        loop = NarrowLoop(rates, delay_s, clock)
"""

import selectors
import time
from collections.abc import Iterator
from contextlib import contextmanager

from damaskwind.runtime.clock import clock_in_force

__all__ = ["SlowClock", "SlowSelector"]


class SlowClock:
    """Seconds that the loop has waited and the process computed, through `slowdown`."""

    def __init__(self, slowdown: float) -> None:
        self.slowdown = slowdown
        self.waited_s = 0.0

    def monotonic(self) -> float:
        """Return the time in slow seconds."""
        return (time.process_time() + self.waited_s) / self.slowdown

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Have the process and the loops of asyncio go by this time meanwhile."""
        real, time.monotonic = time.monotonic, self.monotonic
        try:
            with clock_in_force(self.monotonic):
                yield
        finally:
            time.monotonic = real


class SlowSelector(selectors.DefaultSelector):
    """Wait for what counts as so long on a clock, and let its time pass."""

    def __init__(self, clock: SlowClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready, or nothing after the time in slow seconds."""
        timeout_s = None if timeout is None else max(timeout, 0.0) * self._clock.slowdown
        started_s = time.perf_counter()
        ready = super().select(timeout_s)
        waited_s = time.perf_counter() - started_s
        # Beyond the limit the process waited for a processor.
        self._clock.waited_s += waited_s if timeout_s is None else min(waited_s, timeout_s)
        return ready
