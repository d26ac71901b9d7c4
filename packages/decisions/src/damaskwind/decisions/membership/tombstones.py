"""Tombstones of targets that are gone.

A tombstone rejects records of the same incarnation, except that an expired lease
yields to a later renewal. A router keeps a live record only until its lease or the
confirmation of its domain expires, since ages travel with records and are never reset;
so a tombstone that outlives the longest lease outlives every record that it must
reject. `TOMBSTONE_S` is far longer, to cover VMs whose clock was stopped.
"""

from typing import NamedTuple

from damaskwind.decisions.membership.digests import target_key
from damaskwind.decisions.membership.messages import GoneReason, LeasedTargetRecord, Tombstone

__all__ = ["TOMBSTONE_S", "TombstoneTable"]

TOMBSTONE_S = 3600.0
TOMBSTONE_LIMIT = 50_000


class _StoredTombstone(NamedTuple):
    """A tombstone and the time at which its target was gone."""

    tombstone: Tombstone
    gone_at_s: float


def _order(tombstone: Tombstone) -> tuple[int, int, int]:
    """Return the sort key of a target's tombstones; a greater one supersedes a smaller."""
    return (tombstone.incarnation, tombstone.reason, tombstone.sequence)


class TombstoneTable:
    """The tombstones stored by one router."""

    def __init__(self) -> None:
        self._tombstones: dict[str, _StoredTombstone] = {}
        self._by_key: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._tombstones)

    def incarnation(self, target_id: str) -> int:
        """Return the incarnation of a target's tombstone, or -1 without one."""
        stored = self._tombstones.get(target_id)
        return stored.tombstone.incarnation if stored else -1

    def blocks(self, record: LeasedTargetRecord) -> bool:
        """Tell whether a tombstone rejects a live record."""
        stored = self._tombstones.get(record.target_id)
        if stored is None or record.incarnation > stored.tombstone.incarnation:
            return False
        if record.incarnation < stored.tombstone.incarnation:
            return True
        is_lapsed = stored.tombstone.reason == GoneReason.LAPSED
        return not (is_lapsed and record.renewed_sequence > stored.tombstone.sequence)

    def put(self, tombstone: Tombstone, now_s: float) -> bool:
        """Store a tombstone; tell whether it is newer than the known one."""
        stored = self._tombstones.get(tombstone.target_id)
        if stored is not None and _order(stored.tombstone) >= _order(tombstone):
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
        """Remove a tombstone, as when its target has returned."""
        if self._tombstones.pop(target_id, None) is not None:
            self._by_key.pop(target_key(target_id), None)

    def get(self, target_id: str, now_s: float) -> Tombstone | None:
        """Return the tombstone of a target with its current age."""
        stored = self._tombstones.get(target_id)
        if stored is None:
            return None
        return stored.tombstone._replace(age_s=max(now_s - stored.gone_at_s, 0.0))

    def by_key(self, key: int, now_s: float) -> Tombstone | None:
        """Return the tombstone whose target has this key."""
        target_id = self._by_key.get(key)
        return self.get(target_id, now_s) if target_id is not None else None

    def expire(self, now_s: float) -> None:
        """Remove tombstones older than `TOMBSTONE_S`."""
        expired = [
            name
            for name, stored in self._tombstones.items()
            if now_s - stored.gone_at_s > TOMBSTONE_S
        ]
        for name in expired:
            self.drop(name)
