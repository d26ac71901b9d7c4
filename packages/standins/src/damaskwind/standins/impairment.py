"""What a faulty link does to the bytes of one direction; pure.

A `Shaper` turns the size of a piece of data and the time into when it goes
out, and for datagrams also whether it does, from a seeded generator.
"""

import random
from typing import NamedTuple

__all__ = ["Impairment", "LinkImpairment", "Shaper"]

_NO_LIMIT = 0.0


class Impairment(NamedTuple):
    """How one direction of a link behaves; the default is a perfect link.

    `drop_share`, `reorder_share` and `corrupt_share` count datagrams;
    `corrupt_share` counts pieces of a TCP stream too. `blackhole` swallows
    datagrams and holds a stream back without a word, also its end.
    `bytes_per_s` of 0 means no limit.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    drop_share: float = 0.0
    reorder_share: float = 0.0
    corrupt_share: float = 0.0
    bytes_per_s: float = _NO_LIMIT
    blackhole: bool = False


class LinkImpairment(NamedTuple):
    """Both directions of a link: from the caller to the target, and back."""

    to_target: Impairment = Impairment()
    to_caller: Impairment = Impairment()


class Shaper:
    """Time and change the pieces of one direction."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._link_free_s = 0.0
        self._last_due_s = 0.0
        self.impairment = Impairment()

    def _draw(self, share: float) -> bool:
        """Draw whether something that hits a share happens."""
        return share > 0.0 and self._rng.random() < share

    def should_drop(self) -> bool:
        """Draw whether a datagram is lost."""
        return self.impairment.blackhole or self._draw(self.impairment.drop_share)

    def corrupt(self, data: bytes) -> bytes:
        """Return the data, with one bit flipped when the draw says so."""
        if not data or not self._draw(self.impairment.corrupt_share):
            return data
        changed = bytearray(data)
        changed[self._rng.randrange(len(data))] ^= 1 << self._rng.randrange(8)
        return bytes(changed)

    def due_s(self, now_s: float, size_bytes: int, in_order: bool) -> float:
        """Return when a piece that came now goes out.

        A stream stays in order. A datagram that is drawn for reordering goes
        out two delays late, so that later ones overtake it.
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
