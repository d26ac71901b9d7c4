"""Decide which router grants the slots of a brittle target.

The leader of the replicas names some routers to all, and each target belongs to the one of them
that has the highest random weight for it. So all routers agree without a message of their own, and
few targets move when a router comes or goes. Two routers must not grant the slots of one target at
the same time, though they hear of a change at different times:

- A router that comes owns nothing at first. Its targets pass to it at a time that follows from the
  list, when every other router has heard of it or grants nothing, since its list is too old.
- A router that the replicas have not heard for a while has stopped to grant before they drop it.
  Where no router hears any replica, all go on by the last list.
- Where an owner's process has ended, which shows in refused connections, the next in rank takes
  its place as soon as what it granted must have ended.
"""

from collections.abc import Sequence
from typing import NamedTuple

from damaskwind.decisions.limits.slices import choose_allocator
from damaskwind.decisions.placement.rank import target_seed
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint

__all__ = ["MAX_GRANTERS", "Granter", "NewsOrigin", "SlotOwners", "even_part"]

# Enough that a lost one takes few targets with it, and few enough for one small update.
MAX_GRANTERS = 8
# A list that was not confirmed for this time may have been replaced. Replicas drop a router that
# is silent for 4 s, and what it granted has to end before.
LIST_TTL_S = 3.0
# After this time a router that came owns targets: everybody has heard of it or has an old list.
JOIN_S = 4.0
# Routers that came this long after the oldest one at most started together with it.
START_S = 2.0
# For this time after a target passed to it a router doesn't grant its slots: others may have the
# time of the change wrong by some tenths of a second, and what they granted has to end.
SWITCH_S = 1.0
# Where no leader is heard for this time, a replica that knows of none names the routers: a failure
# domain that is cut off has other targets than the rest.
LEADERLESS_S = 2.5
# A router that hears no replica asks the others this often whether they do.
ALONE_TTL_S = 1.5


class Granter(NamedTuple):
    """A router that grants slots, and for how long a replica has known its process."""

    endpoint: PeerEndpoint
    age_s: float


class NewsOrigin(NamedTuple):
    """Whether the replica that sent an update leads, and whether it knows of a leader."""

    leads: bool
    is_current: bool


class _Named(NamedTuple):
    """The routers of a list, and from when on it was in force."""

    endpoints: tuple[PeerEndpoint, ...]
    from_s: float


def even_part(target_id: str, slots: int, place: int, routers: int) -> int:
    """Return how many slots of a target are a router's own, by its index among all routers.

    That is how slots are divided where routers have no addresses at which to ask one another.

    >>> [even_part("a", 2, place, 3) for place in range(3)]
    [0, 1, 1]
    """
    first = target_seed(target_id)
    return sum((first + slot) % max(routers, 1) == place for slot in range(slots))


