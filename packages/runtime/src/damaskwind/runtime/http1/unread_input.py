"""Stop to read from a peer while what it has sent is not being parsed."""

import asyncio

__all__ = ["UNPARSED_BYTES", "UnreadInput"]

# A transport reads up to 256 KiB at once, which its reader parses before the next read unless
# it waits for something else, such as a caller that reads slowly.
UNPARSED_BYTES = 262_144


class UnreadInput:
    """The bytes received on a connection that its reader has not parsed yet.

    The transport is paused while there are more than `UNPARSED_BYTES`, so that at most one read
    comes on top of them.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.size_bytes = 0
        self._transport = transport
        self._is_paused = False

    def add(self, size_bytes: int) -> None:
        """Record bytes that were received."""
        self.size_bytes += size_bytes
        if self.size_bytes > UNPARSED_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def clear(self) -> None:
        """Record that all was parsed, but for the start of a line or a chunk."""
        self.size_bytes = 0
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()
