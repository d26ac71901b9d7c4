"""What asyncio's transports lack: an end that the peer can tell from an orderly one."""

import asyncio
import socket
import struct

__all__ = ["reset"]

# Linger for no time: the peer gets a reset, and an answer that is cut off can't
# be taken for one that ends with its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """End a connection by a reset; what was not sent yet is dropped."""
    handle = transport.get_extra_info("socket")
    if handle is not None and handle.fileno() >= 0:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