class SlotOwners:
    """The routers that grant slots, as one router with a `key` of its own knows them.

    >>> owners = SlotOwners("k1", now_s=0.0)
    >>> first = Granter(PeerEndpoint("h1", "k1"), 60.0)
    >>> owners.update(NewsOrigin(True, True), (first,), 1.0)
    True
    >>> owners.owner_of("a", 1.5).host, owners.may_grant("a", since_s=0.0, now_s=1.5)
    ('h1', True)
    >>> owners.update(NewsOrigin(False, True), None, 4.5), owners.may_grant("a", 0.0, 4.5)
    (False, False)
    """

    def __init__(self, key: str, now_s: float) -> None:
        self._key = key
        self._lists: list[_Named] = []
        # By key: since when a process is known, and since when it is known to have ended.
        self._joined_s: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}
        self._confirmed_s = self._alone_s = float("-inf")
        self._led_s = self._heard_s = now_s

    @property
    def endpoints(self) -> tuple[PeerEndpoint, ...]:
        """Return the routers that grant slots, none while none were named."""
        return self._lists[-1].endpoints if self._lists else ()

    def update(self, origin: NewsOrigin, granters: Sequence[Granter] | None, now_s: float) -> bool:
        """Take note of a replica's update, which names no routers if they are as known.

        Return whether the list changed.
        """
        self._heard_s = now_s
        if origin.leads:
            self._led_s = now_s
        elif origin.is_current or now_s - self._led_s < LEADERLESS_S:
            return False
        self._confirmed_s = now_s
        if granters is None:
            return False
        keys = {item.endpoint.key for item in granters}
        joined_s = {item.endpoint.key: now_s - item.age_s for item in granters}
        self._joined_s = {**joined_s, **_only(self._joined_s, keys)}
        self._ended_s = _only(self._ended_s, keys)
        from_s = now_s if self._lists else self._joined_s.get(self._key, now_s)
        recent = [item for item, until_s in self._periods(now_s) if until_s > now_s - SWITCH_S]
        self._lists = [*recent, _Named(tuple(item.endpoint for item in granters), from_s)]
        return True

    def confirmed_age_s(self, now_s: float) -> float:
        """Return how long ago the list was confirmed."""
        return now_s - self._confirmed_s

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether the list is that of the replicas."""
        return self.confirmed_age_s(now_s) < LIST_TTL_S

    def is_silent(self, now_s: float, woken_s: float = 0.0) -> bool:
        """Return whether no replica is heard; one that was suspended can't tell yet."""
        return now_s - max(self._heard_s, woken_s) >= LIST_TTL_S

    def record_alone(self, now_s: float) -> None:
        """Record that no other router is known to hear a replica either."""
        self._alone_s = now_s

    def record_ended(self, endpoint: PeerEndpoint, now_s: float) -> None:
        """Record that a router refuses connections: its process has ended."""
        if endpoint in self.endpoints:
            self._ended_s.setdefault(endpoint.key, now_s)

    def record_answer(self, endpoint: PeerEndpoint) -> None:
        """Record that a router answered."""
        self._ended_s.pop(endpoint.key, None)

    def owner_of(self, target_id: str, now_s: float, woken_s: float = 0.0) -> PeerEndpoint:
        """Return the router that grants a target's slots, `NO_PEER` while none is known.

        While other routers may have a newer list, that is never this one.
        """
        if not self._lists:
            return NO_PEER
        named = self._lists[-1]
        if self._is_stale(now_s, woken_s):
            others = tuple(item for item in named.endpoints if item.key != self._key)
            named = named._replace(endpoints=others)
        return self._owner_at(named, target_id, now_s)

    def may_grant(self, target_id: str, since_s: float, now_s: float, woken_s: float = 0.0) -> bool:
        """Return whether this router grants a target's slots now.

        They are granted to anybody since `since_s`; before, no router can have granted any. A
        process that was suspended until `woken_s` may have missed a list.
        """
        from_s = max(now_s - SWITCH_S, since_s)
        if not self._lists or self._lists[0].from_s > from_s:
            return False
        # A former owner that was dropped from the list has stopped before.
        others = {endpoint.key for endpoint in self.endpoints} - {self._key}
        return self.owner_of(target_id, now_s, woken_s).key == self._key and all(
            self._owner_at(named, target_id, at_s).key not in others
            for named, until_s in self._periods(now_s)
            for at_s in (*self._changes_s(), from_s)
            if max(named.from_s, from_s) <= at_s < until_s
        )

    def _is_stale(self, now_s: float, woken_s: float) -> bool:
        """Return whether other routers may have a newer list."""
        is_alone = self.is_silent(now_s, woken_s) and now_s - self._alone_s < ALONE_TTL_S
        return not self.is_confirmed(now_s) and not is_alone

    def _owner_at(self, named: _Named, target_id: str, at_s: float) -> PeerEndpoint:
        """Return the owner of a target by a list, as of a time."""
        present = [item for item in named.endpoints if self._ended_s.get(item.key, at_s + 1) > at_s]
        joined_s = {item.key: self._joined_s.get(item.key, at_s) for item in present}
        together_s = min(joined_s.values(), default=at_s) + START_S
        owners = {
            item.host: item
            for item in present
            if joined_s[item.key] <= max(at_s - JOIN_S, together_s)
        }
        return owners[choose_allocator(target_id, owners)] if owners else NO_PEER

    def _changes_s(self) -> list[float]:
        """Return the times at which targets may have passed from one router to another."""
        joins_s = (joined_s + JOIN_S for joined_s in self._joined_s.values())
        return [*joins_s, *self._ended_s.values(), *(item.from_s for item in self._lists)]

    def _periods(self, now_s: float) -> list[tuple[_Named, float]]:
        """Return the lists, each with the time until which it was in force."""
        ends_s = [*(item.from_s for item in self._lists[1:]), now_s]
        return list(zip(self._lists, ends_s, strict=False))


def _only(times_s: dict[str, float], keys: set[str]) -> dict[str, float]:
    """Return the entries with some keys."""
    return {key: at_s for key, at_s in times_s.items() if key in keys}
