"""Remember which requests targets have lately run to their end.

A request that ends each target that runs it has never ended well. One that many callers
make has, a moment ago, and is in hand wherever a target ends.

>>> ends = GoodEnds()
>>> ends.note(b"popular", now_s=0.0)
>>> ends.has(b"popular", now_s=9.0), ends.has(b"other", now_s=9.0)
(True, False)
"""

__all__ = ["GoodEnds"]

# A good end that long ago says nothing of targets that may be of another version now.
LATELY_S = 30.0
# A popular request is among the last ones by being popular.
MOST_REQUESTS = 2048


class GoodEnds:
    """When requests last ended well in one process; times are monotonic."""

    def __init__(self) -> None:
        # The one that ended last stands last.
        self._ends_s: dict[bytes, float] = {}

    def note(self, digest: bytes, now_s: float) -> None:
        """Note that a target ran a request to its end."""
        self._ends_s.pop(digest, None)
        self._ends_s[digest] = now_s
        if len(self._ends_s) > MOST_REQUESTS:
            del self._ends_s[next(iter(self._ends_s))]

    def has(self, digest: bytes, now_s: float) -> bool:
        """Tell whether a request ended well lately."""
        ended_s = self._ends_s.get(digest)
        return ended_s is not None and now_s - ended_s < LATELY_S
