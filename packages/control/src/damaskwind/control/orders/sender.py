"""Send the orders in the log to targets over HTTP while this replica leads."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import treq
from loguru import logger

from damaskwind.control.orders.delivery import AttemptResult, DeliveryTiming, OrderDelivery
from damaskwind.control.state.command import WantedState
from damaskwind.control.state.order_book import TargetOrder
from damaskwind.model.prefix import parse_model_name
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.clock import read_clock

__all__ = ["OrderSender", "wanted_table"]

POLL_INTERVAL_S = 0.1
_RESULTS = {200: AttemptResult.ACCEPTED, 409: AttemptResult.SUPERSEDED}


def wanted_table(wanted: WantedState) -> dict[str, Any]:
    """Return the table of a wanted state for engines, with adapters listed per model.

    >>> wanted_table(WantedState("serving", ("damask@1", "damask@1+rumi")))["models"]
    [{'model': 'damask', 'version': '1', 'adapters': ['rumi']}]
    """
    offers: dict[tuple[str, str], list[str]] = {}
    for text in wanted.models:
        name = parse_model_name(text)
        adapters = offers.setdefault((name.model, name.version), [])
        if name.adapter:
            adapters.append(name.adapter)
    models = [
        {"model": model, "version": version, "adapters": adapters}
        for (model, version), adapters in offers.items()
    ]
    return {"role": wanted.role, "models": models}


class OrderSender:
    """Poll for orders that are due and send them.

    `leading_term` returns the term in which this replica leads with a valid lease, or `None`.
    """

    def __init__(
        self,
        leading_term: Callable[[], int | None],
        orders: Callable[[], Sequence[TargetOrder]],
        timing: DeliveryTiming,
        random: Random,
    ) -> None:
        self._leading_term = leading_term
        self._orders = orders
        self._timing = timing
        self._delivery = OrderDelivery(timing, random)
        self._attempts: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send orders until cancelled; attempts are cancelled when the lease ends."""
        try:
            while True:
                term = self._leading_term()
                if term is None:
                    self._cancel_attempts()
                else:
                    for order in self._delivery.start_due(self._orders(), term, read_clock()):
                        self._start_attempt(order, term)
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self._cancel_attempts()

    def _start_attempt(self, order: TargetOrder, term: int) -> None:
        """Start an attempt to send an order."""
        task = asyncio.ensure_future(self._attempt(order, term))
        self._attempts.add(task)
        task.add_done_callback(self._attempts.discard)

    def _cancel_attempts(self) -> None:
        """Cancel every attempt in flight."""
        for task in list(self._attempts):
            task.cancel()

    async def _attempt(self, order: TargetOrder, term: int) -> None:
        """Send an order once and record the result."""
        result = AttemptResult.FAILED
        try:
            result = await asyncio.wait_for(self._send(order), self._timing.attempt_timeout_s)
        except Exception as error:  # retried whatever the cause
            logger.debug("order not sent", target=order.target_id, error=repr(error))
        finally:
            self._delivery.record_result(order, term, result, read_clock())
        if result is not AttemptResult.FAILED:
            number = order.fencing_number
            logger.info("order ended", target=order.target_id, number=number, result=str(result))

    async def _send(self, order: TargetOrder) -> AttemptResult:
        """Post an order and return the result from the status of the response."""
        body = {"fencing_number": order.fencing_number, "wanted": wanted_table(order.wanted)}
        url = f"http://{order.address}/orders"
        call = treq.post(url, json=body, persistent=False, timeout=self._timing.attempt_timeout_s)
        response = await to_future(call)
        await to_future(treq.content(response))
        return _RESULTS.get(response.code, AttemptResult.FAILED)
