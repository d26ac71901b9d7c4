"""The state machine of a fleet's log: the configuration and evacuation orders."""

from typing import Any, NamedTuple

import msgspec

from damaskwind.control.state.evacuation_orders import (
    EvacuationOrder,
    EvacuationOrders,
    is_order_command,
)
from damaskwind.control.state.published_configuration import (
    PublishedConfiguration,
    command_version,
)

__all__ = ["FleetState", "describe_command"]


def describe_command(command: bytes) -> dict[str, Any]:
    """Return the log fields that identify a command: its kind, or the version it publishes."""
    if is_order_command(command):
        return {"order": True}
    return {"version": command_version(command)}


class _Snapshot(NamedTuple):
    """The configuration's version and packed document, and the evacuation orders.

    Snapshots written before the introduction of orders have only the first two
    fields.
    """

    version: int = 0
    packed: bytes = b""
    orders: tuple[EvacuationOrder, ...] = ()


class FleetState:
    """A state machine of two parts that share a log and its snapshots.

    >>> from damaskwind.control.state.evacuation_orders import order_command
    >>> from damaskwind.control.state.published_configuration import publish_command
    >>> state, restored = FleetState(), FleetState()
    >>> state.apply(1, publish_command(7, b"a")); len(state.apply(2, order_command("d", True, 0)))
    b'stored'
    9
    >>> restored.restore(state.snapshot())
    >>> restored.configuration.version, restored.orders.evacuations().failure_domains
    (7, ('d',))
    """

    def __init__(self) -> None:
        self.configuration = PublishedConfiguration()
        self.orders = EvacuationOrders()

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a command to the part that it addresses and return its outcome."""
        if is_order_command(payload):
            return self.orders.apply(payload)
        return self.configuration.apply(index, payload)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        stored = self.configuration
        return msgspec.msgpack.encode(
            _Snapshot(stored.version, stored.packed, self.orders.snapshot())
        )

    def restore(self, payload: bytes) -> None:
        """Replace the whole state."""
        content = msgspec.msgpack.decode(payload, type=_Snapshot)
        self.configuration.restore(content.version, content.packed)
        self.orders.restore(content.orders)
