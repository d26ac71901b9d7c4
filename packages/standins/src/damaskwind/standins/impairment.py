"""Model of the impairments of one direction of a link, without I/O.

A `Shaper` computes from the size and arrival time of a piece of data when it is
sent, and draws from a seeded generator whether a datagram is lost.
"""

import random
from math import inf
from typing import NamedTuple

__all__ = ["Impairment", "LinkImpairment", "Shaper"]

_NO_LIMIT = 0.0


class Impairment(NamedTuple):
    """Impairments of one direction of a link; the default is a perfect link.

    `drop_share`, `reorder_share` and `corrupt_share` are fractions of the
    datagrams; `corrupt_share` applies to the pieces of a TCP stream too.
    Of the pieces of a TCP stream, `lost_share` come `resent_after_s` later, and `mute_share` never
    come; all that is behind one on its connection waits for it.
    `blackhole` drops datagrams silently and withholds a stream, including its
    end. A `bytes_per_s` of 0 means no limit.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    drop_share: float = 0.0
    reorder_share: float = 0.0
    corrupt_share: float = 0.0
    bytes_per_s: float = _NO_LIMIT
    blackhole: bool = False
    lost_share: float = 0.0
    resent_after_s: float = 0.2
    mute_share: float = 0.0


class LinkImpairment(NamedTuple):
    """Impairments of both directions of a link: from caller to target, and back."""

    to_target: Impairment = Impairment()
    to_caller: Impairment = Impairment()


class Shaper:
    """Delay, drop and corrupt the data of one direction."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._link_free_s = 0.0
        self._last_due_s = 0.0
        self.impairment = Impairment()

    def _draw(self, share: float) -> bool:
        """Return true with probability `share`."""
        return share > 0.0 and self._rng.random() < share

    def should_drop(self) -> bool:
        """Return whether a datagram is lost."""
        return self.impairment.blackhole or self._draw(self.impairment.drop_share)

    def lost_for_s(self) -> float:
        """Return how much later a piece of a stream comes, infinity if it never does."""
        if self._draw(self.impairment.mute_share):
            return inf
        return self.impairment.resent_after_s if self._draw(self.impairment.lost_share) else 0.0

    def corrupt(self, data: bytes) -> bytes:
        """Return the data, with one random bit flipped for `corrupt_share` of the calls."""
        if not data or not self._draw(self.impairment.corrupt_share):
            return data
        changed = bytearray(data)
        changed[self._rng.randrange(len(data))] ^= 1 << self._rng.randrange(8)
        return bytes(changed)

    def due_s(self, now_s: float, size_bytes: int, in_order: bool) -> float:
        """Return when a piece that arrived at `now_s` is sent.

        With `in_order`, as for a stream, pieces are never reordered. A datagram
        drawn for reordering is sent late by twice `delay_s`, or 20 ms if that is
        longer, so that later datagrams overtake it.
        """
        impairment = self.impairment
        delay_s = impairment.delay_s + impairment.jitter_s * self._rng.random()
        start_s = now_s
        if impairment.bytes_per_s > _NO_LIMIT:
            start_s = max(now_s, self._link_free_s)
            self._link_free_s = start_s + size_bytes / impairment.bytes_per_s
            start_s = self._link_free_s
        if not in_order:
            reorder_delay_s = (
                2 * max(impairment.delay_s, 0.01) if self._draw(impairment.reorder_share) else 0
            )
            return start_s + delay_s + reorder_delay_s
        self._last_due_s = max(self._last_due_s, start_s + delay_s)
        return self._last_due_s
