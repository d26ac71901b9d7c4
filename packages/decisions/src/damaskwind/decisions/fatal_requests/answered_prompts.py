"""Remember which parts the prompts had that a service has lately answered.

>>> prompts = AnsweredPrompts()
>>> prompts.record("s", [b"entry", b"own"], now_s=3.0)
>>> prompts.has_without("s", [b"fatal"], since_s=2.0), prompts.has_without("s", [b"entry"], 2.0)
(True, False)
"""

from collections import deque
from collections.abc import Iterable
from itertools import takewhile

__all__ = ["AnsweredPrompts"]

# The last answers of a service, at some 0.7 KB each.
MAX_ANSWERS = 32
MAX_SERVICES = 64


class AnsweredPrompts:
    """The prompts of the last whole answers, as observed by one process; times are monotonic."""

    def __init__(self) -> None:
        self._answers: dict[str, deque[tuple[float, frozenset[bytes]]]] = {}

    def record(self, service: str, parts: Iterable[bytes], now_s: float) -> None:
        """Record that a request with these parts was answered whole."""
        answers = self._answers.pop(service, None) or deque(maxlen=MAX_ANSWERS)
        self._answers[service] = answers
        answers.append((now_s, frozenset(parts)))
        if len(self._answers) > MAX_SERVICES:
            del self._answers[next(iter(self._answers))]

    def has_without(self, service: str, parts: Iterable[bytes], since_s: float) -> bool:
        """Return whether a request that lacks some of these parts was answered since a time."""
        wanted = frozenset(parts)
        answers = reversed(self._answers.get(service, ()))
        return any(
            not wanted <= answered for _, answered in takewhile(lambda it: it[0] > since_s, answers)
        )
