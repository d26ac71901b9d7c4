"""Write answers to a caller's connection, and wait until the caller has taken them."""

import asyncio
import socket

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.held_memory import RequestAccount
from damaskwind.runtime.http1.outbox import SEND_BUFFER_BYTES, WRITE_BYTES, Outbox

__all__ = ["CallerOutput"]

# The handler waits while more than this many bytes are unsent to a slow caller.
WRITE_BUFFER_BYTES = 65_536


class CallerOutput:
    """The bytes on their way to one caller.

    With `is_accounted` they are held outside of the transport, and the buffers of the kernel and
    of the transport are kept small.
    """

    def __init__(self, transport: asyncio.Transport, is_accounted: bool) -> None:
        self._transport = transport
        self._high_bytes = WRITE_BYTES if is_accounted else WRITE_BUFFER_BYTES
        self._writable: asyncio.Future | None = None
        self._is_paused = False
        self._paused_s = 0.0
        self._is_ended = False
        self._outbox: Outbox | None = None
        transport.set_write_buffer_limits(high=self._high_bytes)
        if is_accounted:
            handle = transport.get_extra_info("socket")
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self._outbox = Outbox(transport)

    @property
    def paused_since_s(self) -> float | None:
        """Return since when the caller takes nothing, `None` while it takes what is written."""
        return self._paused_s if self._is_paused else None

    @property
    def unsent_bytes(self) -> int:
        """Return what was written and the socket has not accepted yet."""
        if self._outbox is not None:
            return self._outbox.left_bytes
        return self._transport.get_write_buffer_size()

    def account_to(self, account: RequestAccount | None) -> None:
        """Add what waits for the caller to an account, or stop to do so."""
        self._outbox.account = account

    def write(self, data: bytes) -> None:
        """Give bytes to the transport, or hold them until it takes more."""
        if data and self._outbox is not None:
            self._outbox.write(data)
        elif data:
            self._transport.write(data)

    def pause(self) -> None:
        """Record that the transport's buffer is full."""
        self._is_paused = True
        self._paused_s = read_clock()
        if self._outbox is not None:
            self._outbox.pause()

    def resume(self) -> None:
        """Wake the handler once all that was held is passed on."""
        if self._outbox is None or self._outbox.resume():
            self._wake()

    def _wake(self) -> None:
        self._is_paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def flush(self) -> None:
        """Give the transport all that is held, before it is closed."""
        if self._outbox is not None:
            self._outbox.flush()

    def clear(self) -> None:
        """Drop what is held."""
        if self._outbox is not None:
            self._outbox.clear()

    def end(self) -> None:
        """Drop what is held and wake the handler, since the connection has ended."""
        self._is_ended = True
        self.clear()
        self._wake()

    async def drained(self) -> None:
        """Wait until the write buffer has space, or the caller has left."""
        if self._is_paused and not self._is_ended:
            self._writable = asyncio.get_running_loop().create_future()
            await self._writable

    async def taken(self) -> None:
        """Wait until the operating system accepted all that was written, or the caller left."""
        self._transport.set_write_buffer_limits(high=0)
        await self.drained()

    async def flushed(self, stalled_s: float) -> bool:
        """Wait until the socket has accepted all; return `False` once nothing was for some time.

        The result is `True` as well where the connection has ended.
        """
        if not self.unsent_bytes:
            return True
        # With a limit of zero the transport resumes only when its buffer is empty.
        self._transport.set_write_buffer_limits(high=0)
        while not self._is_ended and (left_bytes := self.unsent_bytes):
            self._writable = asyncio.get_running_loop().create_future()
            await asyncio.wait([self._writable], timeout=stalled_s)
            if not self._writable.done() and self.unsent_bytes == left_bytes:
                return False
        self._transport.set_write_buffer_limits(high=self._high_bytes)
        return True
