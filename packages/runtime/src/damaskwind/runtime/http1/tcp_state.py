"""Read from the kernel whether a TCP connection's peer acknowledges what was sent, or has left."""

import fcntl
import socket
import struct
import termios
from typing import NamedTuple

__all__ = [
    "TcpState",
    "has_peer_left",
    "has_taken_all",
    "has_unread_bytes",
    "is_reset",
    "read_tcp_state",
]

# States of a connection of which one side or both are closed (linux/tcp_states.h).
_CLOSED = 7
_CLOSE_WAIT = 8

# Offsets of fields of `struct tcp_info` (linux/tcp.h), each an unsigned 32-bit integer.
_UNACKNOWLEDGED_OFFSET = 24
_LAST_ACKNOWLEDGED_OFFSET = 56
_SIZE_BYTES = 60
# The size of the figures that `TIOCOUTQ` and `FIONREAD` return (tcp(7), there SIOCOUTQ, SIOCINQ).
_QUEUE_BYTES = 4


class TcpState(NamedTuple):
    """What the kernel knows of a connection.

    `unacknowledged_packets` were sent and not acknowledged; for `silent_ms` milliseconds no
    acknowledgement came.
    """

    unacknowledged_packets: int
    silent_ms: int


def read_tcp_state(handle: socket.socket) -> TcpState:
    """Return the state of a connection; raise `OSError` if its socket is closed."""
    data = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE_BYTES)
    (unacknowledged,) = struct.unpack_from("=I", data, _UNACKNOWLEDGED_OFFSET)
    (silent_ms,) = struct.unpack_from("=I", data, _LAST_ACKNOWLEDGED_OFFSET)
    return TcpState(unacknowledged, silent_ms)


def has_unread_bytes(handle: socket.socket | None) -> bool:
    """Return whether bytes have come that were not read yet.

    A socket that can't be asked, or a transport without one, tells nothing.
    """
    if handle is None:
        return False
    try:
        data = fcntl.ioctl(handle.fileno(), termios.FIONREAD, bytes(_QUEUE_BYTES))
    except (OSError, ValueError):
        return False
    return struct.unpack("=i", data)[0] > 0


def has_peer_left(handle: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, as far as the kernel heard it.

    Bytes that came before may be unread. A socket that can't be asked tells nothing.
    """
    try:
        data = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE_BYTES)
    except OSError:
        return False
    return data[0] in (_CLOSED, _CLOSE_WAIT)


def has_taken_all(handle: socket.socket) -> bool:
    """Return whether the peer's kernel acknowledged all that was written to a socket.

    A socket that can't be asked shows nothing, so that it counts as one with bytes left.
    """
    try:
        data = fcntl.ioctl(handle.fileno(), termios.TIOCOUTQ, bytes(_QUEUE_BYTES))
    except (OSError, ValueError):
        return False
    (unacknowledged_bytes,) = struct.unpack("=i", data)
    return unacknowledged_bytes == 0 and not is_reset(handle)


def is_reset(handle: socket.socket) -> bool:
    """Return whether a connection was reset; also if the peer had closed its side before.

    Such a reset shows neither in what is read from the socket nor in how its reading ends.
    """
    try:
        data = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE_BYTES)
    except OSError:
        return True
    return data[0] == _CLOSED
