"""An event loop that limits the bandwidth of each loopback address.

All connections of an address share one FIFO link, as those of a VM do: a write is
sent after everything that the other connections wrote before it, even if they have
been closed since. Addresses without a rate send at once. Received bytes are limited
by the link of the peer that sends them.

    loop = NarrowLoop({"127.77.1.1": 375_000.0}, delay_s=0.002)
"""

import asyncio
from asyncio import selector_events
from collections import deque
from collections.abc import Mapping
from typing import Any

from damaskwind.standins.slow_time import SlowClock, SlowSelector

__all__ = ["NarrowLoop"]

# Connections sharing a link are interleaved in segments of this size, a few packets.
SEGMENT_BYTES = 4_096


class _Link:
    """The send queue of one address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bytes_per_s: float, delay_s: float) -> None:
        self._delay_s = delay_s
        self.sent_bytes = 0
        self.queued_bytes = 0
        self._loop = loop
        self._bytes_per_s = bytes_per_s
        self._queue: deque[tuple[_NarrowTransport, bytes]] = deque()
        self._is_sending = False
        self._next_send_s = 0.0

    def enqueue(self, transport: "_NarrowTransport", data: bytes) -> None:
        """Queue the data that a connection writes."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self._queue.append((transport, data[start : start + SEGMENT_BYTES]))
        self.queued_bytes += len(data)
        if not self._is_sending:
            self._is_sending = True
            self._next_send_s = max(self._next_send_s, self._loop.time())
            self._send()

    def hold(self, duration_s: float) -> None:
        """Send nothing for a time, like a VM that stands still; the queue is sent afterwards."""
        self._next_send_s = max(self._next_send_s, self._loop.time() + duration_s)

    def slow_down(self, bytes_per_s: float) -> None:
        """Send what is queued from now on at another rate."""
        self._bytes_per_s = bytes_per_s

    def _send(self) -> None:
        """Send queued segments until the link is busy, then schedule the next send."""
        while self._queue and self._next_send_s <= self._loop.time():
            transport, data = self._queue.popleft()
            self.queued_bytes -= len(data)
            self.sent_bytes += len(data)
            self._next_send_s += len(data) / self._bytes_per_s
            self._loop.call_at(self._next_send_s + self._delay_s, transport.write_from_link, data)
        if self._queue:
            self._loop.call_at(self._next_send_s, self._send)
        else:
            self._is_sending = False


class _NarrowTransport(selector_events._SelectorSocketTransport):
    """A connection whose writes are queued at the link of its address."""

    def __init__(self, loop: "NarrowLoop", sock: Any, *arguments: Any, **options: Any) -> None:
        host = sock.getsockname()[0]
        self._link = loop.links.get(host)
        self._link_queued_bytes = 0
        self._close_requested = False
        super().__init__(loop, sock, *arguments, **options)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closes once all data is sent."""
        return self._close_requested or super().is_closing()

    def write(self, data: bytes) -> None:
        """Queue data at the link; write it at once if the address has none."""
        if self._link is None or not data:
            super().write(data)
            return
        self._link_queued_bytes += len(data)
        self._maybe_pause_protocol()
        self._link.enqueue(self, bytes(data))

    def writelines(self, pieces: Any) -> None:
        """Queue all buffers at the link."""
        self.write(b"".join(pieces))

    def get_write_buffer_size(self) -> int:
        """Return the size of the write buffer, including data queued at the link."""
        return self._link_queued_bytes + super().get_write_buffer_size()

    def write_from_link(self, data: bytes) -> None:
        """Write a segment that has passed the link, and close if that was requested."""
        self._link_queued_bytes -= len(data)
        if not self._conn_lost:
            super().write(data)
            self._maybe_resume_protocol()
        if self._close_requested and not self._link_queued_bytes:
            super().close()

    def close(self) -> None:
        """Close after everything written has been sent."""
        self._close_requested = True
        if not self._link_queued_bytes:
            super().close()


class NarrowLoop(asyncio.SelectorEventLoop):
    """An event loop whose connections send over the link of their local address.

    `bytes_per_s` maps each address with a limited link to its rate, and `delay_s` is
    the latency of these links. If `clock` is given, the loop's timeouts follow it.
    """

    def __init__(
        self, bytes_per_s: Mapping[str, float], delay_s: float = 0.0, clock: SlowClock | None = None
    ) -> None:
        super().__init__(SlowSelector(clock) if clock else None)
        self.links = {host: _Link(self, rate, delay_s) for host, rate in bytes_per_s.items()}

    def _make_socket_transport(
        self, sock: Any, protocol: Any, waiter: Any = None, *, extra: Any = None, server: Any = None
    ) -> _NarrowTransport:
        return _NarrowTransport(self, sock, protocol, waiter, extra, server)
