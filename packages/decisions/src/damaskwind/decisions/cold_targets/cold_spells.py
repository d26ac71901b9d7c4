"""Know which targets are cold, and when one of them may be sent a request from here."""

from random import Random
from typing import NamedTuple

from damaskwind.decisions.cold_targets.sending_times import SendingTimes

__all__ = ["WARM", "ColdSpells", "ColdTerms", "Warmth"]


class ColdTerms(NamedTuple):
    """What cold targets of a service bear, stated by the operator.

    A target is cold for `start_s` after its start and bears `per_s` requests a second from all
    routers together; 0 where nothing is stated, and nothing is bounded then.
    """

    start_s: float = 0.0
    per_s: float = 0.0


class Warmth(NamedTuple):
    """Whether a target is cold, and whether it may be sent a request now."""

    is_cold: bool
    may_send: bool


# Multiples of it, less their whole part, lie evenly between 0 and 1: where all targets are cold,
# a router's times at them follow one another.
GOLDEN_PART = 0.618034
WARM = Warmth(False, True)


class _Spell(NamedTuple):
    until_s: float
    times: SendingTimes


class ColdSpells:
    """The cold targets that one router knows of.

    Its times at each of them are at random among the routers', but spread evenly over the targets.

    >>> spells = ColdSpells(Random(1))
    >>> spells.begin("t", now_s=0.0, cold_s=3.0)
    >>> terms = ColdTerms(3.0, 14.0)
    >>> spells.warmth("t", terms, routers=60, now_s=0.1)
    Warmth(is_cold=True, may_send=False)
    >>> spells.warmth("t", terms, 60, 3.0), spells.warmth("t", ColdTerms(), 60, 0.1)
    (Warmth(is_cold=False, may_send=True), Warmth(is_cold=False, may_send=True))
    """

    def __init__(self, random: Random) -> None:
        self._phase = random.random()
        self._spells: dict[str, _Spell] = {}

    def begin(self, target_id: str, now_s: float, cold_s: float) -> None:
        """Note that a target stays cold for `cold_s` from now on, or longer than was known."""
        until_s = now_s + cold_s
        held = self._spells.get(target_id)
        if held is None or held.until_s <= now_s:
            self._phase = (self._phase + GOLDEN_PART) % 1.0
            self._spells[target_id] = _Spell(until_s, SendingTimes(now_s, self._phase))
        elif held.until_s < until_s:
            self._spells[target_id] = held._replace(until_s=until_s)

    def knows(self, target_id: str) -> bool:
        """Tell whether a target is, or was a moment ago, cold."""
        return target_id in self._spells

    def warmth(self, target_id: str, terms: ColdTerms, routers: int, now_s: float) -> Warmth:
        """Return whether a target is cold, and whether this router may send there now."""
        spell = self._spells.get(target_id)
        if spell is None or not terms.per_s:
            return WARM
        if spell.until_s <= now_s:
            del self._spells[target_id]
            return WARM
        return Warmth(True, spell.times.is_open(now_s, routers, terms.per_s))

    def sent(self, target_id: str, terms: ColdTerms, routers: int) -> None:
        """Note that a request is being sent to a target."""
        spell = self._spells.get(target_id)
        if spell is not None and terms.per_s:
            spell.times.sent(routers, terms.per_s)

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self._spells.pop(target_id, None)

    def count(self, now_s: float) -> int:
        """Return how many targets are cold now."""
        return sum(spell.until_s > now_s for spell in self._spells.values())
