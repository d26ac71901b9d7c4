"""Probe routers in turn and detect those that do not respond.

This is SWIM's failure detector. In each round a router probes the peer at a
certain offset on the ring of its failure domain. All routers use the same
permutation of offsets, and round numbers are synchronized like Lamport clocks,
so each round probes every router exactly once. The probe load is therefore even,
and a cycle covers each pair. A peer that does not respond is probed through
others before it is suspected, so that a path that fails in only one direction
causes no false suspicion.
"""

from functools import lru_cache
from typing import NamedTuple

import xxhash

__all__ = ["PendingProbe", "Prober", "ring_peers"]

_MAX_ROUND_JUMP = 100_000


class PendingProbe(NamedTuple):
    """A probe without an ack so far; `asked` is set once indirect probes were requested."""

    router_id: str
    sent_s: float
    asked: bool = False


@lru_cache(maxsize=64)
def _offsets(members: int, cycle: int) -> tuple[int, ...]:
    """Return the offsets of one cycle, in an order that is the same on all routers."""
    return tuple(
        sorted(
            range(1, members),
            key=lambda offset: xxhash.xxh32_intdigest(f"{cycle}\0{offset}".encode()),
        )
    )


def ring_peers(ring: list[str], router_id: str, round_number: int, count: int) -> list[str]:
    """Return the peers that a router contacts in a round, at most `count`.

    >>> [ring_peers(["a", "b", "c"], name, 7, 1)[0] for name in "abc"]
    ['b', 'c', 'a']
    """
    if len(ring) < 2 or router_id not in ring:
        return []
    own_index = ring.index(router_id)
    cycle, step = divmod(round_number, len(ring) - 1)
    offsets = _offsets(len(ring), cycle)
    chosen = [offsets[(step + i) % len(offsets)] for i in range(min(count, len(offsets)))]
    return [ring[(own_index + offset) % len(ring)] for offset in chosen]


class Prober:
    """The pending probes of one router.

    Ring probes use the round number as nonce, all other probes a negative number.
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
        """Tell whether a round is due, and advance the round number."""
        if now_s < self._next_round_s:
            return False
        self._next_round_s = max(self._next_round_s + self._round_s, now_s + self._round_s / 2)
        if now_s - self._round_advanced_s >= self._round_s / 2:
            self.round_number += 1
            self._round_advanced_s = now_s
        return True

    def sync_round(self, nonce: int, now_s: float) -> None:
        """Adopt the round number of a ring peer that is ahead.

        A router that just did so does not advance the number with its own next round,
        so the shared number advances once per `round_s` and not once per router.
        """
        if self.round_number < nonce < self.round_number + _MAX_ROUND_JUMP:
            self.round_number = nonce
            self._round_advanced_s = now_s

    def next_off_ring_nonce(self) -> int:
        """Return a nonce for a probe that is not a ring probe."""
        self._off_ring_nonce -= 1
        return self._off_ring_nonce

    def record_sent(self, nonce: int, router_id: str, now_s: float) -> None:
        """Record a sent probe as pending."""
        self._pending[nonce] = PendingProbe(router_id, now_s)

    def pop_answered(self, nonce: int) -> PendingProbe | None:
        """Remove and return the pending probe of an ack, if there is one."""
        return self._pending.pop(nonce, None)

    def cancel(self, nonce: int) -> None:
        """Remove a probe that was never sent."""
        self._pending.pop(nonce, None)

    def add_forward(self, nonce: int, router_id: str, their_nonce: int, now_s: float) -> None:
        """Record the router that requested an indirect probe, and its own nonce."""
        self._forwards[nonce] = (router_id, their_nonce, now_s)

    def pop_forward(self, nonce: int) -> tuple[str, int] | None:
        """Remove and return the requester of an indirect probe and its own nonce."""
        requester = self._forwards.pop(nonce, None)
        return requester[:2] if requester else None

    def take_late(self, timeout_s: float, now_s: float) -> list[tuple[int, str]]:
        """Return nonce and router of the probes that have newly exceeded the timeout."""
        late = []
        for nonce, probe in self._pending.items():
            if not probe.asked and now_s - probe.sent_s >= timeout_s:
                self._pending[nonce] = probe._replace(asked=True)
                late.append((nonce, probe.router_id))
        return late

    def take_failed(self, timeout_s: float, now_s: float) -> list[str]:
        """Remove the probes that failed, and return their routers."""
        failed = [
            nonce for nonce, probe in self._pending.items() if now_s - probe.sent_s >= timeout_s
        ]
        expired = [
            nonce
            for nonce, requester in self._forwards.items()
            if now_s - requester[2] >= timeout_s
        ]
        for nonce in expired:
            del self._forwards[nonce]
        return [self._pending.pop(nonce).router_id for nonce in failed]
