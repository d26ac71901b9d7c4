"""Bound the bytes that a router holds of the answers that it reads for other routers.

Its own callers' answers are accounted for by `runtime.held_bytes` until the callers have taken
them. This bound is for all other answers, from their arrival until they are passed on: bodies that
are collected, starts of events, and what isn't parsed yet. A target without end fills it.
"""

from collections.abc import Callable
from itertools import count

from loguru import logger

from damaskwind.decisions.held_bytes.bound import MIN_HELD_BYTES
from damaskwind.decisions.held_bytes.ledger import HeldLedger
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["RELAYED_BOUND_BYTES", "AnswersInHand"]

# Pieces of answers are passed on as they come, so that little is in hand of each.
RELAYED_BOUND_BYTES = MIN_HELD_BYTES


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
