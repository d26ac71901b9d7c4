"""Keep what each target asked one router for, as long as it holds.

The pattern: a target says in an answer that it wants no requests for some seconds, or that it
leaves, and the next request is placed by somebody who has not heard it. Each word is kept for
the life of the target that said it and for the router that it was said to.

| word | holds | ended early by |
|---|---|---|
| rest | until the latest end asked for | nothing, neither a good answer nor a shorter wish |
| leaving | as long as its life may last | nothing: a heartbeat that says it serves may be older |

Both outweigh load, home and health, also where no other target is there.
A new life owes nothing of the former one's.
"""

from collections.abc import Hashable, Iterable
from enum import StrEnum

from damaskwind.decisions.target_words.said import Said

__all__ = ["TargetWords", "Wish"]

# Longer than a target is under way to its end, also behind cuts.
LEAVING_KEPT_S = 3600.0


class Wish(StrEnum):
    """What a target wants of a router now."""

    NOTHING = "nothing"
    REST = "rest"
    LEAVE = "leave"


class TargetWords:
    """The words of all targets to one router, by the life that said them.

    >>> words = TargetWords()
    >>> words.hear("t", Said(rest_s=3.0), now_s=10.0)
    <Wish.REST: 'rest'>
    >>> words.hear("t", Said(rest_s=1.0), 10.1)
    <Wish.NOTHING: 'nothing'>
    >>> words.wish("t", 12.9).value, words.wish("t", 13.0).value, words.wish("u", 12.9).value
    ('rest', 'nothing', 'nothing')
    """

    def __init__(self) -> None:
        self._rest_until_s: dict[Hashable, float] = {}
        self._left_s: dict[Hashable, float] = {}

    def __len__(self) -> int:
        return len(self._rest_until_s) + len(self._left_s)

    def hear(self, life: Hashable, said: Said, now_s: float) -> Wish:
        """Take what a life of a target said; return which wish is new.

        A target that rests and asks for a little more has no new wish, but rests longer.
        """
        if said.is_leaving and life not in self._left_s:
            self._forget_old(now_s)
            self._left_s[life] = now_s
            return Wish.LEAVE
        if not said.rest_s:
            return Wish.NOTHING
        was_resting = self._rest_until_s.get(life, 0.0) > now_s
        if not was_resting:
            self._forget_old(now_s)
        until_s = now_s + said.rest_s
        self._rest_until_s[life] = max(until_s, self._rest_until_s.get(life, 0.0))
        return Wish.NOTHING if was_resting else Wish.REST

    def wish(self, life: Hashable, now_s: float) -> Wish:
        """Return what a life of a target wants now."""
        if life in self._left_s:
            return Wish.LEAVE
        if self._rest_until_s.get(life, 0.0) > now_s:
            return Wish.REST
        return Wish.NOTHING

    def wishing(self, now_s: float) -> tuple[Hashable, ...]:
        """Return the lives that want something now."""
        lives = self._left_s.keys() | self._rest_until_s.keys()
        return tuple(life for life in lives if self.wish(life, now_s) is not Wish.NOTHING)

    def rest_left_s(self, lives: Iterable[Hashable], now_s: float) -> float | None:
        """Return the seconds until the first of these that rest ends its rest, if any rests.

        >>> words = TargetWords()
        >>> for life, rest_s in (("t", 3.0), ("u", 1.0)):
        ...     _ = words.hear(life, Said(rest_s), 10.0)
        >>> words.rest_left_s(("t", "u"), 10.5), words.rest_left_s(("v",), 10.5)
        (0.5, None)
        """
        resting = [life for life in lives if self.wish(life, now_s) is Wish.REST]
        return min((self._rest_until_s[life] - now_s for life in resting), default=None)

    def count(self, wish: Wish, now_s: float) -> int:
        """Return how many targets have a wish now."""
        return sum(self.wish(life, now_s) is wish for life in self.wishing(now_s))

    def _forget_old(self, now_s: float) -> None:
        """Drop what holds no longer."""
        rests, left = self._rest_until_s, self._left_s
        self._rest_until_s = {life: until_s for life, until_s in rests.items() if until_s > now_s}
        self._left_s = {life: at_s for life, at_s in left.items() if at_s + LEAVING_KEPT_S > now_s}
