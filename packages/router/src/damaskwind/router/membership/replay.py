"""Reject replayed datagrams.

The method is the sliding window of IPsec (RFC 4303): for each sender the highest
sequence and a bitmap of those just below it. A sender that restarts has a higher
incarnation, which starts a new window and invalidates the old one.

>>> guard = ReplayGuard()
>>> [guard.check("a", 1, sequence).value for sequence in (5, 4, 5, 4)]
['fresh', 'fresh', 'replayed', 'replayed']
"""

from enum import Enum

__all__ = ["ReplayGuard", "ReplayOutcome"]

WINDOW = 256
SENDERS_LIMIT = 8192
_MASK = (1 << WINDOW) - 1


class ReplayOutcome(Enum):
    """The result of checking the sequence of a datagram."""

    FRESH = "fresh"
    REPLAYED = "replayed"
    OLD_INCARNATION = "old_incarnation"


class _Window:
    """The sequences accepted from one incarnation of a sender."""

    __slots__ = ("highest", "incarnation", "seen")

    def __init__(self, incarnation: int, highest: int) -> None:
        self.incarnation = incarnation
        self.highest = highest
        self.seen = 1

    def accept(self, sequence: int) -> bool:
        """Record a sequence; return whether it was new."""
        ahead = sequence - self.highest
        if ahead > 0:
            self.seen = (self.seen << min(ahead, WINDOW) | 1) & _MASK
            self.highest = sequence
            return True
        bit = 1 << -ahead if -ahead < WINDOW else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True


class ReplayGuard:
    """The windows of all senders; the oldest one is evicted when there are too many."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def check(self, sender_id: str, incarnation: int, sequence: int) -> ReplayOutcome:
        """Check and record the incarnation and sequence of a datagram."""
        window = self._windows.get(sender_id)
        if window is None or incarnation > window.incarnation:
            self._windows.pop(sender_id, None)
            self._windows[sender_id] = _Window(incarnation, sequence)
            if len(self._windows) > SENDERS_LIMIT:
                del self._windows[next(iter(self._windows))]
            return ReplayOutcome.FRESH
        if incarnation < window.incarnation:
            return ReplayOutcome.OLD_INCARNATION
        return ReplayOutcome.FRESH if window.accept(sequence) else ReplayOutcome.REPLAYED
