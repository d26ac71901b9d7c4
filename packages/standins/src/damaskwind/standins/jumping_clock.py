"""A clock that jumps ahead, as a VM's does that was suspended meanwhile."""

from collections.abc import Iterator
from contextlib import contextmanager

from damaskwind.runtime.clock import monotonic_clock, override_clock
from damaskwind.runtime.clock_loop import record_wake

__all__ = ["JumpingClock"]


class JumpingClock:
    """The process's clock, `ahead_s` further than it would be."""

    def __init__(self) -> None:
        self.ahead_s = 0.0

    def read(self) -> float:
        """Return the time."""
        return monotonic_clock() + self.ahead_s

    @contextmanager
    def in_force(self) -> Iterator[None]:
        """Have the process go by this clock meanwhile."""
        with override_clock(self.read):
            yield

    def suspend(self, for_s: float) -> None:
        """Jump ahead, as the loop notices it at its next wake."""
        self.ahead_s += for_s
        record_wake(for_s)
