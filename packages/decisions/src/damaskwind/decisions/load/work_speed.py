"""Estimate how long work takes at each target, from the figures that targets report.

A target may report how long its work currently takes, in percent of the usual time. The figure
changes without notice, so its weight decays with its age; how fast is learned from how long
figures last. From the figure and from the requests that a target holds follows the time after
which it would start an answer, the quantity that placement compares.

>>> speeds = WorkSpeeds()
>>> speeds.observe("a", (1, 0), 250, now_s=0.0)
>>> speeds.work_time("a", (1, 0), 0.0), speeds.work_time("b", (1, 0), 0.0)
(2.5, 1.0)
>>> speeds.work_time("a", (2, 0), 0.0), 1.0 < speeds.work_time("a", (1, 0), 0.4) < 1.8
(1.0, True)
"""

import math
from typing import NamedTuple

__all__ = ["Incarnation", "PoolTimes", "WorkFigure", "WorkSpeeds"]

# A figure differs from the usual speed, or from an earlier figure, beyond this.
SIGNIFICANT_DEVIATION = 0.2
# The assumed time for which figures last before any change was observed, in seconds, and how
# many observations this assumption is worth.
INITIAL_LASTING_S = 0.4
INITIAL_WEIGHT = 3.0
MAX_LASTING_S = 30.0
# One figure that was seen again counts at most as this multiple of the learned time, since a
# figure that changed and came back looks like one that lasted.
MAX_SEEN_AGAIN_SHARE = 4.0
# The observations kept: beyond this many, old ones are forgotten in proportion.
MAX_OBSERVATIONS = 64.0
# Beyond this multiple of the learned time, a figure no longer counts.
MAX_AGE_SHARE = 3.0
# A claim to be faster than usual is ignored for this time, in seconds, after this many late
# answers in a row under such a claim.
DISTRUST_S = 10.0
DISTRUST_LATE_ANSWERS = 3
FAST_CLAIM = 0.75
LATE_OBJECTIVE_SHARE = 0.9
# The start and the duration of answers are means over about this many answers.
MEAN_WINDOW_ANSWERS = 50.0
# A request at a target without a free slot also waits in its router's queue, which is polled
# twenty times a second, and may be refused there: about this much, in seconds.
NO_SLOT_S = 0.1

Incarnation = tuple[int, int]


class WorkFigure(NamedTuple):
    """The figure of one incarnation of a target, relative to the usual time, and its time."""

    incarnation: Incarnation
    work_time: float
    at_s: float


