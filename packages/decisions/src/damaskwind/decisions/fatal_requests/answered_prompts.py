"""Remember which parts the prompts had that a service has lately answered.

Where targets end for a reason of their own, what most requests hold is in flight at every end. Once
some requests are answered again, it is among them. That it is missing from all answers since a
time is no accident if its share before makes that improbable.

>>> prompts = AnsweredPrompts()
>>> for number in range(30):
...     prompts.record("s", [b"entry", b"%d" % number], now_s=1.0)
>>> prompts.record("s", [b"other"], now_s=3.0)
>>> prompts.are_missing("s", [b"fatal"], since_s=2.0), prompts.are_missing("s", [b"entry"], 2.0)
(True, False)
"""

from collections import deque
from collections.abc import Iterable
from math import log

__all__ = ["AnsweredPrompts"]

# The last answers of a service, at some 0.7 KB each.
MAX_ANSWERS = 64
MAX_SERVICES = 64
# How improbable it must be that answers lack parts by chance.
MAX_CHANCE = 0.05
# Answers without the parts that are assumed to have come before: a few with them tell little.
PRIOR_ANSWERS = 8
# Below this share, parts are so rarely in flight that the ends under them are evidence enough.
MIN_SHARE = 0.2


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

    def are_missing(self, service: str, parts: Iterable[bytes], since_s: float) -> bool:
        """Return whether enough requests that lack some of these parts were answered since a time.

        It takes at least one, and more the more usual the parts were before.
        """
        wanted = frozenset(parts)
        before, lacking = [], 0
        for at_s, answered in self._answers.get(service, ()):
            has_parts = wanted <= answered
            if at_s <= since_s:
                before.append(has_parts)
            else:
                lacking += not has_parts
        share = sum(before) / (len(before) + PRIOR_ANSWERS)
        if share < MIN_SHARE:
            return lacking > 0
        return lacking * log(1.0 - share) <= log(MAX_CHANCE)
