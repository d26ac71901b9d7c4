"""Orders to targets with monotonically increasing fencing numbers."""

from typing import NamedTuple

from damaskwind.control.state.command import OrderCommand, WantedState

__all__ = ["MAX_ORDERS", "OrderBook", "OrderBookState", "TargetOrder"]

MAX_ORDERS = 4096


class TargetOrder(NamedTuple):
    """The latest wanted end state of a target, with its fencing number.

    The leader sends it to `address`; without one it is only recorded.
    """

    target_id: str
    order_id: str
    fencing_number: int
    operator: str
    at_s: float
    wanted: WantedState
    address: str = ""


class OrderBookState(NamedTuple):
    """The content of an order book in a snapshot, oldest first.

    `issued` maps order ids to fencing numbers.
    """

    fencing_number: int = 0
    orders: tuple[TargetOrder, ...] = ()
    issued: tuple[tuple[str, int], ...] = ()


class OrderBook:
    """The latest order of each target; a repeated order keeps its first number."""

    def __init__(self, state: OrderBookState | None = None) -> None:
        initial = state or OrderBookState()
        self._fencing_number = initial.fencing_number
        self._orders = {order.target_id: order for order in initial.orders}
        self._issued = dict(initial.issued)

    @property
    def fencing_number(self) -> int:
        """Return the highest fencing number issued."""
        return self._fencing_number

    def fencing_number_of(self, order_id: str) -> int | None:
        """Return the fencing number issued for an order, or `None` if it is not kept."""
        return self._issued.get(order_id)

    def issue(self, command: OrderCommand) -> int:
        """Issue the next fencing number for an order and make it the target's latest."""
        self._fencing_number += 1
        order = TargetOrder(
            command.target_id,
            command.order_id,
            self._fencing_number,
            command.actor.operator,
            command.actor.now_s,
            command.wanted,
            command.address,
        )
        self._orders.pop(command.target_id, None)
        self._orders[command.target_id] = order
        self._issued[command.order_id] = self._fencing_number
        for table in (self._orders, self._issued):
            if len(table) > MAX_ORDERS:
                del table[next(iter(table))]
        return self._fencing_number

    def orders(self) -> tuple[TargetOrder, ...]:
        """Return the latest order of each target, oldest first."""
        return tuple(self._orders.values())

    def state(self) -> OrderBookState:
        """Return the content for a snapshot."""
        return OrderBookState(self._fencing_number, self.orders(), tuple(self._issued.items()))
