"""Assign targets to the process that receives their reports: a replica or a router.

By default all targets report to a few replicas every 1.2 s. A report takes a replica about
0.4 ms, so 800 reports per second exceed a VM with a quarter of a core. Routers are a hundred
times as many, and call each replica once a second anyway.

>>> assignment = ReportAssignment()
>>> assignment.choose(direct_targets=60, routers=8) is None
True
>>> [assignment.choose(direct_targets=400, routers=3) for _ in range(4)]
[0, 1, 2, 0]
"""

__all__ = ["MAX_DIRECT_TARGETS", "ReportAssignment"]

# Maximum number of targets that report to one replica: 83 reports per second, an eighth of a
# VM with a quarter of a core at 0.4 ms each (derived from runs with 302 and 1,000 targets).
MAX_DIRECT_TARGETS = 100


class ReportAssignment:
    """Assigns targets of one replica to its routers, round robin."""

    def __init__(self) -> None:
        self._next = 0

    def choose(self, direct_targets: int, routers: int) -> int | None:
        """Return the index of a router among those connected here, or `None` for this replica.

        `direct_targets` is the number of targets that currently report here, `routers` that
        of the routers connected here.
        """
        if direct_targets <= MAX_DIRECT_TARGETS or not routers:
            return None
        index = self._next % routers
        self._next = index + 1
        return index
