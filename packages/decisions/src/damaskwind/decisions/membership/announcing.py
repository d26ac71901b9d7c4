"""How often targets announce themselves, so that announcements keep to a share.

Announcements come by HTTP and can't be refused for their bytes, but each
answer tells the target when to come again. The interval grows with the number
of targets for each router, and also with the bytes that really came in, since
a router that has just started knows few targets yet.
"""

from collections import deque

__all__ = ["AnnouncementScheduler"]

ANNOUNCEMENT_BYTES = 700
MIN_INTERVAL_S = 2.0
# A lease must outlast the loss of two announcements.
ANNOUNCEMENTS_PER_LEASE = 3.2
# A stretched lease stands for a busy domain, where gossip misses more renewals.
ANNOUNCEMENTS_PER_STRETCHED_LEASE = 5.0
# A router that just started does not know yet how many targets there are.
WARM_UP_S = 30.0
_WINDOW_S = 5.0


class AnnouncementScheduler:
    """The interval that one router asks of targets.

    >>> scheduler = AnnouncementScheduler(700.0, now_s=0.0)
    >>> scheduler.next_interval_s(lease_s=16.0, targets_per_router=1.0, now_s=60.0)
    2.0
    >>> scheduler.next_interval_s(lease_s=16.0, targets_per_router=4.0, now_s=60.0)
    4.0
    >>> scheduler.next_interval_s(lease_s=16.0, targets_per_router=10.0, now_s=60.0)
    10.0
    """

    def __init__(self, bytes_per_s: float, now_s: float) -> None:
        self._started_s = now_s
        self.bytes_per_s = bytes_per_s
        self._received_s: deque[float] = deque()
        self._interval_s = MIN_INTERVAL_S

    def record_announcement(self, now_s: float) -> None:
        """Count an announcement."""
        self._received_s.append(now_s)

    def lease_floor_s(self, targets_per_router: float) -> float:
        """Return the shortest lease that this many targets can keep up.

        Where the budget allows fewer announcements than a lease asks for, the
        lease is stretched: the budget is the harder limit.
        """
        return (
            ANNOUNCEMENTS_PER_STRETCHED_LEASE
            * targets_per_router
            * ANNOUNCEMENT_BYTES
            / self.bytes_per_s
        )

    def next_interval_s(self, lease_s: float, targets_per_router: float, now_s: float) -> float:
        """Return when a target with this lease should announce itself again."""
        stretched_s = self.lease_floor_s(targets_per_router) / ANNOUNCEMENTS_PER_STRETCHED_LEASE
        limit_s = max(lease_s / ANNOUNCEMENTS_PER_LEASE, stretched_s)
        if now_s < self._started_s + WARM_UP_S:
            return limit_s
        while self._received_s and self._received_s[0] <= now_s - _WINDOW_S:
            self._received_s.popleft()
        by_count_s = targets_per_router * ANNOUNCEMENT_BYTES / self.bytes_per_s
        heard_bytes_per_s = len(self._received_s) * ANNOUNCEMENT_BYTES / _WINDOW_S
        by_bytes_s = self._interval_s * heard_bytes_per_s / self.bytes_per_s
        wanted_s = max(by_count_s, min(by_bytes_s, 2 * self._interval_s), MIN_INTERVAL_S)
        self._interval_s = min(wanted_s, limit_s)
        return self._interval_s
