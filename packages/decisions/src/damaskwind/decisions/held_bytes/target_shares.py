"""Bound the bytes of request bodies that one router has in hand at each target."""

from collections import Counter

__all__ = ["TargetShares"]

# All routers together; a target that holds more may exceed its memory and end.
TARGET_BODY_BYTES = 32 * 1024 * 1024
# Bodies up to this size always pass: what they add is bounded by the load bound.
SMALL_BYTES = 65_536


class TargetShares:
    """The large bodies in hand at each target.

    One of them may always be in hand, since a share of many routers may be smaller than a body.

    >>> shares = TargetShares()
    >>> shares.may_send("t", 4_000_000, routers=100)
    True
    >>> shares.record_sent("t", 4_000_000)
    >>> shares.may_send("t", 100_000, routers=100), shares.may_send("t", 9_000, routers=100)
    (False, True)
    >>> shares.may_send("t", 100_000, routers=4), shares.may_send("u", 100_000, routers=100)
    (True, True)
    """

    def __init__(self, bound_bytes: int = TARGET_BODY_BYTES) -> None:
        self._bound_bytes = bound_bytes
        self._in_hand: Counter[str] = Counter()

    def may_send(self, target_id: str, size_bytes: int, routers: int) -> bool:
        """Return whether a body may be sent to a target now."""
        in_hand_bytes = self._in_hand[target_id]
        if size_bytes <= SMALL_BYTES or not in_hand_bytes:
            return True
        return in_hand_bytes + size_bytes <= self._bound_bytes / max(routers, 1)

    def record_sent(self, target_id: str, size_bytes: int) -> None:
        """Record that a body is sent to a target."""
        if size_bytes > SMALL_BYTES:
            self._in_hand[target_id] += size_bytes

    def record_ended(self, target_id: str, size_bytes: int) -> None:
        """Record that a target has answered, or was given up."""
        if size_bytes > SMALL_BYTES:
            self._in_hand[target_id] -= size_bytes
            if self._in_hand[target_id] <= 0:
                del self._in_hand[target_id]

    def max_in_hand_bytes(self) -> int:
        """Return the bytes at the target that has most."""
        return max(self._in_hand.values(), default=0)
