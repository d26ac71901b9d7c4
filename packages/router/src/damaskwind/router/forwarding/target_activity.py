"""Notice targets that say nothing while requests wait for them.

A target that has crashed with its VM, or behind a cut, resets nothing: its
connections just stay silent. What tells it from a slow one is that it is silent
on all of them.
"""

__all__ = ["TargetActivity"]

# A plain service answers within some ten ms, and any of its targets will do.
UNRESPONSIVE_S = 0.5
# The longest usual wait for an engine's first token is half a second, and what
# leaves its home without need has all that it shares read again.
UNRESPONSIVE_ENGINE_S = 1.5


class TargetActivity:
    """When each target last sent anything here, and who waits for it.

    >>> activity = TargetActivity()
    >>> waiting = activity.begin_wait("t", 0.0)
    >>> activity.is_unresponsive("t", 0.4), activity.is_unresponsive("t", 0.6)
    (False, True)
    >>> activity.note_received("t", 0.6); activity.is_unresponsive("t", 1.0)
    False
    >>> activity.end_wait("t", waiting); activity.is_unresponsive("t", 9.0)
    False
    """

    def __init__(self) -> None:
        self._received_s: dict[str, float] = {}
        self._waiting: dict[str, dict[int, float]] = {}
        self._last_number = 0

    def begin_wait(self, target_id: str, now_s: float) -> int:
        """Note that a request is sent; return its number."""
        self._last_number += 1
        self._waiting.setdefault(target_id, {})[self._last_number] = now_s
        return self._last_number

    def end_wait(self, target_id: str, number: int) -> None:
        """Note that nothing more is awaited for a request."""
        waiting = self._waiting.get(target_id, {})
        waiting.pop(number, None)
        if not waiting:
            self._waiting.pop(target_id, None)

    def note_received(self, target_id: str, now_s: float) -> None:
        """Note that a target sent something."""
        self._received_s[target_id] = now_s

    def silent_s(self, target_id: str, now_s: float, woken_s: float = float("-inf")) -> float:
        """Return for how long a target has kept all its requests waiting.

        What it sent before `woken_s`, while this process was away, may still be unread.
        """
        waiting = self._waiting.get(target_id)
        if not waiting:
            return 0.0
        oldest_s = min(waiting.values())
        return now_s - max(oldest_s, self._received_s.get(target_id, oldest_s), woken_s)

    def is_unresponsive(
        self,
        target_id: str,
        now_s: float,
        is_engine: bool = False,
        woken_s: float = float("-inf"),
    ) -> bool:
        """Tell whether a target has been silent for too long to be given more."""
        limit_s = UNRESPONSIVE_ENGINE_S if is_engine else UNRESPONSIVE_S
        return self.silent_s(target_id, now_s, woken_s) > limit_s

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self._received_s.pop(target_id, None)
