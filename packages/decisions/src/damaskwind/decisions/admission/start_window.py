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

__all__ = ["Beginnings", "StartWindow", "WindowPolicy"]


class WindowPolicy(NamedTuple):
    """How the bound follows what is observed.

    `first` holds until something is known. `least` lets a router with a sliver
    of the traffic go on asking. Parts are of the objective, to the answer's
    beginning: above `late_part` for half of the answers of `memory_s` the bound
    is multiplied by `decrease`, once in `pause_s`, since the answers of that time
    were under way before; below `early_part` it grows by `increase` for each
    round of answers. What is overdue by `lost_part` holds no place any more: it
    may wait for a target that is gone. Where a target has given fewer than
    `least_answers`, those of its whole pool count: one router in many sees few.
    `first_of_pool` is the same as `first` for the bound of all targets together, and
    `counts_overdue` is false there: what is overdue behind a cut must not hold up
    those targets that answer.
    """

    first: float = 4.0
    first_of_pool: float = 512.0
    least: float = 1.0
    most: float = 512.0
    early_part: float = 0.45
    late_part: float = 0.6
    lost_part: float = 1.0
    increase: float = 2.0
    decrease: float = 0.75
    pause_s: float = 0.15
    memory_s: float = 0.8
    least_answers: int = 4
    counts_overdue: bool = True


DEFAULT_POLICY = WindowPolicy()


class Beginnings:
    """The parts of their objectives that answers took lately to begin."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._parts: deque[tuple[float, float]] = deque(maxlen=64)

    def add(self, part: float, now_s: float) -> None:
        """Note one."""
        self._parts.append((now_s, part))

    def recent(self, now_s: float) -> list[float]:
        """Return those that count now."""
        while self._parts and self._parts[0][0] < now_s - self._memory_s:
            self._parts.popleft()
        return [part for _, part in self._parts]


class _Sent(NamedTuple):
    """When a request was sent, and how soon its answer should begin."""

    at_s: float
    objective_s: float


class StartWindow:
    """One router's bound for one target; `pool` gathers the beginnings at all of them.

    >>> window = StartWindow(WindowPolicy(first=8.0))
    >>> for number in range(8): window.sent(number, 0.0, 1.0)
    >>> window.room(0.1), window.room(0.7), window.limit
    (0, -2, 6.0)
    """

    def __init__(
        self, policy: WindowPolicy = DEFAULT_POLICY, pool: Beginnings | None = None
    ) -> None:
        self._policy = policy
        self.limit = policy.first
        self._sent: dict[int, _Sent] = {}
        self._own = Beginnings(policy.memory_s)
        self._pool = pool or Beginnings(policy.memory_s)
        self._shrunk_s = float("-inf")

    def sent(self, number: int, now_s: float, objective_s: float) -> None:
        """Note that a request is sent."""
        self._sent[number] = _Sent(now_s, objective_s)

    def begun(self, number: int, now_s: float) -> None:
        """Note that an answer began."""
        sent = self._sent.pop(number, None)
        if sent is None:
            return
        part = _part(sent, now_s)
        self._own.add(part, now_s)
        self._pool.add(part, now_s)
        is_used = len(self._sent) + 1 >= 0.5 * self.limit
        self._follow(now_s)
        if is_used and self.begun_part(now_s) < self._policy.early_part:
            grown = self.limit + self._policy.increase / max(self.limit, 1.0)
            self.limit = min(self._policy.most, grown)

    def ended(self, number: int) -> None:
        """Note that no answer will begin."""
        self._sent.pop(number, None)

    def room(self, now_s: float) -> int:
        """Return how many more may be sent; below 0 when the bound has shrunk since."""
        self._follow(now_s)
        lost_part = self._policy.lost_part
        holding = sum(_part(sent, now_s) < lost_part for sent in self._sent.values())
        return ceil(self.limit) - holding

    def begun_part(self, now_s: float) -> float:
        """Return the median part that answers took lately to begin, overdue ones among them."""
        parts = self._evidence(now_s)
        return median(parts) if parts else 0.0

    def turned_away(self, now_s: float) -> None:
        """Note that the target had no place left."""
        self._shrink(now_s)

    def _evidence(self, now_s: float) -> list[float]:
        """Return the parts that count now."""
        overdue = []
        if self._policy.counts_overdue:
            waited = (_part(sent, now_s) for sent in self._sent.values())
            overdue = [part for part in waited if part > self._policy.late_part]
        own = self._own.recent(now_s) + overdue
        if len(own) >= self._policy.least_answers:
            return own
        return self._pool.recent(now_s) + overdue

    def _follow(self, now_s: float) -> None:
        """Shrink if half of the answers are late."""
        parts = self._evidence(now_s)
        if len(parts) >= self._policy.least_answers and median(parts) > self._policy.late_part:
            self._shrink(now_s)

    def _shrink(self, now_s: float) -> None:
        """Take a part off the bound."""
        policy = self._policy
        if now_s - self._shrunk_s < policy.pause_s:
            return
        self._shrunk_s = now_s
        self.limit = max(policy.least, self.limit * policy.decrease)


def _part(sent: _Sent, now_s: float) -> float:
    """Return the time since a send as a part of the objective."""
    return (now_s - sent.at_s) / sent.objective_s
