"""Notice targets that have become much slower than their pool.

What counts is the time to the answer's beginning as a part of the route's
objective. A target whose last answers came too late, while the pool's came in
time, is slow for a while; then it is tried again. When all are slow, none is:
the load is then the cause, and moving requests around would not help.
"""

from typing import NamedTuple

__all__ = ["PacePolicy", "PoolPace"]


class PacePolicy(NamedTuple):
    """When a target counts as slow.

    An answer is late beyond `late_part` of its objective, and counts twice
    beyond `very_late_part`. After `late_answers` in a row the target is slow
    for `slow_s`, if the pool's mean part is below `pool_part`. The mean
    follows the last `mean_answers` or so.
    """

    late_part: float = 0.9
    very_late_part: float = 1.4
    late_answers: int = 2
    slow_s: float = 2.0
    pool_part: float = 0.6
    mean_answers: float = 20.0


DEFAULT_POLICY = PacePolicy()


class PoolPace:
    """The pace of one pool's targets, as one router sees it.

    >>> pace = PoolPace()
    >>> for _ in range(10): pace.observe("fast", 0.2, 0.0)
    >>> for _ in range(2): pace.observe("slow", 1.5, 0.0)
    >>> pace.is_slow("slow", 1.0), pace.is_slow("fast", 1.0), pace.is_slow("slow", 2.1)
    (True, False, False)
    """

    def __init__(self, policy: PacePolicy = DEFAULT_POLICY) -> None:
        self._policy = policy
        self._mean_part = 0.0
        self._late: dict[str, int] = {}
        self._slow_until_s: dict[str, float] = {}

    def observe(self, target_id: str, objective_part: float, now_s: float) -> None:
        """Note that a target's answer began after this part of its objective."""
        policy = self._policy
        capped = min(objective_part, 2.0)
        self._mean_part += (capped - self._mean_part) / policy.mean_answers
        if objective_part <= policy.late_part:
            self._late.pop(target_id, None)
            return
        weight = 2 if objective_part > policy.very_late_part else 1
        late = self._late.get(target_id, 0) + weight
        self._late[target_id] = late
        if late >= policy.late_answers and self._mean_part < policy.pool_part:
            self._slow_until_s[target_id] = now_s + policy.slow_s
            self._late[target_id] = policy.late_answers - 1

    def is_slow(self, target_id: str, now_s: float) -> bool:
        """Tell whether a target should be passed over for its pace."""
        return self._slow_until_s.get(target_id, 0.0) > now_s

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self._late.pop(target_id, None)
        self._slow_until_s.pop(target_id, None)
