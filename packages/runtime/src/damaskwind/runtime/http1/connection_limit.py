"""Keep the connections of one listening address below a bound, and choose whom to close for it.

A new connection takes the place of the one that has waited longest without a whole request; where
there is none, of the one whose caller has kept the process waiting longest. A caller whose request
is in hand, and who reads, is never closed. Where no one is to be closed, the new one is refused.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from loguru import logger

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["NO_LIMIT", "ConnectionLimit", "ConnectionSide"]

NO_LIMIT = 2**31
# A caller that has kept the process waiting for less than this is not closed for that.
MIN_STALL_S = 1.0
# At most one log line in this time.
LOG_INTERVAL_S = 1.0
# The first number of connections that is logged as the largest so far; then each twice as large.
FIRST_LOGGED_PEAK = 16


class ConnectionSide(Protocol):
    """What the limit needs of a connection.

    `stalled_since_s` is since when its caller keeps the process waiting, `None` if it doesn't.
    """

    stalled_since_s: float | None

    def displace(self) -> None:
        """Close the connection at once, for another one."""


class _Unlogged(NamedTuple):
    """What the limit did since its last log line."""

    displaced: int = 0
    refused: int = 0


class ConnectionLimit:
    """The open connections of one address, at most `max_connections`.

    `on_count` is called with each change of their number.

    >>> limit = ConnectionLimit("callers", 2, Tallies())
    >>> limit.make_room(), limit.open
    (True, 0)
    """

    def __init__(
        self,
        name: str = "",
        max_connections: int = NO_LIMIT,
        tallies: Tallies | None = None,
        on_count: Callable[[int], None] = lambda change: None,
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self._tallies = Tallies() if tallies is None else tallies
        self._on_count = on_count
        self._connections: set[ConnectionSide] = set()
        # Accepted, and not yet connected to their transports.
        self._accepted = 0
        # Those without a whole request, the longest first.
        self._waiting: dict[ConnectionSide, None] = {}
        self._unlogged = _Unlogged()
        self._logged_s = float("-inf")
        self._next_logged_peak = FIRST_LOGGED_PEAK

    @property
    def open(self) -> int:
        """Return the number of connections."""
        return len(self._connections) + self._accepted

    def record_accepted(self) -> None:
        """Count a connection that has no transport yet."""
        self._accepted += 1
        self._on_count(1)
        self._log_peak()

    def record_opened(self, connection: ConnectionSide) -> None:
        """Count a connection, in place of one that was accepted."""
        self._connections.add(connection)
        if self._accepted:
            self._accepted -= 1
        else:
            self._on_count(1)
            self._log_peak()

    def record_failed(self) -> None:
        """Count an accepted connection no more, as it got no transport."""
        self._accepted -= 1
        self._on_count(-1)

    def record_closed(self, connection: ConnectionSide) -> None:
        """Count a connection no more; a second call has no effect."""
        self._waiting.pop(connection, None)
        if connection in self._connections:
            self._connections.discard(connection)
            self._on_count(-1)

    def begin_wait(self, connection: ConnectionSide) -> None:
        """Record that a connection carries no whole request; a second call has no effect."""
        if connection in self._connections:
            self._waiting.setdefault(connection)

    def end_wait(self, connection: ConnectionSide) -> None:
        """Record that a connection carries a whole request."""
        self._waiting.pop(connection, None)

    def make_room(self) -> bool:
        """Return whether another connection may be accepted, after one was closed for it."""
        if self.open < self.max_connections:
            return True
        victim = self._find_victim()
        if victim is not None:
            self._tallies.count("connections_displaced", address=self.name)
            self._log(_Unlogged(displaced=1))
            self.record_closed(victim)
            victim.displace()
            return True
        self._tallies.count("connections_refused", address=self.name)
        self._log(_Unlogged(refused=1))
        return False

    def _find_victim(self) -> ConnectionSide | None:
        """Return the connection to close, `None` if there is none."""
        for connection in self._waiting:
            return connection
        latest_s = read_clock() - MIN_STALL_S
        stalled = [
            (since_s, connection)
            for connection in self._connections
            if (since_s := connection.stalled_since_s) is not None and since_s < latest_s
        ]
        _, victim = min(stalled, key=lambda item: item[0], default=(0.0, None))
        return victim

    def _log_peak(self) -> None:
        """Log the number of connections each time that it has doubled."""
        if self.open < self._next_logged_peak:
            return
        logger.info(
            "most connections so far",
            address=self.name,
            open=self.open,
            max_connections=self.max_connections,
        )
        self._next_logged_peak = 2 * self.open

    def _log(self, change: _Unlogged) -> None:
        """Count what was done, and log it unless that was just done."""
        self._unlogged = _Unlogged(*map(sum, zip(self._unlogged, change, strict=True)))
        now_s = read_clock()
        if now_s < self._logged_s + LOG_INTERVAL_S:
            return
        logger.warning(
            "connections at their limit",
            address=self.name,
            open=self.open,
            max_connections=self.max_connections,
            waiting=len(self._waiting),
            **self._unlogged._asdict(),
        )
        self._logged_s, self._unlogged = now_s, _Unlogged()
