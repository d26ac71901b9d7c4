"""Cut the paths of one process to its targets, inside the process.

The connections are real ones on loopback; what they would carry over a cut path is held back or
dropped. A cut that is silent behaves as Linux does: a connection with unacknowledged bytes is
given up after its `TCP_USER_TIMEOUT`, an idle one after its keep-alive probes.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from functools import partial
from random import Random
from typing import Any
from weakref import WeakSet

from damaskwind.model.targets import Address
from damaskwind.runtime.http1.client import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    UNACKNOWLEDGED_MS,
    ClientConnection,
    ConnectFailedError,
    connect,
)
from damaskwind.standins.silent_link import SilentLink

__all__ = ["Cut", "CutPaths"]

# The transport counts an end as a timeout if nothing was received for longer than its limit.
TIMEOUT_MARGIN_S = 0.02


class Cut(StrEnum):
    """What becomes of connections over a path that is cut."""

    SILENT = "open connections and new ones hang"
    RESET = "open connections are reset, new ones are refused"
    REFUSED = "open connections live on, new ones are refused"
    PAUSED = "open connections are silent and go on after the heal, new ones time out"
    LOSSY = "three in ten new connections time out in each direction"


class CutPaths:
    """The paths of one process; `connect` takes the place of the HTTP client's `connect`."""

    def __init__(self, seed: int = 1) -> None:
        self._random = Random(seed)
        self._cut: Cut | None = None
        self._concerns: Callable[[Address], bool] = lambda address: True
        self._connections: WeakSet[ClientConnection] = WeakSet()
        self._silenced: WeakSet[ClientConnection] = WeakSet()
        self._paused: list[SilentLink] = []

    def cut(self, how: Cut, concerns: Callable[[Address], bool] = lambda address: True) -> None:
        """Cut the paths to the addresses for which `concerns` returns true."""
        self._cut, self._concerns = how, concerns
        for connection in list(self._connections):
            if not concerns(connection.cut_address):
                continue
            if how is Cut.RESET:
                connection.abort()
            elif how is Cut.SILENT:
                self._silence(connection)
            elif how is Cut.PAUSED:
                self._pause(connection)

    def heal(self) -> None:
        """Restore all paths; connections on which bytes were lost have been given up or will be."""
        self._cut = None
        for connection in list(self._silenced):
            connection.abort()
        self._silenced.clear()
        for link in self._paused:
            link.heal()
        self._paused.clear()

    async def connect(self, address: Address, timeout_s: float) -> ClientConnection:
        """Open a connection like `runtime.http1.client.connect`, unless the path is cut."""
        if self._cut is not None and self._concerns(address):
            await self._fail(timeout_s)
        connection = await connect(address, timeout_s)
        connection.cut_address = address
        self._connections.add(connection)
        if self._cut is Cut.SILENT and self._concerns(address):
            self._silence(connection)
        if self._cut is Cut.PAUSED and self._concerns(address):
            self._pause(connection)
        return connection

    async def _fail(self, timeout_s: float) -> None:
        """Raise `ConnectFailedError` as a cut path does; a lossy one may let a connection pass."""
        if self._cut in (Cut.RESET, Cut.REFUSED):
            raise ConnectFailedError("ConnectionRefusedError")
        if self._cut is Cut.LOSSY and min(self._random.random(), self._random.random()) > 0.3:
            return
        await asyncio.sleep(timeout_s)
        raise ConnectFailedError("TimeoutError")

    def _pause(self, connection: ClientConnection) -> None:
        """Hold back what is written and what arrives, until the paths are restored."""
        if connection.is_open and not connection._transport.is_closing():
            self._paused.append(SilentLink(connection))

    def _silence(self, connection: ClientConnection) -> None:
        """Drop what is written, leave what arrives unread, and end the connection as a timeout."""
        transport: Any = connection._transport
        if transport is None or transport.is_closing():
            return
        loop = asyncio.get_running_loop()
        transport.pause_reading()
        self._silenced.add(connection)
        unacknowledged_s = UNACKNOWLEDGED_MS / 1000 + TIMEOUT_MARGIN_S

        def drop(data: bytes) -> None:
            loop.call_later(unacknowledged_s, partial(self._give_up, connection))

        transport.write = drop
        # A request that was just written may not have been acknowledged yet.
        idle_s = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S
        loop.call_later(idle_s, partial(self._give_up, connection))

    def _give_up(self, connection: ClientConnection) -> None:
        if connection in self._silenced:
            connection._transport.abort()
