"""Faults that a stand-in injects on demand, drawn from a seeded generator."""

import random
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Fault", "FaultPlan"]


class Fault(StrEnum):
    """A kind of fault of a target.

    `OTHERS_ID` answers with another request's id and text, `OTHERS_TEXT` with
    another's text under the correct id, which no router can detect; `CUT_ANSWER`
    closes the connection in the middle of the answer; `WRONG_LENGTH` declares more
    bytes than it sends; `NO_END_MARKER` ends a stream normally but without `[DONE]`;
    `RESET_AFTER_READ` runs the request and resets the connection without an answer;
    `LATE_EXTRA` sends a second answer on the idle connection; `REFUSE` refuses
    with `x-verdict: not-run`; `STALL` runs the request and never answers.
    """

    OTHERS_ID = "others_id"
    OTHERS_TEXT = "others_text"
    CUT_ANSWER = "cut_answer"
    WRONG_LENGTH = "wrong_length"
    NO_END_MARKER = "no_end_marker"
    RESET_AFTER_READ = "reset_after_read"
    LATE_EXTRA = "late_extra"
    REFUSE = "refuse"
    STALL = "stall"


class _Armed(NamedTuple):
    """An armed fault: the remaining hits and the probability of each."""

    remaining: int
    share: float


class FaultPlan:
    """Decide for each request whether a fault hits it.

    >>> plan = FaultPlan(random.Random(1))
    >>> plan.arm(Fault.REFUSE, count=1)
    >>> plan.consume(Fault.REFUSE), plan.consume(Fault.REFUSE)
    (True, False)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._armed: dict[Fault, _Armed] = {}

    def arm(self, fault: Fault, count: int = 1, share: float = 1.0) -> None:
        """Make a fault hit `share` of the requests until it has hit `count` of them."""
        self._armed[fault] = _Armed(count, share)

    def disarm(self) -> None:
        """Disarm all faults."""
        self._armed.clear()

    def consume(self, fault: Fault) -> bool:
        """Return whether the fault hits the current request, and count the hit."""
        armed = self._armed.get(fault)
        if armed is None or armed.remaining <= 0:
            return False
        if armed.share < 1.0 and self._rng.random() >= armed.share:
            return False
        self._armed[fault] = armed._replace(remaining=armed.remaining - 1)
        return True
