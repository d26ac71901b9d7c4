"""A budget that limits retries to a share of requests in a sliding window."""

from typing import NamedTuple

__all__ = ["RetryBudget"]

SLOT_S = 1.0
WINDOW_SLOTS = 10
FLOOR_RETRIES = 3


class _Slot(NamedTuple):
    """Requests and retries counted in one second."""

    number: int
    requests: int
    retries: int


class RetryBudget:
    """Count requests and retries over the last ten seconds.

    A retry is allowed while the retries of the window stay at or below `share`
    of its first attempts. With little traffic a share would allow no retries at all, so
    `floor_retries` per window are always allowed.

    >>> budget = RetryBudget(share=0.1, floor_retries=1)
    >>> budget.count_request(0.0)
    >>> budget.take(0.0), budget.take(0.0)
    (True, False)
    """

    def __init__(self, share: float, floor_retries: int = FLOOR_RETRIES) -> None:
        self.share = share
        self.floor_retries = floor_retries
        self._slots: list[_Slot] = []

    def _add(self, requests: int, retries: int, now_s: float) -> None:
        """Add counts to the slot of `now_s`."""
        number = int(now_s // SLOT_S)
        if self._slots and self._slots[-1].number >= number:
            last = self._slots.pop()
            self._slots.append(_Slot(last.number, last.requests + requests, last.retries + retries))
            return
        self._drop_expired(number)
        self._slots.append(_Slot(number, requests, retries))

    def _drop_expired(self, number: int) -> None:
        """Drop the slots that are older than the window."""
        oldest = number - WINDOW_SLOTS
        self._slots = [slot for slot in self._slots if slot.number > oldest]

    def count_request(self, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._add(1, 0, now_s)

    def remaining(self, now_s: float) -> int:
        """Return how many retries the window still allows."""
        self._drop_expired(int(now_s // SLOT_S))
        requests = sum(slot.requests for slot in self._slots)
        retries = sum(slot.retries for slot in self._slots)
        return max(self.floor_retries, int(self.share * requests)) - retries

    def take(self, now_s: float) -> bool:
        """Take one retry from the budget if any is left; return whether it was taken."""
        if self.remaining(now_s) <= 0:
            return False
        self._add(0, 1, now_s)
        return True
