"""Install an asyncio reactor with a monotonic clock.

Twisted and grpclib then share one loop, and no lease, deadline or timer moves
when the VM's wall clock jumps: Twisted's own reactors read the wall clock.
Install it before anything imports `twisted.internet.reactor`.
"""

import asyncio
import sys
import time
from typing import Any

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor

__all__ = ["MonotonicReactor", "install_reactor"]


class MonotonicReactor(AsyncioSelectorReactor):
    """An asyncio reactor whose `seconds` only go forward."""

    def seconds(self) -> float:
        """Return monotonic seconds; every timer of the reactor runs by them."""
        return time.monotonic()


def install_reactor() -> Any:
    """Install the reactor once and return the one that is installed."""
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        installReactor(MonotonicReactor(loop))
    from twisted.internet import reactor

    return reactor
