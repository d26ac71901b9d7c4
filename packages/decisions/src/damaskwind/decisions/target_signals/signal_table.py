"""Store the signals that targets sent to one router in their answers.

A target can ask in an answer for a pause of some seconds, or announce that it is leaving.
Without this table, the next request could be placed by code that did not see that answer.
A signal applies to the incarnation of the target that sent it, and only to the router that
received it.

| signal | lasts | cancelled by |
|---|---|---|
| rest | until the latest end requested | nothing: neither a good answer nor a shorter rest |
| leave | as long as the incarnation | nothing: a heartbeat that reports serving may be older |

Both take precedence over load, home and health, even when there is no other target.
Signals of an earlier incarnation don't apply to a later one.
"""

from collections.abc import Hashable, Iterable
from enum import StrEnum

from damaskwind.decisions.target_signals.answer_signals import AnswerSignals

__all__ = ["SignalTable", "TargetSignal"]

# Longer than a leaving target takes to shut down, including during network partitions.
LEAVING_TTL_S = 3600.0


class TargetSignal(StrEnum):
    """What a target currently asks of a router."""

    NOTHING = "nothing"
    REST = "rest"
    LEAVE = "leave"


class SignalTable:
    """The signals of all targets to one router, by target incarnation.

    >>> table = SignalTable()
    >>> table.observe("t", AnswerSignals(rest_s=3.0), now_s=10.0)
    <TargetSignal.REST: 'rest'>
    >>> table.observe("t", AnswerSignals(rest_s=1.0), 10.1)
    <TargetSignal.NOTHING: 'nothing'>
    >>> table.signal("t", 12.9).value, table.signal("t", 13.0).value, table.signal("u", 12.9).value
    ('rest', 'nothing', 'nothing')
    """

    def __init__(self) -> None:
        self._rest_until_s: dict[Hashable, float] = {}
        self._leaving_since_s: dict[Hashable, float] = {}

    def __len__(self) -> int:
        return len(self._rest_until_s) + len(self._leaving_since_s)

    def observe(self, incarnation: Hashable, signals: AnswerSignals, now_s: float) -> TargetSignal:
        """Record the signals of an answer; return the one that is new.

        A target that is already paused and asks for a longer pause has no new signal, but
        its pause is extended.
        """
        if signals.is_leaving and incarnation not in self._leaving_since_s:
            self._drop_expired(now_s)
            self._leaving_since_s[incarnation] = now_s
            return TargetSignal.LEAVE
        if not signals.rest_s:
            return TargetSignal.NOTHING
        was_paused = self._rest_until_s.get(incarnation, 0.0) > now_s
        if not was_paused:
            self._drop_expired(now_s)
        until_s = now_s + signals.rest_s
        self._rest_until_s[incarnation] = max(until_s, self._rest_until_s.get(incarnation, 0.0))
        return TargetSignal.NOTHING if was_paused else TargetSignal.REST

    def signal(self, incarnation: Hashable, now_s: float) -> TargetSignal:
        """Return the current signal of a target incarnation."""
        if incarnation in self._leaving_since_s:
            return TargetSignal.LEAVE
        if self._rest_until_s.get(incarnation, 0.0) > now_s:
            return TargetSignal.REST
        return TargetSignal.NOTHING

    def active(self, now_s: float) -> tuple[Hashable, ...]:
        """Return the incarnations that have a signal other than `NOTHING` now."""
        incarnations = self._leaving_since_s.keys() | self._rest_until_s.keys()
        return tuple(
            incarnation
            for incarnation in incarnations
            if self.signal(incarnation, now_s) is not TargetSignal.NOTHING
        )

    def pause_left_s(self, incarnations: Iterable[Hashable], now_s: float) -> float | None:
        """Return the seconds until the first pause of these incarnations ends, if any is paused.

        >>> table = SignalTable()
        >>> for incarnation, rest_s in (("t", 3.0), ("u", 1.0)):
        ...     _ = table.observe(incarnation, AnswerSignals(rest_s), 10.0)
        >>> table.pause_left_s(("t", "u"), 10.5), table.pause_left_s(("v",), 10.5)
        (0.5, None)
        """
        paused = [
            incarnation
            for incarnation in incarnations
            if self.signal(incarnation, now_s) is TargetSignal.REST
        ]
        return min(
            (self._rest_until_s[incarnation] - now_s for incarnation in paused), default=None
        )

    def count(self, signal: TargetSignal, now_s: float) -> int:
        """Return how many targets have this signal now."""
        return sum(self.signal(incarnation, now_s) is signal for incarnation in self.active(now_s))

    def _drop_expired(self, now_s: float) -> None:
        """Drop signals that have expired."""
        paused, leaving = self._rest_until_s, self._leaving_since_s
        self._rest_until_s = {
            incarnation: until_s for incarnation, until_s in paused.items() if until_s > now_s
        }
        self._leaving_since_s = {
            incarnation: at_s
            for incarnation, at_s in leaving.items()
            if at_s + LEAVING_TTL_S > now_s
        }