class WorkSpeeds:
    """The known figures of one router's targets; a target without one has the usual speed."""

    def __init__(self) -> None:
        self._figures: dict[str, WorkFigure] = {}
        self._late_claims: dict[str, int] = {}
        self._distrusted_until_s: dict[str, float] = {}
        self._lasting_sum_s = INITIAL_LASTING_S * INITIAL_WEIGHT
        self._changes = INITIAL_WEIGHT

    def __len__(self) -> int:
        return len(self._figures)

    @property
    def lasting_s(self) -> float:
        """Return how long a figure that differs from the usual speed lasts, as learned so far."""
        return min(self._lasting_sum_s / self._changes, MAX_LASTING_S)

    def observe(self, target_id: str, incarnation: Incarnation, percent: int, now_s: float) -> None:
        """Record a figure; one of an earlier incarnation than the known one is ignored."""
        known = self._figures.get(target_id)
        if known is not None and known.incarnation > incarnation:
            return
        figure = WorkFigure(incarnation, percent / 100.0, now_s)
        if known is not None and known.incarnation == incarnation:
            self._learn_lasting(known, figure)
        self._figures[target_id] = figure

    def figure(self, target_id: str, incarnation: Incarnation) -> WorkFigure | None:
        """Return the last figure of an incarnation, however old it is."""
        figure = self._figures.get(target_id)
        return figure if figure is not None and figure.incarnation == incarnation else None

    def work_time(self, target_id: str, incarnation: Incarnation, now_s: float) -> float:
        """Return how long work takes at a target, relative to the usual time."""
        figure = self.figure(target_id, incarnation)
        if figure is None:
            return 1.0
        if figure.work_time < 1.0 and self.is_distrusted(target_id, now_s):
            return 1.0
        return 1.0 + (figure.work_time - 1.0) * self.weight(now_s - figure.at_s)

    def weight(self, age_s: float) -> float:
        """Return the weight of a figure of this age: the chance that it still holds."""
        share = max(age_s, 0.0) / self.lasting_s
        return math.exp(-share) if share < MAX_AGE_SHARE else 0.0

    def observe_start(self, target_id: str, objective_share: float, now_s: float) -> bool:
        """Check a claim against an answer's start; return whether its distrust begins.

        A target whose answers are late while it claims to be faster than usual would attract
        requests by its claim.
        """
        figure = self._figures.get(target_id)
        if figure is None or figure.work_time > FAST_CLAIM:
            return False
        if objective_share <= LATE_OBJECTIVE_SHARE:
            self._late_claims.pop(target_id, None)
            return False
        late = self._late_claims[target_id] = self._late_claims.get(target_id, 0) + 1
        if late < DISTRUST_LATE_ANSWERS:
            return False
        was_distrusted = self.is_distrusted(target_id, now_s)
        self._distrusted_until_s[target_id] = now_s + DISTRUST_S
        return not was_distrusted

    def is_distrusted(self, target_id: str, now_s: float) -> bool:
        """Return whether the claim of a target to be fast is ignored."""
        return self._distrusted_until_s.get(target_id, 0.0) > now_s

    def count_slow(self, now_s: float) -> int:
        """Return the number of targets that are currently known to be slower than usual."""
        return sum(
            self.work_time(name, item.incarnation, now_s) > 1.0 + SIGNIFICANT_DEVIATION
            for name, item in self._figures.items()
        )

    def forget(self, target_id: str) -> None:
        """Remove a target that is gone or has restarted."""
        for state in (self._figures, self._late_claims, self._distrusted_until_s):
            state.pop(target_id, None)

    def _learn_lasting(self, known: WorkFigure, figure: WorkFigure) -> None:
        """Learn how long figures last from two of the same incarnation.

        The estimate is the observed time per change (the maximum likelihood of a constant rate
        of change). A change is assumed in the middle of its interval.
        """
        deviation = abs(known.work_time - 1.0)
        if deviation < SIGNIFICANT_DEVIATION:
            return
        age_s, lasting_s = figure.at_s - known.at_s, self.lasting_s
        has_changed = abs(figure.work_time - known.work_time) > deviation / 2
        if has_changed:
            observed_s = min(age_s, lasting_s) / 2
        else:
            observed_s = min(age_s, MAX_SEEN_AGAIN_SHARE * lasting_s)
        if self._changes > MAX_OBSERVATIONS:
            self._lasting_sum_s /= 2
            self._changes /= 2
        self._lasting_sum_s += observed_s
        self._changes += has_changed


class PoolTimes:
    """How long answers of one pool usually take to start and to end, at the usual speed.

    >>> times = PoolTimes()
    >>> for _ in range(300): times.record_start(0.25, 2.5); times.record_end(2.5, 2.5)
    >>> round(times.expected_start_s(0, 8, 1.0), 2), round(times.expected_start_s(0, 8, 2.5), 2)
    (0.05, 0.12)
    >>> round(times.expected_start_s(11, 8, 1.0), 2)
    0.7
    """

    def __init__(self) -> None:
        self._start_s = 0.1
        self._hold_s = 0.5

    def record_start(self, first_s: float, work_time: float) -> None:
        """Record the time from a send to the start of the answer."""
        self._start_s += (first_s / work_time - self._start_s) / MEAN_WINDOW_ANSWERS

    def record_end(self, took_s: float, work_time: float) -> None:
        """Record the time from a send to the end of the answer."""
        self._hold_s += (took_s / work_time - self._hold_s) / MEAN_WINDOW_ANSWERS

    def expected_start_s(self, held: float, slots: int, work_time: float) -> float:
        """Return after which time a target that holds `held` requests would start another one.

        A request beyond the slots waits until one of those held ends. Requests within the slots
        slow each other down in proportion to their number.
        """
        slots = max(slots, 1)
        wait_s = 0.0
        if held + 1.0 > slots:
            wait_s = NO_SLOT_S + (held + 1.0 - slots) * self._hold_s / slots
        return work_time * (self._start_s * (1.0 + min(held / slots, 1.0)) / 2 + wait_s)
