"""Install an asyncio reactor with a monotonic clock.

Twisted and grpclib then share one loop, and no lease, deadline or timer moves
when the VM's wall clock jumps: Twisted's own reactors read the wall clock.
Install it before anything imports `twisted.internet.reactor`.
"""

import asyncio
import sys
from typing import Any

__all__ = ["install_reactor"]


def _leave_out_tls() -> None:
    """Have Twisted load no TLS, which nothing here speaks: 12 MB of each process.

    `None` makes the import fail, as where pyOpenSSL is not installed.
    """
    if "twisted.internet" not in sys.modules:
        sys.modules.setdefault("OpenSSL", None)


def install_reactor() -> Any:
    """Install the reactor once and return the one that is installed."""
    if "twisted.internet.reactor" not in sys.modules:
        _leave_out_tls()
        from twisted.internet.main import installReactor

        from damaskwind.runtime.clock_loop import ClockLoop
        from damaskwind.runtime.monotonic_reactor import MonotonicReactor

        loop = ClockLoop()
        asyncio.set_event_loop(loop)
        installReactor(MonotonicReactor(loop))
    from twisted.internet import reactor

    return reactor
