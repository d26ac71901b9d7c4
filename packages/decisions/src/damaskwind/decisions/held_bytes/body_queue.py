"""Decide which request bodies are read, wait unread, or are refused.

The bodies that are being read, queued or sent stay below a bound. Beyond it a body waits in its
caller's socket, in order of arrival, if the bodies before it will probably end in time.
"""

from enum import Enum, auto
from math import exp

__all__ = ["BodyQueue", "BodyStep", "is_body_stalled"]

# A longer wait than this leaves too little of a usual objective of a second.
MAX_WAIT_S = 0.5
# Bodies up to this size don't wait behind large ones, which leave room for them.
SMALL_BYTES = 65_536
LARGE_SHARE = 0.8
# Bodies that end at irregular times are averaged over this time.
RATE_TIME_S = 2.0
MIN_RETRY_S = 0.3
# A caller that sends a body more slowly than this, after a grace time, may not keep others waiting.
MIN_BODY_BYTES_PER_S = 16_384
STALL_GRACE_S = 2.0
MAX_RETRY_S = 3.0


class BodyStep(Enum):
    """What to do with the body of a request whose head was read."""

    READ = auto()
    WAIT = auto()
    REFUSE = auto()


def is_body_stalled(size_bytes: float, read_bytes: int, age_s: float) -> bool:
    """Return whether a body comes too slowly to keep others waiting for it.

    The size is infinite if it isn't known.

    >>> [is_body_stalled(4_000_000, read_bytes, 3.0) for read_bytes in (1, 100_000, 4_000_000)]
    [True, False, False]
    >>> is_body_stalled(4_000_000, 1, age_s=1.0)
    False
    """
    if age_s < STALL_GRACE_S or read_bytes >= size_bytes:
        return False
    return read_bytes < MIN_BODY_BYTES_PER_S * age_s


class BodyQueue:
    """The bodies in hand by the number of their request, and those that wait unread.

    >>> queue = BodyQueue(bound_bytes=1_000_000)
    >>> queue.offer(1, 800_000, 0.0), queue.offer(2, 300_000, 0.0), queue.offer(3, 2_000, 0.0)
    (<BodyStep.READ: 1>, <BodyStep.WAIT: 2>, <BodyStep.READ: 1>)
    >>> queue.offer(4, 900_000, 0.0)
    <BodyStep.REFUSE: 3>
    >>> queue.close(1, 0.2)
    [2]
    """

    def __init__(self, bound_bytes: int) -> None:
        self.bound_bytes = bound_bytes
        self.held_bytes = 0
        self._large_bytes = 0
        self._held: dict[int, int] = {}
        self._waiting: dict[int, int] = {}
        self._ended_bytes = 0.0
        self._ended_s = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of bodies that wait unread."""
        return len(self._waiting)

    def offer(self, number: int, size_bytes: int, now_s: float) -> BodyStep:
        """Decide about a body of a known size."""
        is_first = size_bytes <= SMALL_BYTES or not self._waiting
        if is_first and self._has_room(number, size_bytes):
            self._hold(number, size_bytes)
            return BodyStep.READ
        if self._queue_bytes() + size_bytes > self.bound_bytes:
            return BodyStep.REFUSE
        if self.expected_wait_s(size_bytes, now_s) > MAX_WAIT_S:
            return BodyStep.REFUSE
        self._waiting[number] = size_bytes
        return BodyStep.WAIT

    def grow(self, number: int, size_bytes: int) -> bool:
        """Add bytes to a body of unknown size; return `False` if there is no room for them."""
        total_bytes = self._held.get(number, 0) + size_bytes
        if not self._has_room(number, total_bytes):
            return False
        self._hold(number, total_bytes)
        return True

    def close(self, number: int, now_s: float) -> list[int]:
        """Drop a body; return the requests whose bodies are read now."""
        self._waiting.pop(number, None)
        size_bytes = self._held.get(number, 0)
        self._hold(number, 0)
        self._held.pop(number)
        if size_bytes > SMALL_BYTES:
            self._ended_bytes = self._recently_ended_bytes(now_s) + size_bytes
            self._ended_s = now_s
        begun, is_large_blocked = [], False
        for waiting, waiting_bytes in list(self._waiting.items()):
            is_large = waiting_bytes > SMALL_BYTES
            if (is_large and is_large_blocked) or not self._has_room(waiting, waiting_bytes):
                is_large_blocked |= is_large
                continue
            self._hold(waiting, self._waiting.pop(waiting))
            begun.append(waiting)
        return begun

    def expected_wait_s(self, size_bytes: int, now_s: float) -> float:
        """Return how long a body would wait; `MAX_WAIT_S` while no rate is known."""
        rate_bytes_per_s = self._recently_ended_bytes(now_s) / RATE_TIME_S
        ahead_bytes = (
            self._large_bytes + self._queue_bytes() + size_bytes - LARGE_SHARE * self.bound_bytes
        )
        if rate_bytes_per_s < 1.0:
            return MAX_WAIT_S
        return max(0.0, ahead_bytes / rate_bytes_per_s)

    def retry_after_s(self, size_bytes: int, now_s: float) -> float:
        """Return when the caller of a refused body should retry."""
        return min(MAX_RETRY_S, max(MIN_RETRY_S, self.expected_wait_s(size_bytes, now_s)))

    def _has_room(self, number: int, total_bytes: int) -> bool:
        """Return whether a body may take so much in total; one large body alone always may.

        Small bodies keep their share beside a large one that exceeds the bound alone.
        """
        own_bytes = self._held.get(number, 0)
        if total_bytes <= SMALL_BYTES:
            small_bytes = self.held_bytes - self._large_bytes - own_bytes + total_bytes
            reserved_bytes = (1.0 - LARGE_SHARE) * self.bound_bytes
            return small_bytes <= max(self.bound_bytes - self._large_bytes, reserved_bytes)
        other_bytes = self._large_bytes - (own_bytes if own_bytes > SMALL_BYTES else 0)
        return not other_bytes or other_bytes + total_bytes <= LARGE_SHARE * self.bound_bytes

    def _hold(self, number: int, total_bytes: int) -> None:
        """Set what a body takes in total."""
        for size_bytes, sign in ((self._held.get(number, 0), -1), (total_bytes, 1)):
            self.held_bytes += sign * size_bytes
            if size_bytes > SMALL_BYTES:
                self._large_bytes += sign * size_bytes
        self._held[number] = total_bytes

    def _queue_bytes(self) -> int:
        return sum(self._waiting.values())

    def _recently_ended_bytes(self, now_s: float) -> float:
        return self._ended_bytes * exp(-max(0.0, now_s - self._ended_s) / RATE_TIME_S)
