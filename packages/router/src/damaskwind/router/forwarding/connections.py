"""Pool connections to targets, and hand out only those that are provably clean."""

import asyncio
from collections.abc import Callable
from functools import partial
from weakref import WeakSet

from loguru import logger

from damaskwind.model.targets import Address
from damaskwind.router.forwarding.answers_in_hand import AnswersInHand
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import ClientConnection, ConnectFailedError, connect
from damaskwind.runtime.http1.messages import Headers, header

__all__ = ["SETTLE_S", "TargetConnections"]

# A connection inside a region is established within some ms. A lost SYN packet is
# retransmitted after a second, by which time another target has answered.
CONNECT_TIMEOUT_S = 0.3
# Idle time if the target's answer states none; targets close idle connections.
DEFAULT_IDLE_S = 2.0
# A connection counts as accepted by the target if it is still open after this time.
SETTLE_S = 0.02
# An unreachable target is probed at this interval, without a request: a request that waits
# for a lost SYN packet misses its deadline.
WATCH_INTERVAL_S = 0.4
# After this many probes the target is tried with requests again; that it is gone has to come
# from its heartbeats or its leave.
WATCH_TRIES = 60
# Safety margin below the idle time that the target states.
IDLE_MARGIN_S = 0.5


class TargetConnections:
    """The idle connections by target id, and weak references to all that are open.

    `on_reach_changed` is called with the id of a target that is unreachable, or no longer,
    `on_unacknowledged` with the id and the address of one whose kernel does not acknowledge a
    request; the connection lives on, since the link may heal.
    """

    def __init__(self) -> None:
        self.opened = 0
        self.connect = connect
        # Bounds what is held of all answers that are being read; `None` for no bound.
        self.answers: AnswersInHand | None = None
        self.on_reach_changed: list[Callable[[str], None]] = []
        self.on_unacknowledged: list[Callable[[str, Address], None]] = []
        self._established: dict[str, WeakSet[ClientConnection]] = {}
        self._idle: dict[str, list[ClientConnection]] = {}
        self._watches: dict[str, asyncio.Task] = {}

    async def acquire(
        self,
        target_id: str,
        address: Address,
        timeout_s: float,
        must_stay_open: bool = False,
        must_be_new: bool = False,
    ) -> ClientConnection:
        """Return a clean connection, pooled or, with `must_be_new`, always new.

        With `must_stay_open` a new one is returned only after it has stayed open for `SETTLE_S`.
        Raise `ConnectFailedError` if none is established in time: nothing was sent.
        """
        idle = self._idle.get(target_id, [])
        now_s = read_clock()
        while idle and not must_be_new:
            connection = idle.pop()
            if connection.is_open and connection.usable_until_s > now_s:
                return connection
            connection.close()
        self.opened += 1
        connection = await self._open(address, min(timeout_s, CONNECT_TIMEOUT_S))
        if must_stay_open and not await self._stays_open(connection):
            raise ConnectFailedError("the connection was reset before anything was sent")
        self._adopt(target_id, address, connection)
        return connection

    def _adopt(self, target_id: str, address: Address, connection: ClientConnection) -> None:
        """Keep track of a connection that was established."""
        self._established.setdefault(target_id, WeakSet()).add(connection)
        connection.on_unacknowledged = partial(self._note_unacknowledged, target_id, address)

    def _note_unacknowledged(self, target_id: str, address: Address) -> None:
        for callback in self.on_unacknowledged:
            callback(target_id, address)

    def release(self, target_id: str, connection: ClientConnection, headers: Headers) -> None:
        """Return a connection to the pool after a complete answer, if it may be reused."""
        if not connection.release():
            return
        idle_s = _idle_s(headers)
        if idle_s <= 0:
            connection.close()
            return
        connection.usable_until_s = read_clock() + idle_s
        self._idle.setdefault(target_id, []).append(connection)

    def is_unreachable(self, target_id: str) -> bool:
        """Tell whether the last connection attempt to a target failed and it is being probed."""
        return target_id in self._watches

    async def probe(
        self, target_id: str, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> bool:
        """Tell whether a target accepts a connection and keeps it open; pool that connection.

        A proxy in front of a target that has exited may accept a connection and then reset it.
        """
        try:
            connection = await self._open(address, timeout_s)
        except ConnectFailedError:
            return False
        stays_open = await self._stays_open(connection)
        if stays_open:
            self._adopt(target_id, address, connection)
            self.return_unused(target_id, connection)
        return stays_open

    async def refuses(self, address: Address) -> bool:
        """Tell whether an address refuses connections, as that of an ended process does."""
        try:
            connection = await self.connect(address, CONNECT_TIMEOUT_S)
        except ConnectFailedError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.abort()
        return False

    async def _open(self, address: Address, timeout_s: float) -> ClientConnection:
        """Return a new connection, whose answers are bounded together with all others."""
        connection = await self.connect(address, timeout_s)
        if self.answers is not None:
            connection.in_hand = self.answers.open(connection.give_up)
        return connection

    async def _stays_open(self, connection: ClientConnection) -> bool:
        """Tell whether a new connection is still open after `SETTLE_S`."""
        lost = asyncio.Event()
        connection.on_lost = lambda _: lost.set()
        try:
            async with asyncio.timeout(SETTLE_S):
                await lost.wait()
        except TimeoutError:
            return connection.is_open
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            connection.on_lost = None
        return False

    def return_unused(self, target_id: str, connection: ClientConnection) -> None:
        """Return a connection on which nothing was sent to the pool."""
        connection.usable_until_s = read_clock() + DEFAULT_IDLE_S
        self._idle.setdefault(target_id, []).append(connection)

    def watch(self, target_id: str, address: Address) -> None:
        """Start to probe a target until it is reachable again."""
        if target_id not in self._watches:
            logger.warning("target unreachable", target=target_id, address=str(address))
            watching = self._watch(target_id, address)
            self._watches[target_id] = asyncio.ensure_future(watching)
            self._notify_reach_changed(target_id)

    async def _watch(self, target_id: str, address: Address) -> None:
        """Probe without a request; a connection that stays open is pooled for the next one."""
        begun_s = read_clock()
        try:
            for _ in range(WATCH_TRIES):
                await asyncio.sleep(WATCH_INTERVAL_S)
                if await self.probe(target_id, address):
                    break
            took_s = round(read_clock() - begun_s, 2)
            logger.info("target tried again", target=target_id, after_s=took_s)
        finally:
            self._watches.pop(target_id, None)
            self._notify_reach_changed(target_id)

    def _notify_reach_changed(self, target_id: str) -> None:
        for callback in self.on_reach_changed:
            callback(target_id)

    def forget(self, target_id: str) -> None:
        """Close the idle connections to a target and stop probing it."""
        if target_id in self._watches:
            self._watches[target_id].cancel()
        for connection in self._idle.pop(target_id, []):
            connection.close()
        if not self._established.get(target_id):
            self._established.pop(target_id, None)

    def abort_older(self, target_id: str, before_s: float) -> None:
        """Abort the connections that were established before `before_s`, a monotonic time."""
        for connection in list(self._established.get(target_id, ())):
            if connection.made_s < before_s:
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for target_id in [*self._idle, *self._watches]:
            self.forget(target_id)


def _idle_s(headers: Headers) -> float:
    """Return the seconds for which a connection may stay idle, from an answer's headers.

    >>> _idle_s([(b"keep-alive", b"timeout=5")]), _idle_s([(b"connection", b"close")])
    (4.5, 0.0)
    """
    if (header(headers, b"connection") or b"").lower() == b"close":
        return 0.0
    for item in (header(headers, b"keep-alive") or b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(int(value) - IDLE_MARGIN_S, 0.0)
    return DEFAULT_IDLE_S
