"""An asyncio reactor whose clock is monotonic.

It is in a separate module because importing it loads Twisted's reactor, which must not
happen before `damaskwind.runtime.reactor` has disabled the import of TLS.
"""

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from damaskwind.runtime.clock import read_clock

__all__ = ["MonotonicReactor"]


class MonotonicReactor(AsyncioSelectorReactor):
    """An asyncio reactor whose `seconds` never go back."""

    def seconds(self) -> float:
        """Return monotonic seconds; every timer of the reactor runs by them."""
        return read_clock()
