"""A clock that jumps ahead, like the clock of a VM that was suspended."""

from collections.abc import Iterator
from contextlib import contextmanager

from damaskwind.runtime.clock import monotonic_clock, override_clock
from damaskwind.runtime.clock_loop import record_wake

__all__ = ["JumpingClock"]


class JumpingClock:
    """The monotonic clock plus `offset_s`."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def read(self) -> float:
        """Return the shifted time."""
        return monotonic_clock() + self.offset_s

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Use this clock in the process while the context is active."""
        with override_clock(self.read):
            yield

    def suspend(self, duration_s: float) -> None:
        """Jump ahead and report the gap, as the loop does when it wakes."""
        self.offset_s += duration_s
        record_wake(duration_s)
