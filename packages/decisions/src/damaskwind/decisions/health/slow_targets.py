"""Detect targets that have become much slower than their pool.

Latency is the time to the first byte of the answer as a fraction of the route's
objective. A target whose last answers were late, while those of the pool were in
time, counts as slow for some seconds; then it is tried again. If all targets are
slow, none counts as slow: then load is the cause, and moving requests does not help.
"""

from typing import NamedTuple

__all__ = ["SlowTargetDetector", "SlowTargetPolicy"]


class SlowTargetPolicy(NamedTuple):
    """When a target counts as slow.

    An answer is late beyond `late_fraction` of its objective, and counts twice
    beyond `very_late_fraction`. After `late_answers` in a row the target is slow
    for `slow_s`, if the pool's mean fraction is below `pool_fraction`. The mean is
    exponential over about the last `mean_window_answers` answers.
    """

    late_fraction: float = 0.9
    very_late_fraction: float = 1.4
    late_answers: int = 2
    slow_s: float = 2.0
    pool_fraction: float = 0.6
    mean_window_answers: float = 20.0


DEFAULT_POLICY = SlowTargetPolicy()


class SlowTargetDetector:
    """The detector for one pool's targets, as one router sees them.

    >>> detector = SlowTargetDetector()
    >>> for _ in range(10): detector.observe("fast", 0.2, 0.0)
    >>> for _ in range(2): detector.observe("slow", 1.5, 0.0)
    >>> detector.is_slow("slow", 1.0), detector.is_slow("fast", 1.0), detector.is_slow("slow", 2.1)
    (True, False, False)
    """

    def __init__(self, policy: SlowTargetPolicy = DEFAULT_POLICY) -> None:
        self._policy = policy
        self._mean_fraction = 0.0
        self._late_counts: dict[str, int] = {}
        self._slow_until_s: dict[str, float] = {}

    def observe(self, target_id: str, objective_fraction: float, now_s: float) -> None:
        """Record that a target's answer began after this fraction of its objective."""
        policy = self._policy
        capped = min(objective_fraction, 2.0)
        self._mean_fraction += (capped - self._mean_fraction) / policy.mean_window_answers
        if objective_fraction <= policy.late_fraction:
            self._late_counts.pop(target_id, None)
            return
        weight = 2 if objective_fraction > policy.very_late_fraction else 1
        late = self._late_counts.get(target_id, 0) + weight
        self._late_counts[target_id] = late
        if late >= policy.late_answers and self._mean_fraction < policy.pool_fraction:
            self._slow_until_s[target_id] = now_s + policy.slow_s
            self._late_counts[target_id] = policy.late_answers - 1

    def is_slow(self, target_id: str, now_s: float) -> bool:
        """Return whether a target should be avoided because it is slow."""
        return self._slow_until_s.get(target_id, 0.0) > now_s

    def forget(self, target_id: str) -> None:
        """Remove a target that is gone."""
        self._late_counts.pop(target_id, None)
        self._slow_until_s.pop(target_id, None)
