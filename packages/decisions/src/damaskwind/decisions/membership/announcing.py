"""Schedule the announcements of targets within a share of the byte budget.

Announcements arrive by HTTP and can't be refused because of their size, but each
response tells the target when to announce itself again. The interval grows with the
number of targets per router, and also with the number of bytes actually received, since
a router that has just started knows only a few targets.
"""

from collections import deque

__all__ = ["AnnouncementScheduler"]

ANNOUNCEMENT_BYTES = 700
MIN_INTERVAL_S = 2.0
# A lease must outlast the loss of two announcements.
ANNOUNCEMENTS_PER_LEASE = 3.2
# A lease is stretched in a busy domain, where gossip loses more renewals.
ANNOUNCEMENTS_PER_STRETCHED_LEASE = 5.0
# A router that has just started does not know yet how many targets there are.
WARM_UP_S = 30.0
_WINDOW_S = 5.0


class AnnouncementScheduler:
    """The announcement interval that one router requests from targets.

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
        """Return the shortest lease that this many targets can keep renewed.

        If the budget allows fewer announcements than a lease requires, the lease is
        stretched, since the budget is the stricter limit.
        """
        return (
            ANNOUNCEMENTS_PER_STRETCHED_LEASE
            * targets_per_router
            * ANNOUNCEMENT_BYTES
            / self.bytes_per_s
        )

    def next_interval_s(self, lease_s: float, targets_per_router: float, now_s: float) -> float:
        """Return after how many seconds a target with this lease should announce itself again."""
        stretched_s = self.lease_floor_s(targets_per_router) / ANNOUNCEMENTS_PER_STRETCHED_LEASE
        limit_s = max(lease_s / ANNOUNCEMENTS_PER_LEASE, stretched_s)
        if now_s < self._started_s + WARM_UP_S:
            return limit_s
        while self._received_s and self._received_s[0] <= now_s - _WINDOW_S:
            self._received_s.popleft()
        by_count_s = targets_per_router * ANNOUNCEMENT_BYTES / self.bytes_per_s
        received_bytes_per_s = len(self._received_s) * ANNOUNCEMENT_BYTES / _WINDOW_S
        by_bytes_s = self._interval_s * received_bytes_per_s / self.bytes_per_s
        target_interval_s = max(by_count_s, min(by_bytes_s, 2 * self._interval_s), MIN_INTERVAL_S)
        self._interval_s = min(target_interval_s, limit_s)
        return self._interval_s
