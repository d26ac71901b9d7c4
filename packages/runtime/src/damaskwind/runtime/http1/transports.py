"""Reset of a connection, which the peer can distinguish from an orderly end."""

import asyncio
import socket
import struct

__all__ = ["reset", "reset_socket"]

# With a linger time of zero the peer gets a reset, so that it can't mistake a truncated
# answer for one that ends with its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


def reset_socket(handle: socket.socket) -> None:
    """Close a socket with a reset."""
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    handle.close()


def reset(transport: asyncio.Transport) -> None:
    """End a connection with a reset and drop unsent data."""
    handle = transport.get_extra_info("socket")
    if handle is not None and handle.fileno() >= 0:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
