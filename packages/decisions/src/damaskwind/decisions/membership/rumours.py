"""A queue of rumours: updates to disseminate, with their transmission counts.

New items are flooded to a few peers at once and then piggybacked on probes and acks
for some rounds. A router does not flood an item that it has already received several
times from others (counter-based broadcast, Ni and others, MobiCom 1999), so that a
burst of joins does not multiply. Leaves are always flooded.
"""

from math import ceil, log2
from typing import NamedTuple

from damaskwind.decisions.membership.messages import (
    LeasedTargetRecord,
    News,
    RouterRecord,
    RouterState,
    Tombstone,
)
from damaskwind.decisions.membership.sizes import estimate_bytes
from damaskwind.decisions.pacing.urgency import Urgency

__all__ = ["Rumour", "RumourQueue", "group_updates", "split_updates", "transmissions_limit"]

DUPLICATE_LIMIT = 2
LIFETIME_S = 10.0
QUEUE_LIMIT = 2000
JOINS_LIMIT = 8
_UNBOUNDED = 1 << 30

Item = RouterRecord | LeasedTargetRecord | Tombstone
_FIELDS = {RouterRecord: "routers", LeasedTargetRecord: "targets", Tombstone: "tombstones"}


def crosses_domains(item: Item) -> bool:
    """Tell whether an item is relevant to other failure domains."""
    if isinstance(item, RouterRecord):
        return item.state != RouterState.SUSPECT
    return True


class Rumour:
    """An item being disseminated, with its transmission counts.

    `local_floods` and `remote_floods` count floods inside and outside of the failure
    domain, `duplicates` how often peers sent the item to this router. From
    `duplicate_limit` duplicates on it is no longer flooded.
    """

    __slots__ = (
        "created_s",
        "duplicate_limit",
        "duplicates",
        "remote_floods",
        "local_floods",
        "item",
        "sends",
        "size_bytes",
        "urgency",
    )

    def __init__(self, item: Item, urgency: Urgency, flood: bool, now_s: float) -> None:
        self.item = item
        self.urgency = urgency
        self.local_floods = 0 if flood else _UNBOUNDED
        self.remote_floods = 0 if flood and crosses_domains(item) else _UNBOUNDED
        self.created_s = now_s
        self.sends = 0
        self.duplicates = 0
        self.duplicate_limit = _UNBOUNDED if urgency == Urgency.LEAVE else DUPLICATE_LIMIT
        self.size_bytes = estimate_bytes(item)


class _Batch(NamedTuple):
    """Items for one datagram, with the urgency of the most urgent one."""

    items: list[Item]
    urgency: Urgency


def group_updates(items: list[Item]) -> News:
    """Return a message with the items grouped by their type."""
    fields: dict[str, list[Item]] = {}
    for item in items:
        fields.setdefault(_FIELDS[type(item)], []).append(item)
    return News(**{name: tuple(values) for name, values in fields.items()})


def split_updates(updates: News) -> tuple[News, ...]:
    """Split the records of a message into two messages; return `()` for a single record.

    >>> tombstones = tuple(Tombstone(name, 1, 1, 1, "a", 0.0) for name in "xy")
    >>> [half.tombstones[0].target_id for half in split_updates(News(tombstones=tombstones))]
    ['x', 'y']
    """
    items = [*updates.routers, *updates.targets, *updates.tombstones]
    if len(items) < 2:
        return ()
    middle = len(items) // 2
    first = group_updates(items[:middle])._replace(
        wanted=updates.wanted, repair=updates.repair, spills=updates.spills
    )
    return first, group_updates(items[middle:])._replace(repair=updates.repair)


def transmissions_limit(routers: int, factor: float) -> int:
    """Return how many times a router sends an item in a group of this many routers.

    >>> transmissions_limit(1, 2.0), transmissions_limit(50, 2.0)
    (2, 12)
    """
    return max(ceil(factor * log2(routers + 1)), 1)


def _with_current_age(rumour: "Rumour", now_s: float) -> Item:
    """Return an item with its queueing time added to its age."""
    item = rumour.item
    if isinstance(item, LeasedTargetRecord | Tombstone):
        return item._replace(age_s=item.age_s + max(now_s - rumour.created_s, 0.0))
    return item


