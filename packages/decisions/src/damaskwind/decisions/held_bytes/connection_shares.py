"""Derive how many connections each listening address of a process may have open.

A connection takes a descriptor, and memory even if it carries nothing. Both belong to the process:
whoever fills one address must leave room for the others, and for the connections that the process
opens itself. So each address has a fixed share of either.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "CONNECTION_BYTES",
    "DEFAULT_MAX_CONNECTIONS",
    "DEFAULT_SOCKETS",
    "ConnectionRoom",
    "derive_max_connections",
]

# The descriptors for sockets of a process whose settings don't state them.
DEFAULT_SOCKETS = 1024
# The connections of an address whose process knows neither its descriptors nor its memory.
DEFAULT_MAX_CONNECTIONS = 1000
# What a connection holds at most that is not accounted for otherwise: its objects, a part of a
# head, and the bytes in the kernel that its caller has not read.
CONNECTION_BYTES = 49_152
# Of all parts of the descriptors; those which no address has are for the process's own use.
PARTS = 32
# Connections take this part of the bytes that may be held; the rest is for requests and answers.
MEMORY_SHARE = 0.5
# Every address takes some connections, however small its process is.
MIN_CONNECTIONS = 4


class ConnectionRoom(NamedTuple):
    """What the connections of a process may take: descriptors for sockets, and bytes."""

    sockets: int
    held_bytes: int


def derive_max_connections(room: ConnectionRoom, parts: Mapping[str, int]) -> dict[str, int]:
    """Return the largest number of connections of each address.

    `parts` has each address's part of `PARTS` of the descriptors. Of the memory for connections
    the addresses have the same parts of their sum.

    >>> room = ConnectionRoom(sockets=3_900, held_bytes=128 * 2**20)
    >>> derive_max_connections(room, {"callers": 10, "ready": 1})
    {'callers': 1218, 'ready': 121}
    >>> derive_max_connections(room._replace(held_bytes=48 * 2**20), {"callers": 10, "ready": 1})
    {'callers': 465, 'ready': 46}
    """
    by_memory = MEMORY_SHARE * room.held_bytes / CONNECTION_BYTES
    total = sum(parts.values())
    return {
        name: max(MIN_CONNECTIONS, int(min(room.sockets * part / PARTS, by_memory * part / total)))
        for name, part in parts.items()
    }
