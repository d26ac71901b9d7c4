"""A clock that jumps ahead, like the clock of a VM that was suspended."""

from collections.abc import Iterator
from contextlib import contextmanager

from damaskwind.runtime.clock import clock_in_force, monotonic_clock
from damaskwind.runtime.clock_loop import note_wake

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
        with clock_in_force(self.read):
            yield

    def suspend(self, duration_s: float) -> None:
        """Jump ahead and report the gap, as the loop does when it wakes."""
        self.offset_s += duration_s
        note_wake(duration_s)
