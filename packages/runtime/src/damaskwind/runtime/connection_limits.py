"""Bound the connections of all listening addresses of a process together."""

from collections.abc import Mapping

from loguru import logger

from damaskwind.decisions.held_bytes.connection_shares import (
    DEFAULT_SOCKETS,
    ConnectionRoom,
    derive_max_connections,
)
from damaskwind.runtime.held_bytes import HeldBytes
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.tallies import Tallies

__all__ = ["open_connection_limits"]


def open_connection_limits(
    parts: Mapping[str, int],
    sockets: int | None,
    stated: Mapping[str, int],
    account: HeldBytes,
    tallies: Tallies,
) -> dict[str, ConnectionLimit]:
    """Return the limit of each address by its name.

    `parts` has each address's part of the descriptors, of which `sockets` are for sockets.
    `stated` limits, in connections, replace those that are derived. What connections hold counts
    in the process's `account`.
    """
    room = ConnectionRoom(sockets or DEFAULT_SOCKETS, account.ledger.bound_bytes)
    numbers = derive_max_connections(room, parts)
    numbers |= {name: number for name, number in stated.items() if name in parts}
    logger.info("connections bounded", sockets=room.sockets, **numbers)
    limits = {}
    for name, number in numbers.items():
        limit = ConnectionLimit(name, number, tallies, account.count_connections)
        limits[name] = limit
        tallies.gauge(f"connections_{name}", "open", lambda limit=limit: limit.open)
        tallies.gauge(
            f"connections_{name}_bound", "at most", lambda limit=limit: limit.max_connections
        )
    return limits
