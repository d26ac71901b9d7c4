"""Anti-entropy between two routers, bucket by bucket.

A router whose digest of a failure domain differs from a peer's sends the
digests of all buckets (`Compare`). The peer replies with its members in some
of the buckets that differ (`Sketch`). The first router sends the records and tombstones
that the peer lacks and requests those that it lacks itself (`News` with `repair`).
Each step fits into one datagram; the rest is left to the next round.
"""

from random import Random

from damaskwind.decisions.membership.digests import (
    BUCKETS,
    DigestTable,
    Member,
    combine_digests,
    pack_entries,
    pack_keys,
    unpack_entries,
    unpack_keys,
)
from damaskwind.decisions.membership.messages import Compare, GoneReason, News, Sketch, Summary
from damaskwind.decisions.membership.routers import RouterTable
from damaskwind.decisions.membership.rumours import Item, group_updates
from damaskwind.decisions.membership.sizes import estimate_bytes, unpacked_bytes
from damaskwind.decisions.membership.targets import LeasedTargetTable

__all__ = ["Repair"]

_ENTRY_BYTES = 8
_KEY_BYTES = 4
_WANTED_LIMIT = 40


class Repair:
    """The anti-entropy of one router over its membership tables."""

    def __init__(
        self,
        routers: RouterTable,
        targets: LeasedTargetTable,
        digests: DigestTable,
        updates_bytes: int,
        random: Random,
    ) -> None:
        self._routers = routers
        self._targets = targets
        self._digests = digests
        self._updates_bytes = updates_bytes
        self._random = random
        self._last_compared_s: dict[str, float] = {}
        self._summary_turn = 0

    def own_summary(self) -> Summary:
        """Return the summary that confirms the local failure domain."""
        domain = self._routers.own_record.failure_domain
        return Summary(domain, 0.0, combine_digests(self._digests.digests(domain)))

    def remote_summaries(self, count: int, max_age_s: float, now_s: float) -> tuple[Summary, ...]:
        """Return summaries that forward the confirmations of some other domains, in turn."""
        local_domain = self._routers.own_record.failure_domain
        domains = sorted(name for name in self._digests.domains() if name != local_domain)
        summaries = []
        for _ in range(min(count, len(domains))):
            self._summary_turn += 1
            domain = domains[self._summary_turn % len(domains)]
            age_s = self._targets.confirmed_age_s(domain, now_s)
            digest = combine_digests(self._digests.digests(domain))
            summaries.append(Summary(domain, min(age_s, max_age_s), digest))
        return tuple(summaries)

    def check(self, summary: Summary, now_s: float) -> Compare | None:
        """Check a peer's summary; return a comparison to send if the digests differ.

        At most one comparison per second is started for a domain.
        """
        domain = summary.failure_domain
        digests = self._digests.digests(domain)
        if combine_digests(digests) == summary.digests:
            self._confirm(domain, list(range(BUCKETS)), summary.age_s, now_s)
            return None
        if now_s - self._last_compared_s.get(domain, float("-inf")) < 1.0:
            return None
        self._last_compared_s[domain] = now_s
        return Compare(Summary(domain, self._targets.confirmed_age_s(domain, now_s), digests))

    def sketch(self, compare: Compare, now_s: float) -> Sketch | None:
        """Return the members in buckets that differ, as the reply to a comparison."""
        summary = compare.summary
        domain = summary.failure_domain
        differing = self._digests.differing(domain, summary.digests)
        matching = [bucket for bucket in range(BUCKETS) if bucket not in differing]
        if len(summary.digests) == BUCKETS * _KEY_BYTES:
            self._confirm(domain, matching, summary.age_s, now_s)
        self._random.shuffle(differing)
        buckets: list[int] = []
        entries: list[tuple[int, int]] = []
        for bucket in differing:
            members = self._digests.bucket(domain, bucket)
            if buckets and (len(entries) + len(members)) * _ENTRY_BYTES > self._updates_bytes:
                break
            buckets.append(bucket)
            entries += [(key, member.version) for key, member in members.items()]
        if not buckets:
            return None
        limit = self._updates_bytes // _ENTRY_BYTES
        return Sketch(domain, bytes(buckets), pack_entries(entries[:limit]))

    def reconcile(self, sketch: Sketch, now_s: float) -> News | None:
        """Return the records that the peer of a sketch lacks, and the keys missing here."""
        peer_versions = unpack_entries(sketch.entries)
        own_members: dict[int, Member] = {}
        for bucket in sketch.buckets:
            own_members.update(self._digests.bucket(sketch.failure_domain, bucket))
        items = []
        for key, member in own_members.items():
            if peer_versions.get(key) != member.version:
                items.append(self._record(member, now_s))
        missing = []
        for key in peer_versions:
            if key in own_members:
                continue
            departure = self._departure_record(key, sketch.failure_domain, now_s)
            if departure is not None:
                items.append(departure)
            elif self._digests.member(key) is None:
                missing.append(key)
        return self._fit_updates(items, missing)

    def _departure_record(self, key: int, failure_domain: str, now_s: float) -> Item | None:
        """Return the record that proves that the router or target of a key is gone.

        A lease that expired in the local domain proves nothing to a peer that still has
        the target: the peer may have received a renewal that was lost here.
        """
        tombstone = self._targets.tombstones.by_key(key, now_s)
        if tombstone is None:
            return self._routers.gone_by_key(key)
        is_local = failure_domain == self._routers.own_record.failure_domain
        return None if is_local and tombstone.reason == GoneReason.LAPSED else tombstone

    def records(self, wanted: bytes, now_s: float) -> News | None:
        """Return the requested records, as the reply to a list of keys."""
        members = [self._digests.member(key) for key in unpack_keys(wanted)]
        return self._fit_updates([self._record(member, now_s) for member in members if member], [])

    def _fit_updates(self, items: list[Item | None], wanted: list[int]) -> News | None:
        """Return a message with as many items and requested keys as fit."""
        self._random.shuffle(items)
        wanted = wanted[:_WANTED_LIMIT]
        headroom_bytes = unpacked_bytes(self._updates_bytes - len(wanted) * _KEY_BYTES)
        fitting: list[Item] = []
        for item in items:
            size_bytes = estimate_bytes(item)
            if item is None or (size_bytes > headroom_bytes and fitting):
                continue
            headroom_bytes -= size_bytes
            fitting.append(item)
        if not fitting and not wanted:
            return None
        return group_updates(fitting)._replace(wanted=pack_keys(wanted), repair=True)

    def _record(self, member: Member, now_s: float) -> Item | None:
        """Return the record of a member."""
        if member.is_router:
            return self._routers.get(member.name)
        return self._targets.record(member.name, now_s)

    def _confirm(self, domain: str, buckets: list[int], age_s: float, now_s: float) -> None:
        """Renew the targets in some buckets of a domain, unless it is the local one."""
        if domain != self._routers.own_record.failure_domain:
            self._targets.confirm_buckets(domain, buckets, age_s, now_s)
