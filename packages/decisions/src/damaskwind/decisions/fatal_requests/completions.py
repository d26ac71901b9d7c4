"""Remember which requests targets have recently completed.

A request that crashes every target that runs it has never completed. A request that many
callers make has just completed elsewhere, and is in flight wherever a target crashes.

>>> completions = RecentCompletions()
>>> completions.record(b"popular", now_s=0.0)
>>> completions.has(b"popular", now_s=9.0), completions.has(b"other", now_s=9.0)
(True, False)
"""

__all__ = ["RecentCompletions"]

# An older completion is not evidence for targets that may run another version now.
RECENT_S = 30.0
# The limit does not affect popular requests, which are always among the last ones.
MAX_REQUESTS = 2048


class RecentCompletions:
    """When requests last completed, as observed by one process; times are monotonic."""

    def __init__(self, recent_s: float = RECENT_S) -> None:
        self._recent_s = recent_s
        # In order of completion.
        self._completed_s: dict[bytes, float] = {}

    def record(self, digest: bytes, now_s: float) -> None:
        """Record that a target completed a request."""
        self._completed_s.pop(digest, None)
        self._completed_s[digest] = now_s
        if len(self._completed_s) > MAX_REQUESTS:
            del self._completed_s[next(iter(self._completed_s))]

    def has(self, digest: bytes, now_s: float) -> bool:
        """Return whether a request completed recently."""
        completed_s = self._completed_s.get(digest)
        return completed_s is not None and now_s - completed_s < self._recent_s
