"""Choose where a target reports from now on: at the replicas, or at a router.

The pattern: all targets report every 1.2 s to a few replicas. A report takes a replica some
0.4 ms, so that 800 a second are more than a VM of a quarter of a core has; routers are a
hundred times as many and call each replica once a second anyway.

>>> places = ReportAssignment()
>>> places.choose(direct_targets=60, routers=8) is None
True
>>> [places.choose(direct_targets=400, routers=3) for _ in range(4)]
[0, 1, 2, 0]
"""

__all__ = ["MAX_DIRECT_TARGETS", "ReportAssignment"]

# So many targets may report to one replica: 83 reports a second, an eighth of a VM of a
# quarter of a core by 0.4 ms each (the difference of days with 302 and 1,000 targets).
MAX_DIRECT_TARGETS = 100


class ReportAssignment:
    """The places that one replica gives to targets, each router in its turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(self, direct_targets: int, routers: int) -> int | None:
        """Return the place of a router among those that ask here, or `None` to go on here.

        `direct_targets` is how many targets report here now.
        """
        if direct_targets <= MAX_DIRECT_TARGETS or not routers:
            return None
        place = self._next % routers
        self._next = place + 1
        return place
