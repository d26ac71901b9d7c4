"""Measure how long a process has known of a version that is newer than its own."""

__all__ = ["VersionLag"]


class VersionLag:
    """The time since which a newer version is known without being in force.

    It starts with the first report of a newer version, and goes on through further versions until
    the newest one that is known is in force.

    >>> lag = VersionLag()
    >>> lag.observe(is_behind=True, now_s=3.0)
    >>> lag.observe(is_behind=True, now_s=3.5)
    >>> lag.behind_s(4.0)
    1.0
    >>> lag.observe(is_behind=False, now_s=4.0)
    >>> lag.behind_s(5.0)
    0.0
    """

    def __init__(self) -> None:
        self._since_s: float | None = None

    def observe(self, is_behind: bool, now_s: float) -> None:
        """Record whether a newer version is known, at a monotonic time in seconds."""
        if not is_behind:
            self._since_s = None
        elif self._since_s is None:
            self._since_s = now_s

    def behind_s(self, now_s: float) -> float:
        """Return for how many seconds a newer version has been known, 0 if none is."""
        return 0.0 if self._since_s is None else now_s - self._since_s
