"""Accept connections a few at a time, as far as there is room for them.

What can't be served is refused at once: left in the queue of the kernel, a caller would wait for
an answer that nobody makes.
"""

import asyncio
import socket
from collections.abc import Callable

from loguru import logger

from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.transports import reset_socket

__all__ = ["Acceptor"]

# Requests in hand have their turn after so many new connections.
ACCEPTS_PER_TURN = 16
# As the listener closes, so many turns empty its queue; what comes while that is done may be left.
MAX_LAST_TURNS = 64
# Without a free descriptor a listening socket stays readable, and is left alone for this time.
EXHAUSTED_PAUSE_S = 0.1


class Acceptor:
    """Accepts the connections of one listening socket for protocols that `connect` returns."""

    def __init__(
        self,
        listener: socket.socket,
        limit: ConnectionLimit,
        connect: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self._listener = listener
        self._limit = limit
        self._connect = connect
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task] = set()
        self._pause: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        self._listen()

    def _listen(self) -> None:
        self._pause = None
        self._loop.add_reader(self._listener.fileno(), self._accept_some)

    async def close(self) -> None:
        """Accept what is in the queue of the kernel, close the listener, and open these."""
        for _ in range(MAX_LAST_TURNS):
            if not self._accept_some():
                break
        if self._pause is not None:
            self._pause.cancel()
        self._loop.remove_reader(self._listener.fileno())
        self._listener.close()
        await asyncio.gather(*self._opening, return_exceptions=True)

    def _accept_some(self) -> bool:
        """Accept some connections; return whether there may be more."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                handle, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:
                self._rest(error)
                return False
            if self._limit.make_room():
                self._open(handle)
            else:
                reset_socket(handle)
        return True

    def _rest(self, error: OSError) -> None:
        """Accept nothing for a while, since descriptors or memory have run out."""
        logger.error("connection not accepted", address=self._limit.name, why=str(error))
        self._loop.remove_reader(self._listener.fileno())
        self._pause = self._loop.call_later(EXHAUSTED_PAUSE_S, self._listen)

    def _open(self, handle: socket.socket) -> None:
        """Connect an accepted socket to a protocol."""
        handle.setblocking(False)
        self._limit.record_accepted()
        opening = asyncio.ensure_future(self._connect_socket(handle))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def _connect_socket(self, handle: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._connect, handle)
        except OSError as error:
            logger.warning("connection not opened", address=self._limit.name, why=str(error))
            self._limit.record_failed()
            handle.close()
