"""What one router holds of one account: its leases, its use, its token bucket."""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from damaskwind.decisions.limits.demand import Demand
from damaskwind.decisions.limits.messages import (
    AccountDemand,
    AccountGrant,
    AccountLimit,
    LimitPolicy,
    ShareGrant,
)
from damaskwind.decisions.limits.token_bucket import TokenBucket

__all__ = ["AccountLeases"]

LONGEST_RETRY_AFTER_S = 60.0
EXHAUSTED_RENEWALS = 1.5
RECENTLY_EXHAUSTED_S = 1.0
URGENT_GAP_S = 0.05
LONGEST_GAP_S = 3.2
SHORTEST_WAIT_S = 0.01
_FLOOR = ""


class _AppliedLease(NamedTuple):
    """A lease as it was applied."""

    units: int
    tokens_per_s: int
    until_s: float
    allocator_id: str
    sequence: int


def _total_amount(share: _AppliedLease | AccountGrant) -> int:
    """Return what a share is made of; 0 when it is empty."""
    return share.units + share.tokens_per_s


class AccountLeases:
    """One account at one router.

    Shares come from the slice of the router's own failure domain first. What is
    missing there is asked of the other domains' slices, in the order of `slices`.
    Each request in hand counts against one slice, or against the floor, so that a
    share that shrinks is known to be in use until it is not.
    """

    def __init__(self, domain: str, policy: LimitPolicy) -> None:
        self.domain = domain
        self.policy = policy
        self.demand = Demand(policy.idle_s)
        self.reported_s = float("-inf")
        self.urgent_gap_s = URGENT_GAP_S
        self._bucket = TokenBucket(policy.burst_s, policy.credit_s)
        self._leases: dict[str, _AppliedLease] = {}
        self._used: dict[str, int] = {}
        self._last_demands: dict[str, AccountDemand] = {}
        self._exhausted_until_s: dict[str, float] = {}
        self._recently_exhausted_until_s: dict[str, float] = {}
        self._active_domains: set[str] = set()
        self._reachable: frozenset[str] | None = None

    def set_limit(
        self, limit: AccountLimit, slices: Mapping[str, AccountLimit], floor: AccountLimit
    ) -> None:
        """Follow a confirmed limit."""
        self._limit = limit
        self._slices = {
            name: domain_slice for name, domain_slice in slices.items() if any(domain_slice)
        }
        self._floor = floor
        others = [name for name in self._slices if name != self.domain]
        self._domain_order = [self.domain, *others]

    def units(self, now_s: float) -> int:
        """Return how many requests may be in hand."""
        leased = sum(lease.units for lease in self._leases.values() if lease.until_s > now_s)
        return self._floor.max_concurrent_requests + leased

    def tokens_per_s(self, now_s: float) -> int:
        """Return the token rate that may be used."""
        leased = sum(lease.tokens_per_s for lease in self._leases.values() if lease.until_s > now_s)
        return int(self._floor.max_tokens_per_s) + leased

    def try_admit(self, tokens: int, now_s: float) -> bool:
        """Let a request in if a unit is free and the bucket's debt within its credit."""
        source = self._free_source(now_s)
        if source is None or self._bucket.wait_s(self.tokens_per_s(now_s), now_s) != 0.0:
            return False
        self._bucket.take(tokens, now_s)
        self._used[source] = self._used.get(source, 0) + 1
        self.demand.change_in_use(1, now_s)
        return True

    def release(self, refund_tokens: int, now_s: float) -> None:
        """Note a request's end; what it did not use is given back."""
        self._bucket.fill(self.tokens_per_s(now_s), now_s)
        self._bucket.take(-refund_tokens, now_s)
        self.demand.change_in_use(-1, now_s)
        used = [name for name, count in self._used.items() if count]
        if used:
            most_exceeded = max(used, key=lambda name: self._excess(name, now_s))
            self._used[most_exceeded] -= 1

    def is_over_share(self, now_s: float) -> bool:
        """Tell whether more is in hand than a share that shrank meanwhile."""
        return any(self._excess(name, now_s) > 0 for name, used in self._used.items() if used)

    def is_idle(self, now_s: float) -> bool:
        """Tell whether nothing is in hand or wanted, and every allocator knows it."""
        if self.demand.in_use or any(
            not self._has_booking_expired(name, now_s) for name in self._active_domains
        ):
            return False
        return self._wanted(now_s) == (0, 0)

    def cannot_admit_soon(self, now_s: float) -> bool:
        """Tell whether no grant that may come soon would let a request in."""
        if self._free_source(now_s) is None:
            return self._is_exhausted(now_s)
        rate = self.tokens_per_s(now_s)
        wait_s = self._bucket.wait_s(rate, now_s)
        if wait_s is not None and wait_s <= self.policy.wait_s:
            return False
        return self._is_exhausted(now_s) or rate >= int(self._limit.max_tokens_per_s)

    def retry_after_s(self, now_s: float) -> float:
        """Return when a refused caller may come back."""
        wait_s = self._bucket.wait_s(self.tokens_per_s(now_s), now_s) or 0.0
        return min(LONGEST_RETRY_AFTER_S, max(self.policy.retry_after_s, wait_s))

    def debt_wait_s(self, now_s: float) -> float:
        """Return when the bucket may let a request in, if only it is in the way."""
        if self._free_source(now_s) is None:
            return self.policy.wait_s
        wait_s = self._bucket.wait_s(self.tokens_per_s(now_s), now_s)
        return self.policy.wait_s if wait_s is None else max(wait_s, SHORTEST_WAIT_S)

    def demands(
        self, account: str, now_s: float, routers: Mapping[str, Sequence[str]]
    ) -> Iterator[tuple[str, AccountDemand]]:
        """Yield what to ask of each domain's slice.

        A further domain is asked once all before it, as far as they can be
        reached, have said that they have no more.
        """
        self._reachable = frozenset(name for name, live_routers in routers.items() if live_routers)
        units, rate = self._wanted(now_s)
        may_request = True
        for domain in self._domain_order:
            lease = self._live_lease(domain, now_s)
            if domain in self._reachable and domain in self._slices:
                must_report = domain in self._active_domains or self._used.get(domain)
                if must_report or (may_request and (units or rate)):
                    self._active_domains.add(domain)
                    self._last_demands[domain] = self._make_demand(
                        account, domain, units, rate, now_s
                    )
                    yield domain, self._last_demands[domain]
                may_request = may_request and self._exhausted_until_s.get(domain, 0.0) > now_s
            if lease:
                units = max(0, units - lease.units)
                rate = max(0, rate - lease.tokens_per_s)

    def apply(self, grant: ShareGrant, item: AccountGrant, until_s: float, now_s: float) -> bool:
        """Apply a grant unless a newer one was; tell whether to report again soon.

        That is so when the share shrank and others wait for what is free now, and
        when a slice turns out to be used up, for the next one is asked then.
        """
        domain = grant.slice_domain
        previous = self._leases.get(domain)
        if previous is not None and previous.sequence >= grant.report_sequence:
            return False
        self._bucket.fill(self.tokens_per_s(now_s), now_s)
        if previous is not None and not (_total_amount(previous) or _total_amount(item)):
            self._active_domains.discard(domain)
        self._leases[domain] = _AppliedLease(
            item.units, item.tokens_per_s, until_s, grant.allocator_id, grant.report_sequence
        )
        shrank = item.confirm and previous is not None and item.units < previous.units
        last_demand = self._last_demands.get(domain)
        lacks_units = last_demand is not None and item.units < last_demand.wanted
        self.urgent_gap_s = (
            min(2 * self.urgent_gap_s, LONGEST_GAP_S) if lacks_units else URGENT_GAP_S
        )
        was_exhausted = self._exhausted_until_s.get(domain, 0.0) > now_s
        if last_demand and item.recall_pending and item.units < last_demand.wanted:
            return True
        if last_demand and (
            item.units < last_demand.wanted or item.tokens_per_s < last_demand.wanted_tokens_per_s
        ):
            self._exhausted_until_s[domain] = now_s + EXHAUSTED_RENEWALS * self.policy.renew_s
            self._recently_exhausted_until_s[domain] = now_s + RECENTLY_EXHAUSTED_S
            return shrank or not was_exhausted
        self._exhausted_until_s.pop(domain, None)
        self._recently_exhausted_until_s.pop(domain, None)
        return shrank

    def _has_booking_expired(self, domain: str, now_s: float) -> bool:
        """Tell whether an allocator that could not be told has let go by itself."""
        lease = self._leases.get(domain)
        valid_until_s = lease.until_s if lease else self.reported_s + self.policy.lease_s
        return now_s >= valid_until_s + self.policy.linger_s

    def _live_lease(self, domain: str, now_s: float) -> _AppliedLease | None:
        """Return the lease from a domain's slice if it holds anything now."""
        lease = self._leases.get(domain)
        if lease is None or lease.until_s <= now_s or not (lease.units or lease.tokens_per_s):
            return None
        return lease

    def _units_from(self, source: str, now_s: float) -> int:
        """Return the units of one slice's lease, or of the floor."""
        if source == _FLOOR:
            return self._floor.max_concurrent_requests
        lease = self._leases.get(source)
        return lease.units if lease is not None and lease.until_s > now_s else 0

    def _excess(self, source: str, now_s: float) -> int:
        """Return by how much the use of a source exceeds it; negative when it is free."""
        return self._used.get(source, 0) - self._units_from(source, now_s)

    def _free_source(self, now_s: float) -> str | None:
        """Return the floor or the first slice with a free unit."""
        if self._used.get(_FLOOR, 0) < self._floor.max_concurrent_requests:
            return _FLOOR
        for name in self._domain_order:
            lease = self._leases.get(name)
            if (
                lease is not None
                and lease.until_s > now_s
                and self._used.get(name, 0) < lease.units
            ):
                return name
        return None

    def _is_exhausted(self, now_s: float) -> bool:
        """Tell whether every slice in reach said just now that it has no more."""
        domains = set(self._slices)
        if self._reachable is not None:
            domains &= self._reachable
        return all(self._recently_exhausted_until_s.get(name, 0.0) > now_s for name in domains)

    def _wanted(self, now_s: float) -> tuple[int, int]:
        """Return the units and the rate wanted beyond the floor."""
        units = min(self.demand.wanted(now_s), self._limit.max_concurrent_requests)
        rate = self.demand.wanted_tokens_per_s(now_s)
        if units or rate:
            rate = max(1, rate, self._rate_for_debt(now_s))
        if self._floor_covers_rate(now_s):
            rate = 0
        rate = min(rate, int(self._limit.max_tokens_per_s))
        floor = self._floor
        return (
            max(0, units - floor.max_concurrent_requests),
            max(0, rate - int(floor.max_tokens_per_s)),
        )

    def _floor_covers_rate(self, now_s: float) -> bool:
        """Tell whether the rate of the floor does, so that none need be asked for."""
        if self.demand.unmet(now_s):
            return False
        needed = max(self.demand.needed_tokens_per_s(now_s), self._rate_for_debt(now_s))
        return needed < int(self._floor.max_tokens_per_s)

    def _rate_for_debt(self, now_s: float) -> int:
        """Return the rate that pays the debt off, in time for those who wait if any do."""
        repay_s = self.policy.wait_s / 2 if self.demand.unmet(now_s) else self.policy.idle_s
        return int(self._bucket.debt() / repay_s)

    def _make_demand(
        self, account: str, domain: str, units: int, rate: int, now_s: float
    ) -> AccountDemand:
        """Say what is wanted of one slice, and what is used and held of it."""
        used = self._used.get(domain, 0)
        lease = self._leases.get(domain)
        if lease is None:
            return AccountDemand(account, used, units, rate)
        remaining_ms = max(0, int((lease.until_s - now_s) * 1000))
        return AccountDemand(
            account,
            used,
            units,
            rate,
            lease.units if remaining_ms else 0,
            lease.tokens_per_s if remaining_ms else 0,
            remaining_ms,
            lease.allocator_id,
            lease.sequence,
        )
