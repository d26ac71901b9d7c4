"""The routers known to a router, with their states, and the relays of each domain.

The merge rule is SWIM's (Das, Gupta and Motivala, DSN 2002): of two records
the one with the higher incarnation wins; at equal incarnations the greater state
wins. Only a router itself raises its incarnation.
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
        """Tell whether the router is live now and was not before."""
        was_live = self.before is not None and self.before.state in _LIVE_STATES
        return not was_live and self.after.state in _LIVE_STATES

    @property
    def gone(self) -> bool:
        """Tell whether the router was live before and is not now."""
        was_live = self.before is not None and self.before.state in _LIVE_STATES
        return was_live and self.after.state not in _LIVE_STATES


def _rendezvous_weight(failure_domain: str, router_id: str) -> int:
    """Return the rendezvous hashing weight of a router as relay of its failure domain."""
    return xxhash.xxh3_64_intdigest(f"{failure_domain}\0{router_id}".encode())


class RouterTable:
    """All routers known to one router, including itself."""

    def __init__(self, own_record: RouterRecord, digests: DigestTable) -> None:
        self.own_record = own_record
        self._digests = digests
        self._records: dict[str, RouterRecord] = {}
        self._changed_at_s: dict[str, float] = {}
        self._suspects: set[str] = set()
        self._rings: dict[str, list[str]] = {}
        self._put(own_record, 0.0)

    def _put(self, record: RouterRecord, now_s: float) -> None:
        """Store a record and update digests, rings and suspects."""
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
        """Tell whether a router is considered alive, possibly under suspicion."""
        record = self._records.get(router_id)
        return record is not None and record.state in _LIVE_STATES

    def merge(self, record: RouterRecord, now_s: float) -> RouterChange | None:
        """Merge a record; return the change, or `None` if it is not newer.

        Records are ordered by incarnation, then by state.
        """
        before = self._records.get(record.router_id)
        if before is not None and record[1:3] <= before[1:3]:
            return None
        self._put(record, now_s)
        return RouterChange(before, record)

    def refute(self, incarnation: int, now_s: float) -> RouterRecord:
        """Raise the own incarnation above one that others have, and return the record."""
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
        """Return all routers considered alive, including this one."""
        return [record for record in self._records.values() if record.state in _LIVE_STATES]

    def dead(self) -> list[RouterRecord]:
        """Return the routers considered dead, without those that announced their leave."""
        return [record for record in self._records.values() if record.state == RouterState.DEAD]

    def gone_by_key(self, key: int) -> RouterRecord | None:
        """Return the record of a dead or departed router by its key."""
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
        """Return the routers of a domain that communicate with other domains.

        These are the live routers with the highest rendezvous weights, so all routers
        with the same member list agree on them without communication.
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
        """Return the routers that have been suspects since `since_s` or earlier."""
        expired = sorted(name for name in self._suspects if self._changed_at_s[name] <= since_s)
        return [self._records[name] for name in expired]

    def forget(self, now_s: float) -> None:
        """Remove routers that have been dead or departed for `FORGET_ROUTER_S`."""
        expired = [
            name
            for name, record in self._records.items()
            if record.state not in _LIVE_STATES
            and now_s - self._changed_at_s[name] > FORGET_ROUTER_S
        ]
        for name in expired:
            del self._records[name], self._changed_at_s[name]
