"""Make the link of one connection silent for a while, as the peer's kernel is seen to be then.

What is written is held back and delivered at the first retransmission after the silence; what
the peer sent is read after it. Until then the connection ends only by its own limits, which are
read from its socket as Linux does: `TCP_USER_TIMEOUT`, and the keepalive options.
"""

import asyncio
import socket
from typing import Any

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import UNACKNOWLEDGED_MS, ClientConnection

__all__ = ["SilentLink"]

# When Linux retransmits on loopback, from the first write.
RETRANSMITTED_S = (0.25, 0.45, 0.86, 1.69, 3.35, 6.7, 13.4)
POLL_S = 0.05


class SilentLink:
    """A silence on one connection, until `heal` is called."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._transport: Any = connection._transport
        self._loop = asyncio.get_running_loop()
        self._begun_s = read_clock()
        self._held: list[bytes] = []
        self._held_since_s = 0.0
        self._transport.pause_reading()
        self._transport.write = self._hold
        connection.is_unacknowledged = self._is_unacknowledged
        self._polling = self._loop.call_later(POLL_S, self._poll)

    def heal(self) -> None:
        """End the silence: read what arrived, and deliver what is held with a retransmission."""
        if self._transport.is_closing():
            return
        self._transport.resume_reading()
        if not self._held:
            self._deliver()
            return
        waited_s = read_clock() - self._held_since_s
        next_s = next(at_s for at_s in RETRANSMITTED_S if at_s >= waited_s)
        self._loop.call_later(next_s - waited_s, self._deliver)

    def _hold(self, data: bytes) -> None:
        if not self._held:
            self._held_since_s = read_clock()
        self._held.append(bytes(data))

    def _deliver(self) -> None:
        """Write what was held, and let the connection go on."""
        self._polling.cancel()
        if self._transport.is_closing():
            return
        del self._transport.write
        del self._connection.is_unacknowledged
        for data in self._held:
            self._transport.write(data)

    def _is_unacknowledged(self) -> bool:
        waited_s = read_clock() - self._held_since_s
        return bool(self._held) and waited_s >= UNACKNOWLEDGED_MS / 1000

    def _poll(self) -> None:
        """End the connection once one of its limits has passed."""
        if self._transport.is_closing():
            return
        if self._is_given_up(read_clock()):
            self._transport.abort()
            return
        self._polling = self._loop.call_later(POLL_S, self._poll)

    def _is_given_up(self, now_s: float) -> bool:
        """Tell whether bytes were unacknowledged, or probes unanswered, for too long."""
        limit_s = self._option(socket.TCP_USER_TIMEOUT) / 1000
        if self._held:
            return 0 < limit_s <= now_s - self._held_since_s
        silent_s = now_s - self._connection._last_active_s
        return self._lost_probes(now_s) > 1 and silent_s >= limit_s

    def _lost_probes(self, now_s: float) -> int:
        """Return how many keepalive probes were due in the silence."""
        interval_s = self._option(socket.TCP_KEEPINTVL)
        due_s = self._connection._last_active_s + self._option(socket.TCP_KEEPIDLE)
        lost = 0
        while due_s <= now_s:
            lost += due_s >= self._begun_s
            due_s += interval_s
        return lost

    def _option(self, option: int) -> int:
        handle = self._transport.get_extra_info("socket")
        return handle.getsockopt(socket.IPPROTO_TCP, option)
