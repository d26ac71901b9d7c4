"""The daemon `damaskwindd`: a router, a control replica, or both in a demo."""

import sys
from pathlib import Path

import defopt

from damaskwind.model.exception import SettingsError
from damaskwind.runtime.lifecycle import EXIT_OK, run_on_reactor, serve_until_signal
from damaskwind.runtime.logging import configure_logging
from damaskwind.runtime.reactor import install_reactor
from damaskwind.runtime.settings import Settings, read_settings

__all__ = ["check", "control", "demo", "main", "router"]

EXIT_BAD_USAGE = 2


def _read_or_exit(file: Path) -> Settings:
    """Read the settings; on errors print every mistake and exit with code 2."""
    try:
        return read_settings(file)
    except SettingsError as error:
        for mistake in error.mistakes:
            print(f"{file}: {mistake}", file=sys.stderr)
        sys.exit(EXIT_BAD_USAGE)


def _require_table(file: Path, settings: Settings, name: str) -> None:
    """Exit with code 2 if the settings lack the table of the role."""
    if getattr(settings, name) is None:
        print(f"{file}: {name}: missing table", file=sys.stderr)
        sys.exit(EXIT_BAD_USAGE)


def router(file: Path) -> int:
    """Run a router with the settings in FILE until SIGTERM."""
    settings = _read_or_exit(file)
    _require_table(file, settings, "router")
    node = settings.node
    configure_logging(node.log_level, node.log_format, node.node_id)
    install_reactor()
    from damaskwind.router.process import start_router

    return run_on_reactor(lambda: serve_until_signal(lambda: start_router(settings)))


def control(file: Path) -> int:
    """Run a control replica with the settings in FILE until SIGTERM."""
    settings = _read_or_exit(file)
    _require_table(file, settings, "control")
    node = settings.node
    configure_logging(node.log_level, node.log_format, node.node_id)
    install_reactor()
    from damaskwind.control.process import start_control

    return run_on_reactor(lambda: serve_until_signal(lambda: start_control(settings)))


def demo(*, once: bool = False) -> int:
    """Run a small but complete fleet in this process and stream a chat through it.

    With `--once` the command exits after the chat, with a non-zero code if anything
    failed; otherwise it serves until SIGINT.
    """
    configure_logging("WARNING", "text", "demo")
    install_reactor()
    from damaskwind.commands.demonstration import run_demonstration

    return run_on_reactor(lambda: run_demonstration(once))


def check(file: Path) -> int:
    """Check the settings in FILE and print every mistake."""
    settings = _read_or_exit(file)
    roles = [name for name in ("router", "control") if getattr(settings, name) is not None]
    print(f"{file}: fine ({', '.join(roles)})")
    return EXIT_OK


def main() -> None:
    """Parse the command line, run the command and exit with its exit code."""
    sys.exit(defopt.run([router, control, demo, check]))
