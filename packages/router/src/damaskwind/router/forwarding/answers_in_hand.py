"""Bound the bytes that a router holds of all answers that it is reading, whatever deployment it is.

Where callers compete, `held_bytes` accounts for answers until their callers have taken them. This
bound is for all other answers, from their arrival until they are passed on: bodies that are
collected, starts of events, and what isn't parsed yet. A target that sends without end fills it.
"""

from collections.abc import Callable
from itertools import count

from loguru import logger

from damaskwind.decisions.held_bytes.bound import MIN_HELD_BYTES, derive_bounds
from damaskwind.decisions.held_bytes.ledger import HeldLedger
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["DEFAULT_BOUND_BYTES", "AnswersInHand", "answers_bound_bytes"]

# Eight of the largest answers; what a VM of 300 MB may hold.
DEFAULT_BOUND_BYTES = 128 * 1024 * 1024


def answers_bound_bytes(memory_bytes: int | None, has_held_bytes: bool) -> int:
    """Return the bytes of answers that a process may hold, which is killed beyond `memory_bytes`.

    With `has_held_bytes` only answers that are passed on to other routers are bounded here, since
    all others have accounts of their own.

    >>> [answers_bound_bytes(size, False) // 2**20 for size in (152 * 2**20, None)]
    [49, 128]
    >>> answers_bound_bytes(152 * 2**20, True) // 2**20
    8
    """
    if has_held_bytes:
        return MIN_HELD_BYTES
    if memory_bytes is None:
        return DEFAULT_BOUND_BYTES
    return derive_bounds(memory_bytes).total_bytes


class AnswerInHand:
    """The bytes held of the answers on one connection, one after the other."""

    def __init__(self, answers: "AnswersInHand", give_up: Callable[[int], None]) -> None:
        self.give_up = give_up
        self._answers = answers
        self._number = answers.next_number()

    def hold(self, size_bytes: int) -> None:
        """Add bytes; a negative size releases them."""
        self._answers.hold(self._number, self, size_bytes)

    def take(self, size_bytes: int) -> None:
        """Release bytes that were passed on."""
        self.hold(-size_bytes)


class AnswersInHand:
    """The answers that one router is reading, and the bound on all of them together.

    Beyond the bound the answer is given up that is largest for the time for which it was held.

    >>> given_up = []
    >>> answers = AnswersInHand(100, Tallies())
    >>> large, small = answers.open(given_up.append), answers.open(print)
    >>> small.hold(40); large.hold(80)
    >>> given_up, answers.held_bytes
    ([100], 40)
    """

    def __init__(self, bound_bytes: int, tallies: Tallies) -> None:
        self._ledger = HeldLedger(bound_bytes)
        self._tallies = tallies
        self._numbers = count(1)
        self._held: dict[int, AnswerInHand] = {}

    @property
    def held_bytes(self) -> int:
        """Return the bytes in hand."""
        return self._ledger.held_bytes

    @property
    def bound_bytes(self) -> int:
        """Return the bytes that may be in hand."""
        return self._ledger.bound_bytes

    def open(self, give_up: Callable[[int], None]) -> AnswerInHand:
        """Return the account of a connection; `give_up` is called with the bound, to end it."""
        return AnswerInHand(self, give_up)

    def next_number(self) -> int:
        """Return a number for another connection."""
        return next(self._numbers)

    def hold(self, number: int, answer: AnswerInHand, size_bytes: int) -> None:
        """Add bytes to an answer, and give up answers while all exceed the bound."""
        if number not in self._held:
            if size_bytes <= 0:
                return
            self._held[number] = answer
            self._ledger.open(number)
        self._ledger.hold(number, size_bytes, read_clock())
        if not self._ledger.answer_bytes(number):
            self._close(number)
        while (victim := self._ledger.victim(read_clock())) is not None:
            self._give_up(victim)

    def _close(self, number: int) -> AnswerInHand:
        self._ledger.close(number)
        return self._held.pop(number)

    def _give_up(self, number: int) -> None:
        self._tallies.count("answers_given_up", begun="reading")
        logger.warning(
            "answer given up while it was read",
            answer_bytes=self._ledger.answer_bytes(number),
            held_bytes=self._ledger.held_bytes,
            bound_bytes=self._ledger.bound_bytes,
            answers=len(self._held),
        )
        self._close(number).give_up(self._ledger.bound_bytes)
