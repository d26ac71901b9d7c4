"""Bound the requests at a target whose answers have not begun.

The pattern: a surge. Engines take all that they are sent and read the prompts in
turns, or let them wait for a place, so that each request beyond what can begin in
time makes all of them late, and what is begun and given up on has cost those that
could have been served. The bound holds one router's requests to a target between the
send and the first piece of the answer. It grows while answers begin well within
their objectives and it is used, and shrinks when half of them no longer do (additive
increase, multiplicative decrease: Chiu and Jain, Computer Networks and ISDN Systems
17, 1989; delay as the signal: Brakmo, O'Malley and Peterson, "TCP Vegas", SIGCOMM 1994).
An answer that is overdue counts as late at once: what waits for its beginning would
tell a second after the fact, and the bound would swing between all and nothing.
Each target has its own, so that a slow one, or one behind a cut, holds up no other.
"""

from collections import deque
from math import ceil
from statistics import median
from typing import NamedTuple

__all__ = ["StartDelays", "StartWindow", "WindowPolicy"]


class WindowPolicy(NamedTuple):
    """How the bound follows what is observed.

    `initial_limit` holds until something is known. `min_limit` lets a router with a sliver
    of the traffic go on asking. Parts are of the objective, to the answer's
    beginning: above `late_fraction` for half of the answers of `memory_s` the bound
    is multiplied by `decrease`, once in `min_decrease_gap_s`, since the answers of that time
    were under way before; below `early_fraction` it grows by `increase` for each
    round of answers. What is overdue by `lost_fraction` holds no place any more: it
    may wait for a target that is gone. Where a target has given fewer than
    `min_answers`, those of its whole pool count: one router in many sees few.
    `initial_pool_limit` is the same as `initial_limit` for the bound of all targets together, and
    `counts_overdue` is false there: what is overdue behind a cut must not hold up
    those targets that answer.
    """

    initial_limit: float = 4.0
    initial_pool_limit: float = 512.0
    min_limit: float = 1.0
    max_limit: float = 512.0
    early_fraction: float = 0.45
    late_fraction: float = 0.6
    lost_fraction: float = 1.0
    increase: float = 2.0
    decrease: float = 0.75
    min_decrease_gap_s: float = 0.15
    memory_s: float = 0.8
    min_answers: int = 4
    counts_overdue: bool = True


DEFAULT_POLICY = WindowPolicy()


class StartDelays:
    """The parts of their objectives that answers took lately to begin."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._fractions: deque[tuple[float, float]] = deque(maxlen=64)

    def record(self, fraction: float, now_s: float) -> None:
        """Note one."""
        self._fractions.append((now_s, fraction))

    def recent(self, now_s: float) -> list[float]:
        """Return those that count now."""
        while self._fractions and self._fractions[0][0] < now_s - self._memory_s:
            self._fractions.popleft()
        return [fraction for _, fraction in self._fractions]


class _PendingStart(NamedTuple):
    """When a request was sent, and how soon its answer should begin."""

    at_s: float
    objective_s: float


class StartWindow:
    """One router's bound for one target; `pool_delays` gathers the beginnings at all of them.

    >>> window = StartWindow(WindowPolicy(initial_limit=8.0))
    >>> for number in range(8): window.sent(number, 0.0, 1.0)
    >>> window.headroom(0.1), window.headroom(0.7), window.limit
    (0, -2, 6.0)
    """

    def __init__(
        self, policy: WindowPolicy = DEFAULT_POLICY, pool_delays: StartDelays | None = None
    ) -> None:
        self._policy = policy
        self.limit = policy.initial_limit
        self._pending: dict[int, _PendingStart] = {}
        self._own_delays = StartDelays(policy.memory_s)
        self._pool_delays = pool_delays or StartDelays(policy.memory_s)
        self._last_decrease_s = float("-inf")

    def sent(self, number: int, now_s: float, objective_s: float) -> None:
        """Note that a request is sent."""
        self._pending[number] = _PendingStart(now_s, objective_s)

    def answer_started(self, number: int, now_s: float) -> None:
        """Note that an answer began."""
        pending_start = self._pending.pop(number, None)
        if pending_start is None:
            return
        fraction = _elapsed_fraction(pending_start, now_s)
        self._own_delays.record(fraction, now_s)
        self._pool_delays.record(fraction, now_s)
        is_utilised = len(self._pending) + 1 >= 0.5 * self.limit
        self._shrink_if_late(now_s)
        if is_utilised and self.median_start_fraction(now_s) < self._policy.early_fraction:
            increased = self.limit + self._policy.increase / max(self.limit, 1.0)
            self.limit = min(self._policy.max_limit, increased)

    def ended(self, number: int) -> None:
        """Note that no answer will begin."""
        self._pending.pop(number, None)

    def headroom(self, now_s: float) -> int:
        """Return how many more may be sent; below 0 when the bound has shrunk since."""
        self._shrink_if_late(now_s)
        lost_fraction = self._policy.lost_fraction
        pending = sum(
            _elapsed_fraction(pending_start, now_s) < lost_fraction
            for pending_start in self._pending.values()
        )
        return ceil(self.limit) - pending

    def median_start_fraction(self, now_s: float) -> float:
        """Return the median part that answers took lately to begin, overdue ones among them."""
        fractions = self._recent_fractions(now_s)
        return median(fractions) if fractions else 0.0

    def rejected(self, now_s: float) -> None:
        """Note that the target had no place left."""
        self._shrink(now_s)

    def _recent_fractions(self, now_s: float) -> list[float]:
        """Return the parts that count now."""
        overdue = []
        if self._policy.counts_overdue:
            waited = (
                _elapsed_fraction(pending_start, now_s) for pending_start in self._pending.values()
            )
            overdue = [fraction for fraction in waited if fraction > self._policy.late_fraction]
        fractions = self._own_delays.recent(now_s) + overdue
        if len(fractions) >= self._policy.min_answers:
            return fractions
        return self._pool_delays.recent(now_s) + overdue

    def _shrink_if_late(self, now_s: float) -> None:
        """Shrink if half of the answers are late."""
        fractions = self._recent_fractions(now_s)
        if (
            len(fractions) >= self._policy.min_answers
            and median(fractions) > self._policy.late_fraction
        ):
            self._shrink(now_s)

    def _shrink(self, now_s: float) -> None:
        """Take a part off the bound."""
        policy = self._policy
        if now_s - self._last_decrease_s < policy.min_decrease_gap_s:
            return
        self._last_decrease_s = now_s
        self.limit = max(policy.min_limit, self.limit * policy.decrease)


def _elapsed_fraction(pending_start: _PendingStart, now_s: float) -> float:
    """Return the time since a send as a part of the objective."""
    return (now_s - pending_start.at_s) / pending_start.objective_s
