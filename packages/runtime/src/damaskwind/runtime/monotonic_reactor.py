"""An asyncio reactor whose clock is monotonic.

It is a module of its own, since it loads Twisted's reactor, which must not happen
before `damaskwind.runtime.reactor` has left TLS out.
"""

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from damaskwind.runtime.clock import read_clock

__all__ = ["MonotonicReactor"]


class MonotonicReactor(AsyncioSelectorReactor):
    """An asyncio reactor whose `seconds` only go forward."""

    def seconds(self) -> float:
        """Return monotonic seconds; every timer of the reactor runs by them."""
        return read_clock()
