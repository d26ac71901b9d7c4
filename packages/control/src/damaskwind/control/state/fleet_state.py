"""All that the log of a fleet of replicas drives: the configuration and operators' orders."""

from typing import NamedTuple

import msgspec

from damaskwind.control.state.evacuation_orders import (
    EvacuationOrder,
    EvacuationOrders,
    is_order_command,
)
from damaskwind.control.state.published_configuration import PublishedConfiguration

__all__ = ["FleetState"]


class _Snapshot(NamedTuple):
    """The configuration's version and packed document, and the orders.

    Logs that were written before there were orders have the first two fields.
    """

    version: int = 0
    packed: bytes = b""
    orders: tuple[EvacuationOrder, ...] = ()


class FleetState:
    """One state machine of two parts, so that both share a log and its snapshots.

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
        """Apply a command to the part that it is for, and return its outcome."""
        if is_order_command(payload):
            return self.orders.apply(payload)
        return self.configuration.apply(index, payload)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        held = self.configuration
        return msgspec.msgpack.encode(_Snapshot(held.version, held.packed, self.orders.snapshot()))

    def restore(self, payload: bytes) -> None:
        """Replace the whole state."""
        held = msgspec.msgpack.decode(payload, type=_Snapshot)
        self.configuration.restore(held.version, held.packed)
        self.orders.restore(held.orders)
