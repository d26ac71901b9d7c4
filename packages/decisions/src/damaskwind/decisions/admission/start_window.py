"""A window on the requests at a target whose answers have not started.

Under overload, engines accept every request and process the prompts in turns, or queue
them for a slot. Each request beyond those that can start in time delays all others, and
requests that are started and then abandoned waste capacity that could have served others.
The window limits the requests of one router to a target between the send and the first
piece of the answer. It grows while it is in use and answers start well within their
objectives, and shrinks when half of them are late (additive increase, multiplicative
decrease: Chiu and Jain, Computer Networks and ISDN Systems 17, 1989; delay as the signal:
Brakmo, O'Malley and Peterson, "TCP Vegas", SIGCOMM 1994). An overdue answer counts as late
at once: waiting until it starts would give the signal a second too late, and the window
would oscillate between its extremes. Each target has its own window, so that a slow or
partitioned target blocks no other.
"""

from collections import deque
from math import ceil
from statistics import median
from typing import NamedTuple

__all__ = ["StartDelays", "StartWindow", "WindowPolicy"]


class WindowPolicy(NamedTuple):
    """Parameters of the window.

    `initial_limit` applies until there are observations, `min_limit` and `max_limit` bound
    the limit; the minimum lets a router with little traffic keep sending. Fractions are
    times from the send to the start of the answer, divided by the objective. If half of the
    answers of the last `memory_s` seconds exceed `late_fraction`, the limit is multiplied by
    `decrease`, at most once in `min_decrease_gap_s`, since the answers of that interval were
    sent before the decrease. While the median is below `early_fraction`, it grows by
    `increase` for each round of answers. A request older than `lost_fraction` no longer
    counts against the limit, since it may wait for a target that is gone.

    If a target has started fewer than `min_answers` answers, those of the whole pool are
    used, since one of many routers sees few. `initial_pool_limit` replaces
    `initial_limit` in the window of the whole pool. `counts_overdue` is false there, so that
    overdue requests to a partitioned target do not block the targets that answer.
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
    """Recent times to start an answer, as fractions of the objective."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._fractions: deque[tuple[float, float]] = deque(maxlen=64)

    def record(self, fraction: float, now_s: float) -> None:
        """Record the fraction of one answer."""
        self._fractions.append((now_s, fraction))

    def recent(self, now_s: float) -> list[float]:
        """Return the fractions of the last `memory_s` seconds."""
        while self._fractions and self._fractions[0][0] < now_s - self._memory_s:
            self._fractions.popleft()
        return [fraction for _, fraction in self._fractions]


class _PendingStart(NamedTuple):
    """When a request was sent, and within what time its answer should start."""

    at_s: float
    objective_s: float


class StartWindow:
    """One router's window for one target; `pool_delays` is shared by all targets of the pool.

    >>> window = StartWindow(WindowPolicy(initial_limit=8.0))
    >>> for number in range(8): window.record_sent(number, 0.0, 1.0)
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

    def record_sent(self, number: int, now_s: float, objective_s: float) -> None:
        """Record that a request is sent."""
        self._pending[number] = _PendingStart(now_s, objective_s)

    def record_answer_started(self, number: int, now_s: float, work_time: float = 1.0) -> None:
        """Record that an answer started at a target where work takes `work_time` as long as usual.

        The time by which a target is slower than usual is no sign of too many requests.
        """
        pending_start = self._pending.pop(number, None)
        if pending_start is None:
            return
        fraction = _elapsed_fraction(pending_start, now_s) / max(work_time, 1.0)
        self._own_delays.record(fraction, now_s)
        self._pool_delays.record(fraction, now_s)
        is_utilised = len(self._pending) + 1 >= 0.5 * self.limit
        self._shrink_if_late(now_s)
        if is_utilised and self.median_start_fraction(now_s) < self._policy.early_fraction:
            increased = self.limit + self._policy.increase / max(self.limit, 1.0)
            self.limit = min(self._policy.max_limit, increased)

    def record_ended(self, number: int) -> None:
        """Record that no answer will start."""
        self._pending.pop(number, None)

    def headroom(self, now_s: float) -> int:
        """Return how many more requests may be sent; negative after the limit has shrunk."""
        self._shrink_if_late(now_s)
        lost_fraction = self._policy.lost_fraction
        pending = sum(
            _elapsed_fraction(pending_start, now_s) < lost_fraction
            for pending_start in self._pending.values()
        )
        return ceil(self.limit) - pending

    def median_start_fraction(self, now_s: float) -> float:
        """Return the median fraction of recent answers, including overdue ones."""
        fractions = self._recent_fractions(now_s)
        return median(fractions) if fractions else 0.0

    def record_rejection(self, now_s: float) -> None:
        """Record that the target rejected a request because it had no free slot."""
        self._shrink(now_s)

    def _recent_fractions(self, now_s: float) -> list[float]:
        """Return the fractions to evaluate, from the pool if the target has too few."""
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
        """Shrink the limit if half of the answers are late."""
        fractions = self._recent_fractions(now_s)
        if (
            len(fractions) >= self._policy.min_answers
            and median(fractions) > self._policy.late_fraction
        ):
            self._shrink(now_s)

    def _shrink(self, now_s: float) -> None:
        """Multiply the limit by `decrease`, unless that was just done."""
        policy = self._policy
        if now_s - self._last_decrease_s < policy.min_decrease_gap_s:
            return
        self._last_decrease_s = now_s
        self.limit = max(policy.min_limit, self.limit * policy.decrease)


def _elapsed_fraction(pending_start: _PendingStart, now_s: float) -> float:
    """Return the time since a send as a fraction of the objective."""
    return (now_s - pending_start.at_s) / pending_start.objective_s
