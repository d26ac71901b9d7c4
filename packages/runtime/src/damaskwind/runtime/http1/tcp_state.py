"""Read from the kernel whether the peer of a TCP connection acknowledges what was sent to it."""

import socket
import struct
from typing import NamedTuple

__all__ = ["TcpState", "read_tcp_state"]

# Offsets of fields of `struct tcp_info` (linux/tcp.h), each an unsigned 32-bit integer.
_UNACKNOWLEDGED_OFFSET = 24
_LAST_ACKNOWLEDGED_OFFSET = 56
_SIZE_BYTES = 60


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
