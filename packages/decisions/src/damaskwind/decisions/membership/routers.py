"""The routers that a router knows, with their states and relays.

The merge rule is SWIM's (Das, Gupta and Motivala, DSN 2002): of two records
the one with the higher incarnation wins, at equal incarnations the graver
state; only a router itself raises its incarnation.
"""

from typing import NamedTuple

import xxhash

from damaskwind.decisions.membership.digests import (
    DigestTable,
    Member,
    router_key,
    router_version,
)
from damaskwind.decisions.membership.messages import RouterRecord, RouterState

__all__ = ["FORGET_ROUTER_S", "RELAYS_PER_DOMAIN", "RouterChange", "RouterTable"]

RELAYS_PER_DOMAIN = 2
FORGET_ROUTER_S = 4 * 3600.0
_LIVE_STATES = (RouterState.ALIVE, RouterState.SUSPECT)


class RouterChange(NamedTuple):
    """A router's record before and after a merge; `before` is `None` for a new one."""

    before: RouterRecord | None
    after: RouterRecord

    @property
    def joined(self) -> bool:
        """Tell whether the router lives now and did not before."""
        lived = self.before is not None and self.before.state in _LIVE_STATES
        return not lived and self.after.state in _LIVE_STATES

    @property
    def gone(self) -> bool:
        """Tell whether the router lived before and does not now."""
        lived = self.before is not None and self.before.state in _LIVE_STATES
        return lived and self.after.state not in _LIVE_STATES


def _rendezvous_weight(failure_domain: str, router_id: str) -> int:
    """Return the weight of a router as relay of its failure domain."""
    return xxhash.xxh3_64_intdigest(f"{failure_domain}\0{router_id}".encode())


class RouterTable:
    """All routers that one router knows, itself among them."""

    def __init__(self, own_record: RouterRecord, digests: DigestTable) -> None:
        self.own_record = own_record
        self._digests = digests
        self._records: dict[str, RouterRecord] = {}
        self._changed_at_s: dict[str, float] = {}
        self._suspects: set[str] = set()
        self._rings: dict[str, list[str]] = {}
        self._put(own_record, 0.0)

    def _put(self, record: RouterRecord, now_s: float) -> None:
        """Hold a record and keep the digests and rings in step."""
        self._records[record.router_id] = record
        self._changed_at_s[record.router_id] = now_s
        self._rings.clear()
        self._suspects.discard(record.router_id)
        if record.state == RouterState.SUSPECT:
            self._suspects.add(record.router_id)
        key = router_key(record.router_id)
        if record.state in _LIVE_STATES:
            member = Member(True, record.router_id, router_version(record))
            self._digests.put(record.failure_domain, key, member)
        else:
            self._digests.remove(key)

    def get(self, router_id: str) -> RouterRecord | None:
        """Return the record of a router."""
        return self._records.get(router_id)

    def is_live(self, router_id: str) -> bool:
        """Tell whether a router is held alive, perhaps under suspicion."""
        record = self._records.get(router_id)
        return record is not None and record.state in _LIVE_STATES

    def merge(self, record: RouterRecord, now_s: float) -> RouterChange | None:
        """Take a record; return the change, or `None` when it was no news.

        Records are ordered by incarnation, then by state.
        """
        before = self._records.get(record.router_id)
        if before is not None and record[1:3] <= before[1:3]:
            return None
        self._put(record, now_s)
        return RouterChange(before, record)

    def refute(self, incarnation: int, now_s: float) -> RouterRecord:
        """Raise the own incarnation above one that others hold, and return the record."""
        raised = max(incarnation, self.own_record.incarnation) + 1
        self.own_record = self.own_record._replace(incarnation=raised, state=RouterState.ALIVE)
        self._put(self.own_record, now_s)
        return self.own_record

    def leave(self, now_s: float) -> RouterRecord:
        """Mark the own record as left and return it."""
        self.own_record = self.own_record._replace(state=RouterState.LEFT)
        self._put(self.own_record, now_s)
        return self.own_record

    def live(self) -> list[RouterRecord]:
        """Return all routers held alive, this one among them."""
        return [record for record in self._records.values() if record.state in _LIVE_STATES]

    def dead(self) -> list[RouterRecord]:
        """Return the routers held dead; those that left by themselves aren't."""
        return [record for record in self._records.values() if record.state == RouterState.DEAD]

    def gone_by_key(self, key: int) -> RouterRecord | None:
        """Return the record of a router that is gone, by its key."""
        for record in self._records.values():
            if record.state not in _LIVE_STATES and router_key(record.router_id) == key:
                return record
        return None

    def ring(self, failure_domain: str) -> list[str]:
        """Return the live routers of a failure domain, sorted by id."""
        if failure_domain not in self._rings:
            live = [r.router_id for r in self.live() if r.failure_domain == failure_domain]
            self._rings[failure_domain] = sorted(live)
        return self._rings[failure_domain]

    def domains(self) -> list[str]:
        """Return the failure domains that have a live router, sorted."""
        return sorted({record.failure_domain for record in self.live()})

    def relays(self, failure_domain: str) -> list[str]:
        """Return the routers of a domain that speak with other domains.

        These are the live ones of the greatest rendezvous weight, so all who
        hold the same list agree on them without a word.
        """
        ring = self.ring(failure_domain)
        ranked = sorted(
            ring, key=lambda name: _rendezvous_weight(failure_domain, name), reverse=True
        )
        return ranked[:RELAYS_PER_DOMAIN]

    def is_relay(self) -> bool:
        """Tell whether this router is a relay of its domain."""
        return self.own_record.router_id in self.relays(self.own_record.failure_domain)

    def suspects_since(self, since_s: float) -> list[RouterRecord]:
        """Return the routers under suspicion since before `since_s`."""
        old = sorted(name for name in self._suspects if self._changed_at_s[name] <= since_s)
        return [self._records[name] for name in old]

    def forget(self, now_s: float) -> None:
        """Drop the routers that have been gone for long."""
        old = [
            name
            for name, record in self._records.items()
            if record.state not in _LIVE_STATES
            and now_s - self._changed_at_s[name] > FORGET_ROUTER_S
        ]
        for name in old:
            del self._records[name], self._changed_at_s[name]