def _key(item: Item) -> tuple[str, str]:
    """Return the key that items about the same router or target share."""
    if isinstance(item, RouterRecord):
        return ("router", item.router_id)
    return ("target", item.target_id)


class RumourQueue:
    """The items that this router disseminates."""

    def __init__(self) -> None:
        self._rumours: dict[tuple[str, str], Rumour] = {}

    def __len__(self) -> int:
        return len(self._rumours)

    def _joins(self) -> int:
        """Return the number of queued joins."""
        return sum(rumour.urgency == Urgency.JOIN for rumour in self._rumours.values())

    def add(self, item: Item, urgency: Urgency, now_s: float, flood: bool = True) -> None:
        """Queue an item, in place of an older one about the same router or target.

        Joins beyond `JOINS_LIMIT` are left to anti-entropy, which sends each record only
        to routers that lack it.
        """
        if urgency == Urgency.JOIN and self._joins() >= JOINS_LIMIT:
            return
        self._rumours[_key(item)] = Rumour(item, urgency, flood, now_s)
        if len(self._rumours) > QUEUE_LIMIT:
            lowest = max(self._rumours, key=lambda key: self._priority(self._rumours[key]))
            del self._rumours[lowest]

    def count_duplicate(self, item: Item) -> None:
        """Count a duplicate of a queued item, received from a peer."""
        rumour = self._rumours.get(_key(item))
        if rumour is not None:
            rumour.duplicates += 1

    def has_pending_leaves(self, fanout: int, is_remote: bool) -> bool:
        """Tell whether a leave still has to be flooded."""
        counter = "remote_floods" if is_remote else "local_floods"
        return any(
            rumour.urgency == Urgency.LEAVE and getattr(rumour, counter) < fanout
            for rumour in self._rumours.values()
        )

    def has_pending_floods(self, fanout: int) -> bool:
        """Tell whether an item that peers may lack still has to be flooded."""
        return any(
            rumour.local_floods < fanout and rumour.duplicates < rumour.duplicate_limit
            for rumour in self._rumours.values()
        )

    def take_flood(
        self, limit_bytes: int, fanout: int, is_remote: bool, now_s: float
    ) -> _Batch | None:
        """Return the items of one flooding datagram, most urgent first, and count them.

        Each item is returned `fanout` times for the local and `fanout` times for remote
        domains.
        """
        items: list[Item] = []
        urgency = Urgency.ROUTINE
        counter = "remote_floods" if is_remote else "local_floods"
        pending = [r for r in self._rumours.values() if getattr(r, counter) < fanout]
        for rumour in sorted(pending, key=self._priority):
            if rumour.duplicates >= rumour.duplicate_limit:
                setattr(rumour, counter, _UNBOUNDED)
                continue
            if rumour.size_bytes > limit_bytes:
                continue
            limit_bytes -= rumour.size_bytes
            setattr(rumour, counter, getattr(rumour, counter) + 1)
            rumour.sends += 1
            items.append(_with_current_age(rumour, now_s))
            urgency = min(urgency, rumour.urgency)
        return _Batch(items, urgency) if items else None

    def take_piggyback(
        self, limit_bytes: int, max_sends: int, now_s: float, is_local: bool
    ) -> list[Item]:
        """Return the items to piggyback on a probe or an ack, and count them."""
        self._expire(max_sends, now_s)
        items: list[Item] = []
        headroom_bytes = limit_bytes
        for rumour in sorted(self._rumours.values(), key=self._priority):
            if rumour.size_bytes > headroom_bytes:
                continue
            if not is_local and not crosses_domains(rumour.item):
                continue
            headroom_bytes -= rumour.size_bytes
            rumour.sends += 1
            items.append(_with_current_age(rumour, now_s))
        return items

    def _expire(self, max_sends: int, now_s: float) -> None:
        """Remove items that were sent `max_sends` times or are too old."""
        expired = [
            key
            for key, rumour in self._rumours.items()
            if rumour.sends >= max_sends or now_s - rumour.created_s > LIFETIME_S
        ]
        for key in expired:
            del self._rumours[key]

    @staticmethod
    def _priority(rumour: Rumour) -> tuple[int, int, float]:
        """Return the sort key of items: most urgent, then least sent, then oldest first."""
        return (rumour.urgency, rumour.sends, rumour.created_s)
