"""Keep connections to targets, and hand out only those that are provably clean."""

import time
from typing import Any

from damaskwind.model.targets import Address
from damaskwind.runtime.http1.client import ClientConnection, connect
from damaskwind.runtime.http1.messages import Headers, header

__all__ = ["TargetConnections"]

# A new connection inside a region stands within some ms; a lost opening packet
# is sent again after a second, and by then another target has answered.
CONNECT_S = 0.3
# Idle time without the target's word on it; targets close idle connections.
IDLE_S = 2.0
# Distance kept from the idle time that the target names.
IDLE_MARGIN_S = 0.5


class TargetConnections:
    """Idle connections by target id; a target's successor has another id."""

    def __init__(self, reactor: Any) -> None:
        self.opened = 0
        self._reactor = reactor
        self._idle: dict[str, list[ClientConnection]] = {}

    async def take(self, target_id: str, address: Address, timeout_s: float) -> ClientConnection:
        """Return a clean connection, kept or new.

        Raises `ConnectFailedError` when none stands in time: nothing was sent.
        """
        idle = self._idle.get(target_id, [])
        now_s = time.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_open and connection.usable_until_s > now_s:
                return connection
            connection.close()
        self.opened += 1
        return await connect(self._reactor, address, min(timeout_s, CONNECT_S))

    def give_back(self, target_id: str, connection: ClientConnection, headers: Headers) -> None:
        """Keep a connection whose answer was read to its end, if it may be kept."""
        if not connection.release():
            return
        idle_s = _idle_s(headers)
        if idle_s <= 0:
            connection.close()
            return
        connection.usable_until_s = time.monotonic() + idle_s
        self._idle.setdefault(target_id, []).append(connection)

    def forget(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for connection in self._idle.pop(target_id, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for target_id in list(self._idle):
            self.forget(target_id)


def _idle_s(headers: Headers) -> float:
    """Return how long a connection may be kept idle by an answer's headers.

    >>> _idle_s([(b"keep-alive", b"timeout=5")]), _idle_s([(b"connection", b"close")])
    (4.5, 0.0)
    """
    if (header(headers, b"connection") or b"").lower() == b"close":
        return 0.0
    for item in (header(headers, b"keep-alive") or b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(int(value) - IDLE_MARGIN_S, 0.0)
    return IDLE_S
