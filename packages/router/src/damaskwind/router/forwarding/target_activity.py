"""Detect unresponsive targets: those that send nothing while requests wait for them.

A target that has crashed with its VM, or is behind a network partition, resets no
connection: they just stay silent. It differs from a slow target in that all its
connections are silent.
"""

__all__ = ["TargetActivity"]

# A plain service answers within some ten ms, and its targets are interchangeable.
UNRESPONSIVE_S = 0.5
# An engine's first token usually takes half a second at most, and a request that leaves
# its home target needlessly has its shared prompt prefix computed again.
UNRESPONSIVE_ENGINE_S = 1.5


class TargetActivity:
    """When each target last sent anything to this router, and the requests waiting for it.

    >>> activity = TargetActivity()
    >>> waiting = activity.begin_wait("t", 0.0)
    >>> activity.is_unresponsive("t", 0.4), activity.is_unresponsive("t", 0.6)
    (False, True)
    >>> activity.record_received("t", 0.6); activity.is_unresponsive("t", 1.0)
    False
    >>> activity.end_wait("t", waiting); activity.is_unresponsive("t", 9.0)
    False
    """

    def __init__(self) -> None:
        self._received_s: dict[str, float] = {}
        self._waiting: dict[str, dict[int, float]] = {}
        self._last_number = 0
        # Targets that are gone while requests wait for them: a leaving one answers what it has.
        self._gone: set[str] = set()

    def begin_wait(self, target_id: str, now_s: float) -> int:
        """Record that a request is sent; return a number that identifies the wait."""
        self._last_number += 1
        self._waiting.setdefault(target_id, {})[self._last_number] = now_s
        return self._last_number

    def end_wait(self, target_id: str, number: int) -> None:
        """Record that a request no longer waits for its target."""
        waiting = self._waiting.get(target_id, {})
        waiting.pop(number, None)
        if not waiting:
            self._waiting.pop(target_id, None)
            if target_id in self._gone:
                self._gone.discard(target_id)
                self._received_s.pop(target_id, None)

    def waiting(self, target_id: str) -> int:
        """Return how many requests wait for a target."""
        return len(self._waiting.get(target_id, ()))

    def record_received(self, target_id: str, now_s: float) -> None:
        """Record that a target sent something."""
        self._received_s[target_id] = now_s

    def received_s(self, target_id: str) -> float:
        """Return when a target last sent anything, negative infinity if it never did."""
        return self._received_s.get(target_id, float("-inf"))

    def silent_s(self, target_id: str, now_s: float, woken_s: float = float("-inf")) -> float:
        """Return for how long a target has kept all its requests waiting, in seconds.

        Silence counts from `woken_s` at the earliest, the end of the last suspension of this
        process: what the target sent during it may still be unread.
        """
        waiting = self._waiting.get(target_id)
        if not waiting:
            return 0.0
        # Waits are kept in the order in which they began.
        oldest_s = next(iter(waiting.values()))
        return now_s - max(oldest_s, self._received_s.get(target_id, oldest_s), woken_s)

    def is_unresponsive(
        self,
        target_id: str,
        now_s: float,
        is_engine: bool = False,
        woken_s: float = float("-inf"),
    ) -> bool:
        """Tell whether a target has been silent for too long to be sent more requests."""
        limit_s = UNRESPONSIVE_ENGINE_S if is_engine else UNRESPONSIVE_S
        return self.silent_s(target_id, now_s, woken_s) > limit_s

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone, once no request waits for it any more.

        >>> activity = TargetActivity()
        >>> waiting = activity.begin_wait("t", 0.0)
        >>> activity.record_received("t", 5.0); activity.forget("t")
        >>> activity.silent_s("t", 5.1) < 0.2
        True
        """
        if target_id in self._waiting:
            self._gone.add(target_id)
        else:
            self._received_s.pop(target_id, None)
