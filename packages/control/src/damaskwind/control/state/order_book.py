"""Orders to targets under fencing numbers that only grow."""

from typing import NamedTuple

from damaskwind.control.state.command import OrderCommand, WantedState

__all__ = ["MAX_ORDERS", "OrderBook", "OrderBookState", "TargetOrder"]

MAX_ORDERS = 4096


class TargetOrder(NamedTuple):
    """The end state last wanted of a target, under its fencing number.

    `address` is where the leader sends it; without one it is only on record.
    """

    target_id: str
    order_id: str
    fencing_number: int
    operator: str
    at_s: float
    wanted: WantedState
    address: str = ""


class OrderBookState(NamedTuple):
    """The book as a snapshot keeps it, oldest first; `issued` maps ids to numbers."""

    fencing_number: int = 0
    orders: tuple[TargetOrder, ...] = ()
    issued: tuple[tuple[str, int], ...] = ()


class OrderBook:
    """The latest order of each target. A repeated order keeps its first number."""

    def __init__(self, state: OrderBookState | None = None) -> None:
        start = state or OrderBookState()
        self._fencing_number = start.fencing_number
        self._orders = {order.target_id: order for order in start.orders}
        self._issued = dict(start.issued)

    @property
    def fencing_number(self) -> int:
        """Return the highest number given out."""
        return self._fencing_number

    def fencing_number_of(self, order_id: str) -> int | None:
        """Return the number that an order was given, while it is remembered."""
        return self._issued.get(order_id)

    def issue(self, command: OrderCommand) -> int:
        """Give an order the next number and make it the target's latest."""
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
        for book in (self._orders, self._issued):
            if len(book) > MAX_ORDERS:
                del book[next(iter(book))]
        return self._fencing_number

    def orders(self) -> tuple[TargetOrder, ...]:
        """Return the latest order of each target, oldest first."""
        return tuple(self._orders.values())

    def state(self) -> OrderBookState:
        """Return what a snapshot keeps."""
        return OrderBookState(self._fencing_number, self.orders(), tuple(self._issued.items()))
