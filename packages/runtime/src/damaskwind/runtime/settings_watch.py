"""Reload a settings file when it changes, or on a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loguru import logger

from damaskwind.model.exception import SettingsError

__all__ = ["SettingsWatch"]

# Files change rarely, and no change in them is urgent.
POLL_INTERVAL_S = 2.0


class SettingsWatch:
    """Reads a file when its modification time or size changes and applies its contents."""

    def __init__(
        self,
        path: Path,
        read: Callable[[Path], dict[str, Any]],
        apply: Callable[[dict[str, Any]], None],
    ) -> None:
        self._path = path
        self._read = read
        self._apply = apply
        self._last_status = self._read_status()

    def start(self) -> None:
        """Start polling the file for changes."""
        asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._check)

    def reload(self) -> None:
        """Read the file now; if it has a mistake, keep the settings in force."""
        self._last_status = self._read_status()
        try:
            raw = self._read(self._path)
            self._apply(raw)
        except (SettingsError, KeyError, ValueError) as error:
            logger.error("settings not reloaded", why=repr(error))
            return
        logger.info("settings reloaded", seeds=raw.get("seeds"))

    def _read_status(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            logger.warning("settings file not found", why=str(error))
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def _check(self) -> None:
        if self._read_status() != self._last_status:
            self.reload()
        self.start()
