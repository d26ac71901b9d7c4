"""Install the asyncio reactor, so that Twisted and grpclib share one loop.

Import this module before anything that imports `twisted.internet.reactor`.
"""

import asyncio
import sys
from typing import Any

from twisted.internet import asyncioreactor

__all__ = ["install_reactor"]


def install_reactor() -> Any:
    """Install the asyncio reactor once and return it."""
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor
