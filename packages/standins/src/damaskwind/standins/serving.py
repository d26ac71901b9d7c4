"""Run a stand-in process on the asyncio reactor until SIGTERM or SIGINT."""

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Any

from damaskwind.runtime.reactor import install_reactor

__all__ = ["serve_until_signal"]


def serve_until_signal(build: Callable[[Any], Any]) -> int:
    """Build an object with `start` and `stop`, run it until a signal and return the exit code."""
    reactor = install_reactor()
    exit_codes = [1]

    async def run() -> None:
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_requested.set)
        try:
            process = build(reactor)
            await process.start()
            await stop_requested.wait()
            await process.stop()
            exit_codes[0] = 0
        except Exception as error:
            print(f"stand-in failed: {error!r}", file=sys.stderr)
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]
