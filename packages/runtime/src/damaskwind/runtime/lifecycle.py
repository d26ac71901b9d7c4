"""Run one role of a process from its start until a signal stops it."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from loguru import logger

from damaskwind.runtime.clock_loop import ClockLoop
from damaskwind.runtime.reactor import install_reactor

__all__ = [
    "EXIT_FAILED",
    "EXIT_OK",
    "RunningProcess",
    "run_on_loop",
    "run_on_reactor",
    "serve_until_signal",
]

EXIT_OK = 0
EXIT_FAILED = 1


class RunningProcess(Protocol):
    """A started role, which can be stopped gracefully."""

    def stop(self) -> Awaitable[None]:
        """Finish the work in progress, then release all resources."""


async def serve_until_signal(
    start: Callable[[], Awaitable[RunningProcess]], reload: Callable[[], None] | None = None
) -> int:
    """Start a role, wait for SIGTERM or SIGINT, and stop it gracefully.

    A second signal during the stop has no effect, since the work in progress has its
    own time limit. SIGHUP calls `reload`.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        process = await start()
    except Exception as error:  # logged, since the process then exits non-zero
        logger.opt(exception=error).error("start failed")
        return EXIT_FAILED
    failed = asyncio.ensure_future(_wait_for_failure(process))
    await asyncio.wait(
        {asyncio.ensure_future(stop_requested.wait()), failed}, return_when="FIRST_COMPLETED"
    )
    if not stop_requested.is_set():
        logger.error("process failed", reason=str(failed.result()))
        return EXIT_FAILED
    failed.cancel()
    logger.info("stopping")
    await process.stop()
    logger.info("stopped")
    return EXIT_OK


async def _wait_for_failure(process: Any) -> Any:
    """Wait for a fatal failure of a role; forever if the role reports none."""
    failed = getattr(process, "failed", None)
    if failed is None:
        await asyncio.Event().wait()
    return await failed


def run_on_loop(main_task: Callable[[], Awaitable[int]]) -> int:
    """Run a coroutine on an asyncio loop without a reactor and return its exit code."""

    async def run() -> int:
        try:
            return await main_task()
        except Exception as error:
            logger.opt(exception=error).error("daemon failed")
            return EXIT_FAILED

    with asyncio.Runner(loop_factory=ClockLoop) as runner:
        return runner.run(run())


def run_on_reactor(main_task: Callable[[], Awaitable[int]]) -> int:
    """Run a coroutine on the reactor's loop and return its exit code."""
    reactor = install_reactor()
    exit_codes = [EXIT_FAILED]

    async def run() -> None:
        try:
            exit_codes[0] = await main_task()
        except Exception as error:
            logger.opt(exception=error).error("daemon failed")
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]
