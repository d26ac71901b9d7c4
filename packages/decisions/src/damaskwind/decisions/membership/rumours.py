"""News to pass on: which items wait, and how often each was sent.

New items are flooded at once to a few peers, and then ride along on probes and
answers for some rounds. An item that others have already sent to this router
several times needs no flooding by it (counter-based broadcast, Ni and others,
MobiCom 1999), which keeps a burst of joins from multiplying. Leaves are always
flooded.
"""

from math import ceil, log2
from typing import NamedTuple

from damaskwind.decisions.membership.messages import (
    News,
    RouterRecord,
    RouterState,
    TargetRecord,
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

Item = RouterRecord | TargetRecord | Tombstone
_FIELDS = {RouterRecord: "routers", TargetRecord: "targets", Tombstone: "tombstones"}


def crosses_domains(item: Item) -> bool:
    """Tell whether an item matters beyond its failure domain."""
    if isinstance(item, RouterRecord):
        return item.state != RouterState.SUSPECT
    return True


class Rumour:
    """An item on its way through the fleet."""

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
    """Items for one datagram and the urgency of the most urgent one."""

    items: list[Item]
    urgency: Urgency


def group_updates(items: list[Item]) -> News:
    """Sort items into the fields of a message."""
    fields: dict[str, list[Item]] = {}
    for item in items:
        fields.setdefault(_FIELDS[type(item)], []).append(item)
    return News(**{name: tuple(values) for name, values in fields.items()})


def split_updates(news: News) -> tuple[News, ...]:
    """Split the records of a message into two messages; nothing when it can't be split.

    >>> graves = tuple(Tombstone(name, 1, 1, 1, "a", 0.0) for name in "xy")
    >>> [half.tombstones[0].target_id for half in split_updates(News(tombstones=graves))]
    ['x', 'y']
    """
    items = [*news.routers, *news.targets, *news.tombstones]
    if len(items) < 2:
        return ()
    middle = len(items) // 2
    first = group_updates(items[:middle])._replace(
        wanted=news.wanted, repair=news.repair, spills=news.spills
    )
    return first, group_updates(items[middle:])._replace(repair=news.repair)


def transmissions_limit(routers: int, factor: float) -> int:
    """Return how often an item is passed on in a group of this many routers.

    >>> transmissions_limit(1, 2.0), transmissions_limit(50, 2.0)
    (2, 12)
    """
    return max(ceil(factor * log2(routers + 1)), 1)


def _with_current_age(rumour: "Rumour", now_s: float) -> Item:
    """Return an item with the time it waited here added to its age."""
    item = rumour.item
    if isinstance(item, TargetRecord | Tombstone):
        return item._replace(age_s=item.age_s + max(now_s - rumour.created_s, 0.0))
    return item


def _key(item: Item) -> tuple[str, str]:
    """Return what two items about the same thing have in common."""
    if isinstance(item, RouterRecord):
        return ("router", item.router_id)
    return ("target", item.target_id)


class RumourQueue:
    """The items that this router passes on."""

    def __init__(self) -> None:
        self._rumours: dict[tuple[str, str], Rumour] = {}

    def __len__(self) -> int:
        return len(self._rumours)

    def _joins(self) -> int:
        """Return how many joins are on their way."""
        return sum(rumour.urgency == Urgency.JOIN for rumour in self._rumours.values())

    def add(self, item: Item, urgency: Urgency, now_s: float, flood: bool = True) -> None:
        """Pass an item on, in place of an older one about the same thing.

        Joins beyond `JOINS_LIMIT` are left to the repair, which sends each
        record only to those who lack it.
        """
        if urgency == Urgency.JOIN and self._joins() >= JOINS_LIMIT:
            return
        self._rumours[_key(item)] = Rumour(item, urgency, flood, now_s)
        if len(self._rumours) > QUEUE_LIMIT:
            worst = max(self._rumours, key=lambda key: self._priority(self._rumours[key]))
            del self._rumours[worst]

    def count_duplicate(self, item: Item) -> None:
        """Count that a peer sent an item that is known already."""
        rumour = self._rumours.get(_key(item))
        if rumour is not None:
            rumour.duplicates += 1

    def has_pending_leaves(self, fanout: int, far: bool) -> bool:
        """Tell whether a leave waits to be flooded."""
        count = "remote_floods" if far else "local_floods"
        return any(
            rumour.urgency == Urgency.LEAVE and getattr(rumour, count) < fanout
            for rumour in self._rumours.values()
        )

    def has_pending_floods(self, fanout: int) -> bool:
        """Tell whether an item that the peers lack waits to be flooded."""
        return any(
            rumour.local_floods < fanout and rumour.duplicates < rumour.duplicate_limit
            for rumour in self._rumours.values()
        )

    def take_flood(self, limit_bytes: int, fanout: int, far: bool, now_s: float) -> _Batch | None:
        """Take the items of one flooding datagram, the most urgent first.

        Each item is taken `fanout` times, and as often again for other domains.
        """
        items: list[Item] = []
        urgency = Urgency.ROUTINE
        count = "remote_floods" if far else "local_floods"
        waiting = [r for r in self._rumours.values() if getattr(r, count) < fanout]
        for rumour in sorted(waiting, key=self._priority):
            if rumour.duplicates >= rumour.duplicate_limit:
                setattr(rumour, count, _UNBOUNDED)
                continue
            if rumour.size_bytes > limit_bytes:
                continue
            limit_bytes -= rumour.size_bytes
            setattr(rumour, count, getattr(rumour, count) + 1)
            rumour.sends += 1
            items.append(_with_current_age(rumour, now_s))
            urgency = min(urgency, rumour.urgency)
        return _Batch(items, urgency) if items else None

    def take_piggyback(
        self, limit_bytes: int, max_sends: int, now_s: float, near: bool
    ) -> list[Item]:
        """Take the items that ride along on a probe or an answer."""
        self._expire(max_sends, now_s)
        items: list[Item] = []
        room = limit_bytes
        for rumour in sorted(self._rumours.values(), key=self._priority):
            if rumour.size_bytes > room:
                continue
            if not near and not crosses_domains(rumour.item):
                continue
            room -= rumour.size_bytes
            rumour.sends += 1
            items.append(_with_current_age(rumour, now_s))
        return items

    def _expire(self, max_sends: int, now_s: float) -> None:
        """Drop the items that were sent often enough or are old."""
        done = [
            key
            for key, rumour in self._rumours.items()
            if rumour.sends >= max_sends or now_s - rumour.created_s > LIFETIME_S
        ]
        for key in done:
            del self._rumours[key]

    @staticmethod
    def _priority(rumour: Rumour) -> tuple[int, int, float]:
        """Return what puts one item before another: urgent, sent least, old."""
        return (rumour.urgency, rumour.sends, rumour.created_s)
