"""Probe routers in turn and tell which of them do not answer.

This is SWIM's failure detector. In each round a router probes the peer that
stands a certain offset further on the ring of its failure domain. The offsets
are one fixed permutation for all, and round numbers are levelled as Lamport
clocks, so in each round every router is probed by one other: the load that
probes bring is even, and after a cycle each pair has met. A peer that does not
answer is probed through others before it is suspected, so that a path broken
in one direction accuses nobody.
"""

from functools import lru_cache
from typing import NamedTuple

import xxhash

__all__ = ["PendingProbe", "Prober", "ring_peers"]

_MAX_ROUND_JUMP = 100_000


class PendingProbe(NamedTuple):
    """A probe that waits for its answer; `asked` is set once others were asked."""

    router_id: str
    sent_s: float
    asked: bool = False


@lru_cache(maxsize=64)
def _offsets(members: int, cycle: int) -> tuple[int, ...]:
    """Return the offsets of one cycle, in an order that is the same everywhere."""
    return tuple(
        sorted(
            range(1, members),
            key=lambda offset: xxhash.xxh32_intdigest(f"{cycle}\0{offset}".encode()),
        )
    )


def ring_peers(ring: list[str], router_id: str, round_number: int, count: int) -> list[str]:
    """Return the peers that a router turns to in a round, `count` at most.

    >>> [ring_peers(["a", "b", "c"], name, 7, 1)[0] for name in "abc"]
    ['b', 'c', 'a']
    """
    if len(ring) < 2 or router_id not in ring:
        return []
    here = ring.index(router_id)
    cycle, step = divmod(round_number, len(ring) - 1)
    offsets = _offsets(len(ring), cycle)
    chosen = [offsets[(step + i) % len(offsets)] for i in range(min(count, len(offsets)))]
    return [ring[(here + offset) % len(ring)] for offset in chosen]


class Prober:
    """The probes of one router that wait for answers.

    Probes of the ring carry the round as nonce, all others a negative number.
    """

    def __init__(self, round_s: float, now_s: float, first_delay_s: float) -> None:
        self.round_number = 0
        self._round_s = round_s
        self._next_round_s = now_s + first_delay_s
        self._round_advanced_s = now_s
        self._off_ring_nonce = 0
        self._pending: dict[int, PendingProbe] = {}
        self._forwards: dict[int, tuple[str, int, float]] = {}

    def start_round(self, now_s: float) -> bool:
        """Tell whether a round is due, and count it."""
        if now_s < self._next_round_s:
            return False
        self._next_round_s = max(self._next_round_s + self._round_s, now_s + self._round_s / 2)
        if now_s - self._round_advanced_s >= self._round_s / 2:
            self.round_number += 1
            self._round_advanced_s = now_s
        return True

    def sync_round(self, nonce: int, now_s: float) -> None:
        """Catch up with a peer of the ring whose round is ahead.

        A router that just caught up does not count its own next round, so the
        common round advances once in `round_s` and not once for each router.
        """
        if self.round_number < nonce < self.round_number + _MAX_ROUND_JUMP:
            self.round_number = nonce
            self._round_advanced_s = now_s

    def next_off_ring_nonce(self) -> int:
        """Return a nonce for a probe outside of the ring."""
        self._off_ring_nonce -= 1
        return self._off_ring_nonce

    def record_sent(self, nonce: int, router_id: str, now_s: float) -> None:
        """Wait for the answer to a probe."""
        self._pending[nonce] = PendingProbe(router_id, now_s)

    def pop_answered(self, nonce: int) -> PendingProbe | None:
        """Return the probe that an answer belongs to."""
        return self._pending.pop(nonce, None)

    def cancel(self, nonce: int) -> None:
        """Forget a probe that was never sent."""
        self._pending.pop(nonce, None)

    def add_forward(self, nonce: int, router_id: str, their_nonce: int, now_s: float) -> None:
        """Remember for whom a probe was sent."""
        self._forwards[nonce] = (router_id, their_nonce, now_s)

    def pop_forward(self, nonce: int) -> tuple[str, int] | None:
        """Return for whom a probe was sent, and its nonce there."""
        held = self._forwards.pop(nonce, None)
        return held[:2] if held else None

    def take_late(self, timeout_s: float, now_s: float) -> list[tuple[int, str]]:
        """Return the probes that are late for the first time: nonce and router."""
        late = []
        for nonce, probe in self._pending.items():
            if not probe.asked and now_s - probe.sent_s >= timeout_s:
                self._pending[nonce] = probe._replace(asked=True)
                late.append((nonce, probe.router_id))
        return late

    def take_failed(self, timeout_s: float, now_s: float) -> list[str]:
        """Return the routers whose probes failed, and forget those probes."""
        failed = [
            nonce for nonce, probe in self._pending.items() if now_s - probe.sent_s >= timeout_s
        ]
        old = [nonce for nonce, held in self._forwards.items() if now_s - held[2] >= timeout_s]
        for nonce in old:
            del self._forwards[nonce]
        return [self._pending.pop(nonce).router_id for nonce in failed]
