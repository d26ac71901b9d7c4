"""The state machine of evacuation orders: which failure domains are emptied.

An order is written for what its proposer believed of the failure domain: the revision at which
that one last changed. One that was written for another revision changes nothing and is to be
written anew. So a proposal that a broken link held back can't undo an order that was
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

# What msgpack writes before a map of up to 15 fields; other commands are arrays.
_MAP_MASK, _MAP = 0xF0, 0x80


class OrderOutcome(StrEnum):
    """What became of an order."""

    STORED = "stored"
    UNCHANGED = "kept"
    OTHER_BASE = "other-base"


class OrderResult(NamedTuple):
    """The outcome of an order, and the revision at which its failure domain last changed."""

    outcome: OrderOutcome
    revision: int


class EvacuationOrder(NamedTuple):
    """A failure domain, whether it is emptied, and the revision at which that changed."""

    failure_domain: str
    is_evacuated: bool
    revision: int


class _OrderCommand(TypedDict):
    """Empty a failure domain, or take it back, if it last changed at `base_revision`."""

    failure_domain: str
    is_evacuated: bool
    base_revision: int


def order_command(failure_domain: str, is_evacuated: bool, base_revision: int) -> bytes:
    """Return the command that empties a failure domain or takes it back."""
    return msgspec.msgpack.encode(
        _OrderCommand(
            failure_domain=failure_domain,
            is_evacuated=is_evacuated,
            base_revision=base_revision,
        )
    )


def is_order_command(payload: bytes) -> bool:
    """Tell whether a command of the log is an order of this module."""
    return payload[:1] != b"" and payload[0] & _MAP_MASK == _MAP


def decode_order_result(result: bytes) -> OrderResult:
    """Decode what `EvacuationOrders.apply` returned."""
    return msgspec.msgpack.decode(result, type=OrderResult)


class EvacuationOrders:
    """Hold the last order for each failure domain.

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
        """Apply a command and return its result, encoded."""
        return msgspec.msgpack.encode(self._apply(payload))

    def _apply(self, payload: bytes) -> OrderResult:
        command = msgspec.msgpack.decode(payload, type=_OrderCommand)
        failure_domain = command["failure_domain"]
        held = self.last_order(failure_domain)
        if command["is_evacuated"] == held.is_evacuated:
            return OrderResult(OrderOutcome.UNCHANGED, held.revision)
        if command["base_revision"] != held.revision:
            return OrderResult(OrderOutcome.OTHER_BASE, held.revision)
        self._revision += 1
        self._orders[failure_domain] = EvacuationOrder(
            failure_domain, command["is_evacuated"], self._revision
        )
        return OrderResult(OrderOutcome.STORED, self._revision)

    def last_order(self, failure_domain: str) -> EvacuationOrder:
        """Return the last order for a failure domain; revision 0 when there was none."""
        return self._orders.get(failure_domain, EvacuationOrder(failure_domain, False, 0))

    def evacuations(self) -> Evacuations:
        """Return which failure domains are emptied now."""
        emptied = (item.failure_domain for item in self._orders.values() if item.is_evacuated)
        return Evacuations(self._revision, tuple(sorted(emptied)))

    def snapshot(self) -> tuple[EvacuationOrder, ...]:
        """Return all that is held, in the order of its revisions."""
        return tuple(sorted(self._orders.values(), key=lambda item: item.revision))

    def restore(self, held: tuple[EvacuationOrder, ...]) -> None:
        """Replace all that is held; the last to change has the newest revision."""
        self._orders = {item.failure_domain: item for item in held}
        self._revision = max((item.revision for item in held), default=0)
