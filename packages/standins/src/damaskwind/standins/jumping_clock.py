"""A clock that jumps ahead, as a VM's does that was suspended meanwhile."""

from collections.abc import Iterator
from contextlib import contextmanager

from damaskwind.runtime.clock import clock_in_force, monotonic_clock
from damaskwind.runtime.clock_loop import note_wake

__all__ = ["JumpingClock"]


class JumpingClock:
    """The process's clock, `offset_s` further than it would be."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def read(self) -> float:
        """Return the time."""
        return monotonic_clock() + self.offset_s

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Have the process go by this clock meanwhile."""
        with clock_in_force(self.read):
            yield

    def suspend(self, duration_s: float) -> None:
        """Jump ahead, as the loop notices it at its next wake."""
        self.offset_s += duration_s
        note_wake(duration_s)
