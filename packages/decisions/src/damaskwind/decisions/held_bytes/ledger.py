"""Account for the bytes held for each request, and choose the answers to give up.

When the bytes in hand exceed their bound, the answer that would be held longest is given up
first: the one whose bytes, at the rate at which they were taken while any were held, need the
most time. It is both large and slow, whether its caller or its target is; a large answer of a
fast caller is delivered before it matters.
"""

from enum import Enum, auto

__all__ = ["HeldLedger", "VictimOrder"]

# The rate at which an answer is presumed to pass, that of a VM's link, and for how long this
# counts: after some seconds only what was observed matters.
PRESUMED_BYTES_PER_S = 500_000.0
PRESUMED_S = 0.25


class VictimOrder(Enum):
    """The order in which answers are given up; all but the first are alternatives to compare."""

    LARGEST_AND_SLOWEST = auto()
    LARGEST = auto()
    NEWEST = auto()


class _Entry:
    """The bytes held for one request, for how long, and what its caller has taken of them."""

    __slots__ = ("answer_bytes", "body_bytes", "held_s", "since_s", "taken_bytes")

    def __init__(self) -> None:
        self.answer_bytes = 0
        self.body_bytes = 0
        self.taken_bytes = 0
        self.held_s = 0.0
        self.since_s = 0.0

    def add(self, size_bytes: int, now_s: float) -> None:
        """Add to the bytes of the answer, and to the time for which there were any."""
        if self.answer_bytes:
            self.held_s += max(0.0, now_s - self.since_s)
        self.since_s = now_s
        self.answer_bytes += size_bytes

    def left_s(self, now_s: float) -> float:
        """Return the time in which the caller takes what is held, at its rate so far."""
        held_s = self.held_s + max(0.0, now_s - self.since_s) + PRESUMED_S
        return self.answer_bytes * held_s / (self.taken_bytes + PRESUMED_BYTES_PER_S * PRESUMED_S)


class HeldLedger:
    """The bytes in hand, by the number of the request that they belong to.

    >>> ledger = HeldLedger(bound_bytes=1_000_000)
    >>> for number, size_bytes in ((1, 600_000), (2, 300_000)):
    ...     ledger.open(number)
    ...     ledger.hold(number, size_bytes, now_s=0.0)
    >>> ledger.victim(now_s=0.0)
    >>> ledger.hold(2, 200_000, 0.0); ledger.victim(0.0)
    1
    >>> ledger.take(1, 600_000, 60.0); ledger.hold(1, 600_000, 60.0); ledger.victim(60.0)
    2
    >>> ledger.close(2); ledger.held_bytes
    600000
    """

    def __init__(
        self, bound_bytes: int, order: VictimOrder = VictimOrder.LARGEST_AND_SLOWEST
    ) -> None:
        self.bound_bytes = bound_bytes
        self.held_bytes = 0
        self._order = order
        self._entries: dict[int, _Entry] = {}

    @property
    def is_full(self) -> bool:
        """Return whether the bytes in hand exceed their bound."""
        return self.held_bytes > self.bound_bytes

    def open(self, number: int) -> None:
        """Begin to account for a request."""
        self.close(number)
        self._entries[number] = _Entry()

    def close(self, number: int) -> None:
        """Drop a request and all that is held for it; a second call has no effect."""
        entry = self._entries.pop(number, None)
        if entry is not None:
            self.held_bytes -= entry.answer_bytes + entry.body_bytes

    def hold_base(self, size_bytes: int) -> None:
        """Add bytes that no answer can be given up for; a negative size releases them."""
        self.held_bytes += size_bytes

    def hold(self, number: int, size_bytes: int, now_s: float) -> None:
        """Add bytes of an answer; a negative size releases them."""
        entry = self._entries.get(number)
        if entry is None:
            return
        change_bytes = max(size_bytes, -entry.answer_bytes)
        entry.add(change_bytes, now_s)
        self.held_bytes += change_bytes

    def hold_body(self, number: int, size_bytes: int) -> None:
        """Add bytes of a request's body; they are held until `release_body` or `close`."""
        entry = self._entries.get(number)
        if entry is not None:
            entry.body_bytes += size_bytes
            self.held_bytes += size_bytes

    def release_body(self, number: int) -> None:
        """Release the bytes of a request's body."""
        entry = self._entries.get(number)
        if entry is not None:
            self.held_bytes -= entry.body_bytes
            entry.body_bytes = 0

    def take(self, number: int, size_bytes: int, now_s: float) -> None:
        """Release bytes that the caller has taken."""
        self.hold(number, -size_bytes, now_s)
        if number in self._entries:
            self._entries[number].taken_bytes += size_bytes

    def answer_bytes(self, number: int) -> int:
        """Return the bytes held of a request's answer."""
        entry = self._entries.get(number)
        return 0 if entry is None else entry.answer_bytes

    def left_s(self, number: int, now_s: float) -> float:
        """Return the time in which a request's caller takes what is held, at its rate so far."""
        entry = self._entries.get(number)
        return 0.0 if entry is None else entry.left_s(now_s)

    def victim(self, now_s: float) -> int | None:
        """Return the request to give up, `None` while the bytes in hand are within the bound."""
        if not self.is_full:
            return None
        held = [number for number, entry in self._entries.items() if entry.answer_bytes]
        return max(held, key=lambda number: self._rank(number, now_s), default=None)

    def _rank(self, number: int, now_s: float) -> float:
        """Return the rank by which the request to give up is chosen, the highest first."""
        entry = self._entries[number]
        if self._order is VictimOrder.LARGEST:
            return entry.answer_bytes
        if self._order is VictimOrder.NEWEST:
            return number
        return entry.left_s(now_s)
