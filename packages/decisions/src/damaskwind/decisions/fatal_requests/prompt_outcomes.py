"""Remember how the last sends to a service ended, and which parts their prompts had.

Where targets end for a reason of their own, what most requests hold is in flight at every end, and
what few hold ends targets as often as anything else. Two questions tell this from a part that is to
blame: whether it is missing from all answers by chance, and whether its ends are.

>>> outcomes = PromptOutcomes()
>>> for number in range(30):
...     outcomes.record("s", [b"entry", b"%d" % number], True, now_s=1.0)
>>> outcomes.record("s", [b"other"], True, now_s=3.0)
>>> outcomes.are_missing("s", [b"fatal"], since_s=2.0), outcomes.are_missing("s", [b"entry"], 2.0)
(True, False)
>>> outcomes.are_ends_by_chance("s", [b"fatal"], ends=3, since_s=0.0)
False
"""

from collections import deque
from collections.abc import Iterable
from math import log
from typing import NamedTuple

__all__ = ["PromptOutcomes"]

# The last sends of a service, at some 0.7 KB each.
MAX_SENDS = 64
MAX_SERVICES = 64
# How improbable it must be that answers lack parts, or that targets end under them, by chance.
MAX_CHANCE = 0.05
# Answers without the parts that are assumed to have come before: a few with them tell little.
PRIOR_ANSWERS = 8
# Below this share, parts are so rarely in flight that the ends under them are evidence enough.
MIN_SHARE = 0.2


class _Outcome(NamedTuple):
    at_s: float
    parts: frozenset[bytes]
    is_answered: bool


class PromptOutcomes:
    """How sends ended, as observed by one process: answered whole, or with their target's end.

    Times are monotonic.
    """

    def __init__(self) -> None:
        self._outcomes: dict[str, deque[_Outcome]] = {}

    def record(self, service: str, parts: Iterable[bytes], is_answered: bool, now_s: float) -> None:
        """Record that a request with these parts was answered, or that its target ended."""
        outcomes = self._outcomes.pop(service, None) or deque(maxlen=MAX_SENDS)
        self._outcomes[service] = outcomes
        outcomes.append(_Outcome(now_s, frozenset(parts), is_answered))
        if len(self._outcomes) > MAX_SERVICES:
            del self._outcomes[next(iter(self._outcomes))]

    def are_missing(self, service: str, parts: Iterable[bytes], since_s: float) -> bool:
        """Return whether enough requests that lack some of these parts were answered since a time.

        It takes at least one, and more the more usual the parts were before.
        """
        wanted = frozenset(parts)
        before, lacking = [], 0
        for at_s, answered, is_answered in self._outcomes.get(service, ()):
            has_parts = wanted <= answered
            if is_answered and at_s <= since_s:
                before.append(has_parts)
            elif is_answered:
                lacking += not has_parts
        share = sum(before) / (len(before) + PRIOR_ANSWERS)
        if share < MIN_SHARE:
            return lacking > 0
        return lacking * log(1.0 - share) <= log(MAX_CHANCE)

    def are_ends_by_chance(
        self, service: str, parts: Iterable[bytes], ends: int, since_s: float
    ) -> bool:
        """Return whether so many ends in a row are probable for sends without these parts too."""
        wanted = frozenset(parts)
        others = [
            is_answered
            for at_s, had, is_answered in self._outcomes.get(service, ())
            if at_s > since_s and not wanted <= had
        ]
        ended_share = (1 + others.count(False)) / (2 + len(others))
        return ends * log(ended_share) > log(MAX_CHANCE)
