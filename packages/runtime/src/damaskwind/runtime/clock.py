"""The clock of a process: leases, deadlines and ages go by it.

It goes on while the VM is suspended, which Linux's monotonic clock does not: after
three seconds of that, a lease of one second would have looked good for the rest of it,
and a caller's deadline three seconds away from where it is. It never goes back.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["override_clock", "monotonic_clock", "read_clock"]

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)


def monotonic_clock() -> float:
    """Return seconds that go on while the VM is suspended, where the system tells them."""
    if _BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_BOOT_CLOCK)


_source: Callable[[], float] = monotonic_clock


def read_clock() -> float:
    """Return the time of this process, in seconds from some moment in the past."""
    return _source()


@contextmanager
def override_clock(source: Callable[[], float]) -> Iterator[None]:
    """Have `read_clock` tell another time meanwhile."""
    global _source
    before, _source = _source, source
    try:
        yield
    finally:
        _source = before
