"""Pass bytes to a transport in small pieces, and hold the rest.

A transport copies what its socket does not accept into a buffer of its own. Here that buffer
stays small, and held pieces are freed one by one as they are sent.
"""

import asyncio
from collections import deque

from damaskwind.runtime.http1.held_memory import AnswerAccount

__all__ = ["SEND_BUFFER_BYTES", "WRITE_BYTES", "Outbox"]

WRITE_BYTES = 16_384
# The kernel's buffer of one connection; it uses twice as much with its overhead. An autotuned
# buffer grows to several MB for a caller that reads slowly.
SEND_BUFFER_BYTES = 32_768
# What a paused connection holds beside the pieces: the transport's buffer and the kernel's.
PAUSED_BYTES = 2 * WRITE_BYTES + 2 * SEND_BUFFER_BYTES
# The size of a `bytes` object without its content, and its place in the queue.
PIECE_OVERHEAD_BYTES = 41

Piece = bytes | bytearray


class Outbox:
    """The bytes that wait for a transport; with an account they are added to it."""

    def __init__(self, transport: asyncio.Transport) -> None:
        transport.set_write_buffer_limits(high=WRITE_BYTES)
        self.account: AnswerAccount | None = None
        self._transport = transport
        self._pieces: deque[Piece] = deque()
        self._sent_bytes = 0
        self._is_paused = False

    @property
    def is_empty(self) -> bool:
        """Return whether the transport was given everything and its buffer is empty."""
        return not self._pieces and not self._transport.get_write_buffer_size()

    @property
    def left_bytes(self) -> int:
        """Return the bytes that the socket has not accepted yet."""
        held_bytes = sum(map(len, self._pieces)) - self._sent_bytes
        return held_bytes + self._transport.get_write_buffer_size()

    def write(self, data: Piece) -> None:
        """Pass on bytes, or hold them while the transport's buffer is full."""
        if not self._pieces and not self._is_paused and len(data) <= WRITE_BYTES:
            self._transport.write(data)
            return
        self._pieces.append(data)
        if self.account is not None:
            self.account.hold(len(data) + PIECE_OVERHEAD_BYTES)
        self._pump()

    def pause(self) -> None:
        """Record that the transport's buffer is full."""
        self._is_paused = True
        if self.account is not None:
            self.account.hold(PAUSED_BYTES)

    def resume(self) -> bool:
        """Pass on held bytes; return whether none is left."""
        if self._is_paused and self.account is not None:
            self.account.hold(-PAUSED_BYTES)
        self._is_paused = False
        self._pump()
        return not self._pieces

    def flush(self) -> None:
        """Give the transport everything, before it is closed."""
        self._is_paused = False
        while self._pieces:
            self._write_next()

    def clear(self) -> None:
        """Drop what is held."""
        self._pieces.clear()
        self._sent_bytes = 0

    def _pump(self) -> None:
        while self._pieces and not self._is_paused:
            self._write_next()

    def _write_next(self) -> None:
        """Write a part of the first piece, which is freed after its last part."""
        piece = self._pieces[0]
        part = memoryview(piece)[self._sent_bytes : self._sent_bytes + WRITE_BYTES]
        self._sent_bytes += len(part)
        is_last = self._sent_bytes == len(piece)
        if is_last:
            self._pieces.popleft()
            self._sent_bytes = 0
        # May call `pause`.
        self._transport.write(part)
        if is_last and self.account is not None:
            self.account.take(len(piece) + PIECE_OVERHEAD_BYTES)
