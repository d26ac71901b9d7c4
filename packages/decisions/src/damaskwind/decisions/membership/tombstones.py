"""Tombstones: what is remembered of targets that are gone.

A record of the same incarnation does not pass a tombstone, except that a lapse
yields to a later renewal. A router can hold a live record only for as long as
its lease or vouching lasts, since ages travel with records and are never reset;
so a tombstone that outlives the longest lease outlives every record that it
must stop. `TOMBSTONE_S` is far longer, for VMs whose clock stood still.
"""

from typing import NamedTuple

from damaskwind.decisions.membership.digests import target_key
from damaskwind.decisions.membership.messages import GoneReason, TargetRecord, Tombstone

__all__ = ["TOMBSTONE_S", "TombstoneTable"]

TOMBSTONE_S = 3600.0
TOMBSTONE_LIMIT = 50_000


class _StoredTombstone(NamedTuple):
    """A tombstone and when its target went."""

    tombstone: Tombstone
    gone_at_s: float


def _order(tombstone: Tombstone) -> tuple[int, int, int]:
    """Return what makes one tombstone of a target supersede another."""
    return (tombstone.incarnation, tombstone.reason, tombstone.sequence)


class TombstoneTable:
    """The tombstones that one router keeps."""

    def __init__(self) -> None:
        self._tombstones: dict[str, _StoredTombstone] = {}
        self._by_key: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._tombstones)

    def incarnation(self, target_id: str) -> int:
        """Return the incarnation that ended, or -1."""
        held = self._tombstones.get(target_id)
        return held.tombstone.incarnation if held else -1

    def blocks(self, record: TargetRecord) -> bool:
        """Tell whether a tombstone stops a live record."""
        held = self._tombstones.get(record.target_id)
        if held is None or record.incarnation > held.tombstone.incarnation:
            return False
        if record.incarnation < held.tombstone.incarnation:
            return True
        lapsed = held.tombstone.reason == GoneReason.LAPSED
        return not (lapsed and record.renewed_sequence > held.tombstone.sequence)

    def put(self, tombstone: Tombstone, now_s: float) -> bool:
        """Keep a tombstone; tell whether it was news."""
        held = self._tombstones.get(tombstone.target_id)
        if held is not None and _order(held.tombstone) >= _order(tombstone):
            return False
        if tombstone.age_s >= TOMBSTONE_S:
            return False
        self._tombstones[tombstone.target_id] = _StoredTombstone(
            tombstone, now_s - max(tombstone.age_s, 0.0)
        )
        self._by_key[target_key(tombstone.target_id)] = tombstone.target_id
        if len(self._tombstones) > TOMBSTONE_LIMIT:
            self.drop(next(iter(self._tombstones)))
        return True

    def drop(self, target_id: str) -> None:
        """Forget a tombstone, since its target is back."""
        if self._tombstones.pop(target_id, None) is not None:
            self._by_key.pop(target_key(target_id), None)

    def get(self, target_id: str, now_s: float) -> Tombstone | None:
        """Return the tombstone of a target, with its age."""
        held = self._tombstones.get(target_id)
        if held is None:
            return None
        return held.tombstone._replace(age_s=max(now_s - held.gone_at_s, 0.0))

    def by_key(self, key: int, now_s: float) -> Tombstone | None:
        """Return the tombstone whose target has this key."""
        target_id = self._by_key.get(key)
        return self.get(target_id, now_s) if target_id is not None else None

    def expire(self, now_s: float) -> None:
        """Drop the tombstones that have served their time."""
        old = [
            name for name, held in self._tombstones.items() if now_s - held.gone_at_s > TOMBSTONE_S
        ]
        for name in old:
            self.drop(name)
