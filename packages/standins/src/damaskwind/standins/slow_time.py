"""Let time pass for a fleet that is played in one process as it would on its own machines.

One loop that plays six replicas and sixty routers does the work of sixty-six
processors, beside whatever else a machine runs. On a starved one it was 0.38 s
late, and a leader lost its lease by that alone. Here time passes while the loop
waits and while the process computes, not while it waits for a processor; and it
passes more slowly, so that delays, rates and bounds keep their ratios and what the
process computes counts less.

    clock = SlowClock(3.0)
    with clock.in_force():
        loop = NarrowLoop(rates, delay_s, clock)
"""

import selectors
import time
from collections.abc import Iterator
from contextlib import contextmanager

from damaskwind.runtime.clock import override_clock

__all__ = ["SlowClock", "SlowSelector"]


class SlowClock:
    """Seconds that the loop has waited and the process computed, through `slowness`."""

    def __init__(self, slowness: float) -> None:
        self.slowness = slowness
        self.waited_s = 0.0

    def monotonic(self) -> float:
        """Return the time in slow seconds."""
        return (time.process_time() + self.waited_s) / self.slowness

    @contextmanager
    def in_force(self) -> Iterator[None]:
        """Have the process and the loops of asyncio go by this time meanwhile."""
        real, time.monotonic = time.monotonic, self.monotonic
        try:
            with override_clock(self.monotonic):
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
        limit_s = None if timeout is None else max(timeout, 0.0) * self._clock.slowness
        begun_s = time.perf_counter()
        ready = super().select(limit_s)
        waited_s = time.perf_counter() - begun_s
        # Beyond the limit the process waited for a processor.
        self._clock.waited_s += waited_s if limit_s is None else min(waited_s, limit_s)
        return ready
