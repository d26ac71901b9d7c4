"""Install an asyncio reactor with a monotonic clock.

Twisted and grpclib then share one loop, and jumps of the VM's wall clock don't affect
leases, deadlines or timers; Twisted's own reactors read the wall clock. Install the
reactor before anything imports `twisted.internet.reactor`.
"""

import asyncio
import sys
from typing import Any

__all__ = ["install_reactor"]


def _disable_tls() -> None:
    """Prevent Twisted from loading TLS, which is unused and takes 12 MB per process.

    `None` makes the import fail as if pyOpenSSL were not installed.
    """
    if "twisted.internet" not in sys.modules:
        sys.modules.setdefault("OpenSSL", None)


def install_reactor() -> Any:
    """Install the reactor once and return the one that is installed."""
    if "twisted.internet.reactor" not in sys.modules:
        _disable_tls()
        from twisted.internet.main import installReactor

        from damaskwind.runtime.clock_loop import ClockLoop
        from damaskwind.runtime.monotonic_reactor import MonotonicReactor

        loop = ClockLoop()
        asyncio.set_event_loop(loop)
        installReactor(MonotonicReactor(loop))
    from twisted.internet import reactor

    return reactor
