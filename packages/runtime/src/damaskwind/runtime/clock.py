"""The clock of a process, by which leases, deadlines and ages are measured.

It never goes back, and unlike Linux's monotonic clock it advances while the VM is
suspended. With a clock that stops, a lease of one second would still look valid after
three seconds of suspension, and a caller's deadline would be three seconds off.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["override_clock", "monotonic_clock", "read_clock"]

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)


def monotonic_clock() -> float:
    """Return monotonic seconds that include suspension, where the system supports it."""
    if _BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_BOOT_CLOCK)


_source: Callable[[], float] = monotonic_clock


def read_clock() -> float:
    """Return the time of this process, in seconds since an arbitrary moment."""
    return _source()


@contextmanager
def override_clock(source: Callable[[], float]) -> Iterator[None]:
    """Make `read_clock` read another source within the context."""
    global _source
    before, _source = _source, source
    try:
        yield
    finally:
        _source = before
