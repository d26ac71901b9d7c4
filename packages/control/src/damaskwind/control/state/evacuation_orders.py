"""The state machine of evacuation orders: which failure domains are evacuated.

An order is a compare-and-set: it names the revision at which its failure domain last changed in
the proposer's view. An order with another base revision changes nothing and must be proposed
again upon the current one. So a proposal delayed by a broken link can't undo an order that was
acknowledged after it.
"""

from enum import StrEnum
from typing import NamedTuple, TypedDict

import msgspec

from damaskwind.model.evacuations import Evacuations

__all__ = [
    "EvacuationOrders",
    "EvacuationOrder",
    "OrderOutcome",
    "OrderResult",
    "decode_order_result",
    "is_order_command",
    "order_command",
]

# The msgpack type byte of a map of up to 15 fields; other commands are arrays.
_MAP_MASK, _MAP = 0xF0, 0x80


class OrderOutcome(StrEnum):
    """The outcome of an evacuation order."""

    STORED = "stored"
    UNCHANGED = "kept"
    OTHER_BASE = "other-base"


class OrderResult(NamedTuple):
    """The outcome of an order and the revision at which its failure domain last changed."""

    outcome: OrderOutcome
    revision: int


class EvacuationOrder(NamedTuple):
    """A failure domain, whether it is evacuated, and the revision at which that changed."""

    failure_domain: str
    is_evacuated: bool
    revision: int


class _OrderCommand(TypedDict):
    """Evacuate a failure domain, or lift its evacuation, if it last changed at `base_revision`."""

    failure_domain: str
    is_evacuated: bool
    base_revision: int


def order_command(failure_domain: str, is_evacuated: bool, base_revision: int) -> bytes:
    """Return the command that evacuates a failure domain or lifts its evacuation."""
    return msgspec.msgpack.encode(
        _OrderCommand(
            failure_domain=failure_domain,
            is_evacuated=is_evacuated,
            base_revision=base_revision,
        )
    )


def is_order_command(payload: bytes) -> bool:
    """Return whether a command of the log is an evacuation order."""
    return payload[:1] != b"" and payload[0] & _MAP_MASK == _MAP


def decode_order_result(result: bytes) -> OrderResult:
    """Decode a result of `EvacuationOrders.apply`."""
    return msgspec.msgpack.decode(result, type=OrderResult)


class EvacuationOrders:
    """The last order for each failure domain.

    >>> orders = EvacuationOrders()
    >>> decode_order_result(orders.apply(order_command("a", True, 0))).outcome.value
    'stored'
    >>> decode_order_result(orders.apply(order_command("a", False, 0))).outcome.value
    'other-base'
    >>> decode_order_result(orders.apply(order_command("a", False, 1))).revision
    2
    >>> orders.evacuations()
    Evacuations(revision=2, failure_domains=())
    """

    def __init__(self) -> None:
        self._orders: dict[str, EvacuationOrder] = {}
        self._revision = 0

    def apply(self, payload: bytes) -> bytes:
        """Apply a command and return its encoded result."""
        return msgspec.msgpack.encode(self._apply(payload))

    def _apply(self, payload: bytes) -> OrderResult:
        command = msgspec.msgpack.decode(payload, type=_OrderCommand)
        failure_domain = command["failure_domain"]
        last = self.last_order(failure_domain)
        if command["is_evacuated"] == last.is_evacuated:
            return OrderResult(OrderOutcome.UNCHANGED, last.revision)
        if command["base_revision"] != last.revision:
            return OrderResult(OrderOutcome.OTHER_BASE, last.revision)
        self._revision += 1
        self._orders[failure_domain] = EvacuationOrder(
            failure_domain, command["is_evacuated"], self._revision
        )
        return OrderResult(OrderOutcome.STORED, self._revision)

    def last_order(self, failure_domain: str) -> EvacuationOrder:
        """Return the last order for a failure domain; its revision is 0 if there was none."""
        return self._orders.get(failure_domain, EvacuationOrder(failure_domain, False, 0))

    def evacuations(self) -> Evacuations:
        """Return the failure domains that are currently evacuated."""
        evacuated = (item.failure_domain for item in self._orders.values() if item.is_evacuated)
        return Evacuations(self._revision, tuple(sorted(evacuated)))

    def snapshot(self) -> tuple[EvacuationOrder, ...]:
        """Return all orders, sorted by revision."""
        return tuple(sorted(self._orders.values(), key=lambda item: item.revision))

    def restore(self, orders: tuple[EvacuationOrder, ...]) -> None:
        """Replace all orders; the highest revision among them becomes the current one."""
        self._orders = {item.failure_domain: item for item in orders}
        self._revision = max((item.revision for item in orders), default=0)
