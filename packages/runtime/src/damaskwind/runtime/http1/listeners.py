"""Open listening sockets whose connections have small buffers in the kernel.

The kernel's buffers count towards the memory of the process. They are set at the listening socket,
as accepted ones inherit them before the first byte comes; an autotuned one grows to several MiB.
"""

import socket

from damaskwind.runtime.http1.outbox import SEND_BUFFER_BYTES

__all__ = ["RECEIVE_BUFFER_BYTES", "keep_buffers_small", "open_listener"]

# The kernel uses twice as much with its overhead. A caller 10 ms away still sends 3 MB/s.
RECEIVE_BUFFER_BYTES = 32_768


def keep_buffers_small(listener: socket.socket) -> None:
    """Set the kernel's buffers of all connections that a listening socket will accept.

    Source of the inheritance: socket(7) and tcp(7) of Linux.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def open_listener(host: str, port: int, backlog: int) -> socket.socket:
    """Return a listening socket; raise `OSError` if the address can't be used.

    `backlog` is the number of connections that may wait to be accepted.
    """
    listener = socket.create_server((host, port), backlog=backlog)
    keep_buffers_small(listener)
    return listener
