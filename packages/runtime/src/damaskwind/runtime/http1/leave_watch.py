"""Notice that a caller has left while nothing of its connection is read.

The event loop reports the end of a connection only to who reads. A caller that sends much ahead is
left unread until its answer has ended; meanwhile the kernel is asked.
"""

import asyncio
import socket
from collections.abc import Callable

from damaskwind.runtime.http1.tcp_state import has_peer_left

__all__ = ["LeaveWatch"]

# Work for a caller that has left goes on for this time at most.
INTERVAL_S = 0.2


class LeaveWatch:
    """Asks the kernel at intervals, between `start` and `stop`, whether the caller has left."""

    def __init__(self, handle: socket.socket, on_left: Callable[[], None]) -> None:
        self._handle = handle
        self._on_left = on_left
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to ask; a second call has no effect."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(INTERVAL_S, self._ask)

    def stop(self) -> None:
        """Ask no more; a second call has no effect."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None

    def _ask(self) -> None:
        self._timer = None
        if has_peer_left(self._handle):
            self._on_left()
            return
        self.start()
