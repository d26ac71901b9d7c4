"""The daemon `damaskwindd`: a router, a control replica, or both in a demo."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Protocol

import defopt
from loguru import logger

from damaskwind.model.exception import SettingsError
from damaskwind.runtime.logging import configure_logging
from damaskwind.runtime.reactor import install_reactor
from damaskwind.runtime.settings import Settings, read_settings

__all__ = ["check", "control", "demo", "main", "router"]

EXIT_FINE = 0
EXIT_FAILED = 1
EXIT_BAD_USAGE = 2


class RunningProcess(Protocol):
    """What a role hands back: it can be asked to stop gracefully."""

    def stop(self) -> Awaitable[None]:
        """Finish the work in hand, then release everything."""


def _read_or_exit(file: Path) -> Settings:
    """Read settings, or print every mistake and exit with 2."""
    try:
        return read_settings(file)
    except SettingsError as error:
        for mistake in error.mistakes:
            print(f"{file}: {mistake}", file=sys.stderr)
        sys.exit(EXIT_BAD_USAGE)


def _need_table(file: Path, settings: Settings, name: str) -> None:
    """Exit with 2 unless the settings hold the table of the role."""
    if getattr(settings, name) is None:
        print(f"{file}: {name}: missing table", file=sys.stderr)
        sys.exit(EXIT_BAD_USAGE)


async def _serve_until_signal(start: Callable[[], Awaitable[RunningProcess]]) -> int:
    """Start a role, wait for SIGTERM or SIGINT, and stop it gracefully.

    A second signal during the stop is logged and changes nothing: what is in
    progress has its own limit.
    """
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    try:
        process = await start()
    except Exception as error:  # the daemon's last word: log it and exit non-zero
        logger.opt(exception=error).error("start failed")
        return EXIT_FAILED
    stopped = asyncio.ensure_future(_watch(process))
    await asyncio.wait(
        {asyncio.ensure_future(asked.wait()), stopped}, return_when="FIRST_COMPLETED"
    )
    if not asked.is_set():
        logger.error("process failed", reason=str(stopped.result()))
        return EXIT_FAILED
    logger.info("stopping")
    await process.stop()
    logger.info("stopped")
    return EXIT_FINE


async def _watch(process: Any) -> Any:
    """Wait for a role's own fatal failure, if it can report one."""
    failed = getattr(process, "failed", None)
    if failed is None:
        await asyncio.Event().wait()
    return await failed


def _run(main_task: Callable[[], Awaitable[int]]) -> int:
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


def router(file: Path) -> int:
    """Run a router with the settings in FILE until SIGTERM."""
    settings = _read_or_exit(file)
    _need_table(file, settings, "router")
    node = settings.node
    configure_logging(node.log_level, node.log_format, node.node_id)
    install_reactor()
    from damaskwind.router.process import start_router

    return _run(lambda: _serve_until_signal(lambda: start_router(settings)))


def control(file: Path) -> int:
    """Run a control replica with the settings in FILE until SIGTERM."""
    settings = _read_or_exit(file)
    _need_table(file, settings, "control")
    node = settings.node
    configure_logging(node.log_level, node.log_format, node.node_id)
    install_reactor()
    from damaskwind.control.process import start_control

    return _run(lambda: _serve_until_signal(lambda: start_control(settings)))


def demo(*, once: bool = False) -> int:
    """Run a whole small fleet in this process and stream a chat through it.

    With `--once` it ends after the chat, non-zero if anything failed;
    otherwise it serves until SIGINT.
    """
    configure_logging("WARNING", "text", "demo")
    install_reactor()
    from damaskwind.commands.demonstration import run_demonstration

    return _run(lambda: run_demonstration(once))


def check(file: Path) -> int:
    """Check the settings in FILE and name every mistake at once."""
    settings = _read_or_exit(file)
    roles = [name for name in ("router", "control") if getattr(settings, name) is not None]
    print(f"{file}: fine ({', '.join(roles)})")
    return EXIT_FINE


def main() -> None:
    """Parse the command line and exit with the command's code."""
    sys.exit(defopt.run([router, control, demo, check]))
