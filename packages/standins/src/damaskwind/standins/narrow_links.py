"""An event loop on which each loopback address sends through one narrow link.

All connections of an address share its link, first come, first served, as
those of a VM do: what one of them writes waits behind all that the others have
written before, also when that connection has ended since. Addresses without a
rate send at once. Bytes that a peer sends arrive by the peer's link.

    loop = NarrowLoop({"127.77.1.1": 375_000.0}, delay_s=0.002)
"""

import asyncio
from asyncio import selector_events
from collections import deque
from collections.abc import Mapping
from typing import Any

from damaskwind.standins.slow_time import SlowClock, SlowSelector

__all__ = ["NarrowLoop"]

# What a link sends without a turn in between: a few packets.
SEGMENT_BYTES = 4_096


class _Link:
    """The queue in front of one address's link."""

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
        """Take what a connection writes."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self._queue.append((transport, data[start : start + SEGMENT_BYTES]))
        self.queued_bytes += len(data)
        if not self._is_sending:
            self._is_sending = True
            self._next_send_s = max(self._next_send_s, self._loop.time())
            self._send()

    def _send(self) -> None:
        """Send the first piece, and the next when the link is free again."""
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
    """A connection whose writes wait for their address's link."""

    def __init__(self, loop: "NarrowLoop", sock: Any, *arguments: Any, **options: Any) -> None:
        host = sock.getsockname()[0]
        self._link = loop.links.get(host)
        self._link_queued_bytes = 0
        self._close_requested = False
        super().__init__(loop, sock, *arguments, **options)

    def is_closing(self) -> bool:
        """Tell whether the connection ends, now or when all has been sent."""
        return self._close_requested or super().is_closing()

    def write(self, data: bytes) -> None:
        """Queue at the link."""
        if self._link is None or not data:
            super().write(data)
            return
        self._link_queued_bytes += len(data)
        self._maybe_pause_protocol()
        self._link.enqueue(self, bytes(data))

    def writelines(self, pieces: Any) -> None:
        """Queue all pieces at the link."""
        self.write(b"".join(pieces))

    def get_write_buffer_size(self) -> int:
        """Count what waits at the link too."""
        return self._link_queued_bytes + super().get_write_buffer_size()

    def write_from_link(self, data: bytes) -> None:
        """Send what the link has let through."""
        self._link_queued_bytes -= len(data)
        if not self._conn_lost:
            super().write(data)
            self._maybe_resume_protocol()
        if self._close_requested and not self._link_queued_bytes:
            super().close()

    def close(self) -> None:
        """Close once all that was written has gone."""
        self._close_requested = True
        if not self._link_queued_bytes:
            super().close()


class NarrowLoop(asyncio.SelectorEventLoop):
    """A loop whose connections send by the links of their own addresses.

    `bytes_per_s` gives the rate of each address that has a narrow link, `delay_s`
    how long bytes are under way behind it. Time passes as `clock` says, if one is given.
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
