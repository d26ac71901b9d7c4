"""Remember which requests targets have lately run to their end.

A request that ends each target that runs it has never ended well. One that many callers
make has, a moment ago, and is in hand wherever a target ends.

>>> completions = RecentCompletions()
>>> completions.record(b"popular", now_s=0.0)
>>> completions.has(b"popular", now_s=9.0), completions.has(b"other", now_s=9.0)
(True, False)
"""

__all__ = ["RecentCompletions"]

# A good end that long ago says nothing of targets that may be of another version now.
RECENT_S = 30.0
# A popular request is among the last ones by being popular.
MAX_REQUESTS = 2048


class RecentCompletions:
    """When requests last ended well in one process; times are monotonic."""

    def __init__(self) -> None:
        # The one that ended last stands last.
        self._completed_s: dict[bytes, float] = {}

    def record(self, digest: bytes, now_s: float) -> None:
        """Note that a target ran a request to its end."""
        self._completed_s.pop(digest, None)
        self._completed_s[digest] = now_s
        if len(self._completed_s) > MAX_REQUESTS:
            del self._completed_s[next(iter(self._completed_s))]

    def has(self, digest: bytes, now_s: float) -> bool:
        """Tell whether a request ended well lately."""
        completed_s = self._completed_s.get(digest)
        return completed_s is not None and now_s - completed_s < RECENT_S
