"""Decide which orders to send to their targets now; a pure state machine.

Only a leader with a valid lease sends. Each order carries its fencing number,
which a target with fencing compares with the highest it has seen. For targets
without fencing, a new leader first waits until no attempt of the previous
sender can be in flight: for its lease and the longest attempt. Within one term
there is no other sender, so a lease that lapses and is renewed causes no wait.
There is at most one attempt in flight to a target, and a newer order replaces
older ones. Orders state the wanted end state, so a new leader may resend all.

One case remains: the network may delay an attempt for longer than the wait and
then deliver it to a target that ignores fencing numbers.
"""

from collections.abc import Sequence
from enum import StrEnum
from random import Random
from typing import NamedTuple

from damaskwind.control.state.order_book import TargetOrder

__all__ = ["AttemptResult", "DeliveryTiming", "OrderDelivery"]


class AttemptResult(StrEnum):
    """The result of one attempt to send an order."""

    ACCEPTED = "taken"
    SUPERSEDED = "superseded"
    FAILED = "failed"


class DeliveryTiming(NamedTuple):
    """Parameters of the sender; `lease_s` is the longest lease of any leader."""

    lease_s: float
    attempt_timeout_s: float = 2.0
    initial_backoff_s: float = 0.25
    max_backoff_s: float = 30.0
    max_concurrent_attempts: int = 32

    @property
    def initial_wait_s(self) -> float:
        """Return how long a new leader waits before its first order, in seconds."""
        return self.lease_s + self.attempt_timeout_s


class _TargetProgress:
    """The progress of the orders to one target in the current term."""

    def __init__(self) -> None:
        self.finished_number = 0
        self.is_in_flight = False
        self.failures = 0
        self.next_attempt_s = float("-inf")


class OrderDelivery:
    """The scheduler for the orders of one sender; its state is reset in each new term."""

    def __init__(self, timing: DeliveryTiming, random: Random) -> None:
        self._timing = timing
        self._random = random
        self._term = 0
        self._first_send_s = float("inf")
        self._targets: dict[str, _TargetProgress] = {}

    def start_due(
        self, orders: Sequence[TargetOrder], term: int | None, now_s: float
    ) -> list[TargetOrder]:
        """Return the orders to send now and mark them as in flight.

        The caller starts an attempt for each. `term` is the term in which this
        replica leads with a valid lease, or `None`.
        """
        if term is None:
            return []
        if term != self._term:
            self._term = term
            self._first_send_s = now_s + self._timing.initial_wait_s
            self._targets = {}
        if now_s < self._first_send_s:
            return []
        headroom = self._timing.max_concurrent_attempts
        headroom -= sum(progress.is_in_flight for progress in self._targets.values())
        chosen = [order for order in orders if self._is_due(order, now_s)][: max(headroom, 0)]
        for order in chosen:
            self._targets[order.target_id].is_in_flight = True
        return chosen

    def record_result(
        self, order: TargetOrder, term: int, result: AttemptResult, now_s: float
    ) -> None:
        """Record the result of an attempt that was started in `term`."""
        progress = self._targets.get(order.target_id)
        if term != self._term or progress is None:
            return
        progress.is_in_flight = False
        if result is not AttemptResult.FAILED:
            progress.finished_number = order.fencing_number
            progress.failures = 0
            progress.next_attempt_s = now_s
            return
        timing = self._timing
        backoff_s = min(timing.initial_backoff_s * 2**progress.failures, timing.max_backoff_s)
        progress.failures = min(progress.failures + 1, 32)
        progress.next_attempt_s = now_s + self._random.uniform(0, backoff_s)

    def _is_due(self, order: TargetOrder, now_s: float) -> bool:
        """Return whether an attempt to send an order should start."""
        if not order.address:
            return False
        progress = self._targets.setdefault(order.target_id, _TargetProgress())
        is_open = order.fencing_number > progress.finished_number
        return is_open and not progress.is_in_flight and now_s >= progress.next_attempt_s
