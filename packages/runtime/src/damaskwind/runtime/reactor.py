"""Install the asyncio reactor, so that Twisted and grpclib share one loop.

Import this module before anything that imports `twisted.internet.reactor`.
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
    """Install the asyncio reactor once and return it."""
    if "twisted.internet.reactor" not in sys.modules:
        _leave_out_tls()
        from twisted.internet import asyncioreactor

        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor
