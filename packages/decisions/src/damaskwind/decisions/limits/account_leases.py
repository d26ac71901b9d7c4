"""The leases, the use and the token bucket of one account at one router."""

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
    """A lease from one slice, as this router applied it."""

    units: int
    tokens_per_s: int
    until_s: float
    allocator_id: str
    sequence: int


def _total_amount(share: _AppliedLease | AccountGrant) -> int:
    """Return units plus token rate of a share, which is 0 only if it is empty."""
    return share.units + share.tokens_per_s


class AccountLeases:
    """The leased shares and the use of one account at one router.

    Shares come first from the slice of the router's own failure domain. The remaining
    demand is requested from the slices of other domains, in the order of `slices`.
    Each request in progress counts against one slice or against the floor, the share
    that needs no lease, so that the use of a slice is known even after its share shrank.
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
        """Apply a confirmed limit, its division into slices and the floor."""
        self._limit = limit
        self._slices = {
            name: domain_slice for name, domain_slice in slices.items() if any(domain_slice)
        }
        self._floor = floor
        others = [name for name in self._slices if name != self.domain]
        self._domain_order = [self.domain, *others]

    def units(self, now_s: float) -> int:
        """Return how many requests may be in progress."""
        leased = sum(lease.units for lease in self._leases.values() if lease.until_s > now_s)
        return self._floor.max_concurrent_requests + leased

    def tokens_per_s(self, now_s: float) -> int:
        """Return the token rate that may be used, in tokens per second."""
        leased = sum(lease.tokens_per_s for lease in self._leases.values() if lease.until_s > now_s)
        return int(self._floor.max_tokens_per_s) + leased

    def try_admit(self, tokens: int, now_s: float) -> bool:
        """Admit a request if a unit is free and the bucket's debt is within its credit."""
        source = self._free_source(now_s)
        if source is None or self._bucket.wait_s(self.tokens_per_s(now_s), now_s) != 0.0:
            return False
        self._bucket.take(tokens, now_s)
        self._used[source] = self._used.get(source, 0) + 1
        self.demand.change_in_use(1, now_s)
        return True

    def release(self, refund_tokens: int, now_s: float) -> None:
        """Record the end of a request and refund the tokens that it did not use."""
        self._bucket.fill(self.tokens_per_s(now_s), now_s)
        self._bucket.take(-refund_tokens, now_s)
        self.demand.change_in_use(-1, now_s)
        used = [name for name, count in self._used.items() if count]
        if used:
            most_exceeded = max(used, key=lambda name: self._excess(name, now_s))
            self._used[most_exceeded] -= 1

    def is_over_share(self, now_s: float) -> bool:
        """Return whether the use of a slice exceeds its share, which may have shrunk."""
        return any(self._excess(name, now_s) > 0 for name, used in self._used.items() if used)

    def is_idle(self, now_s: float) -> bool:
        """Return whether there is no use or demand, and no allocator has a booking for it."""
        if self.demand.in_use or any(
            not self._has_booking_expired(name, now_s) for name in self._active_domains
        ):
            return False
        return self._wanted(now_s) == (0, 0)

    def cannot_admit_soon(self, now_s: float) -> bool:
        """Return whether no grant that may arrive soon would admit a request."""
        if self._free_source(now_s) is None:
            return self._is_exhausted(now_s)
        rate = self.tokens_per_s(now_s)
        wait_s = self._bucket.wait_s(rate, now_s)
        if wait_s is not None and wait_s <= self.policy.wait_s:
            return False
        return self._is_exhausted(now_s) or rate >= int(self._limit.max_tokens_per_s)

    def retry_after_s(self, now_s: float) -> float:
        """Return after how many seconds a refused caller may retry."""
        wait_s = self._bucket.wait_s(self.tokens_per_s(now_s), now_s) or 0.0
        return min(LONGEST_RETRY_AFTER_S, max(self.policy.retry_after_s, wait_s))

    def debt_wait_s(self, now_s: float) -> float:
        """Return how long the token debt delays a request; `policy.wait_s` without a free unit."""
        if self._free_source(now_s) is None:
            return self.policy.wait_s
        wait_s = self._bucket.wait_s(self.tokens_per_s(now_s), now_s)
        return self.policy.wait_s if wait_s is None else max(wait_s, SHORTEST_WAIT_S)

    def demands(
        self, account: str, now_s: float, routers: Mapping[str, Sequence[str]]
    ) -> Iterator[tuple[str, AccountDemand]]:
        """Yield the demand to report to the allocator of each domain's slice.

        A domain is asked for units only after the allocators of all reachable domains
        before it have reported that their slices are exhausted.
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
        """Apply a grant unless a newer one was applied; return whether to report soon.

        Report soon if the share shrank and other routers wait for the freed units, if
        a recall is pending, or if the slice turns out to be exhausted, since the next
        domain is asked then.
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
        """Return whether an allocator's booking has expired, even if no report reached it."""
        lease = self._leases.get(domain)
        valid_until_s = lease.until_s if lease else self.reported_s + self.policy.lease_s
        return now_s >= valid_until_s + self.policy.linger_s

    def _live_lease(self, domain: str, now_s: float) -> _AppliedLease | None:
        """Return the lease from a domain's slice, or `None` if it is expired or empty."""
        lease = self._leases.get(domain)
        if lease is None or lease.until_s <= now_s or not (lease.units or lease.tokens_per_s):
            return None
        return lease

    def _units_from(self, source: str, now_s: float) -> int:
        """Return the units of one slice's current lease, or of the floor."""
        if source == _FLOOR:
            return self._floor.max_concurrent_requests
        lease = self._leases.get(source)
        return lease.units if lease is not None and lease.until_s > now_s else 0

    def _excess(self, source: str, now_s: float) -> int:
        """Return the use of a source minus its units; negative if units are free."""
        return self._used.get(source, 0) - self._units_from(source, now_s)

    def _free_source(self, now_s: float) -> str | None:
        """Return the floor or the first slice with a free unit, or `None`."""
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
        """Return whether every reachable slice was recently reported as exhausted."""
        domains = set(self._slices)
        if self._reachable is not None:
            domains &= self._reachable
        return all(self._recently_exhausted_until_s.get(name, 0.0) > now_s for name in domains)

    def _wanted(self, now_s: float) -> tuple[int, int]:
        """Return the units and the token rate needed beyond the floor."""
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
        """Return whether the floor's rate suffices, so that no lease on a rate is needed."""
        if self.demand.unmet(now_s):
            return False
        needed = max(self.demand.needed_tokens_per_s(now_s), self._rate_for_debt(now_s))
        return needed < int(self._floor.max_tokens_per_s)

    def _rate_for_debt(self, now_s: float) -> int:
        """Return the rate that repays the debt, sooner if requests are waiting."""
        repay_s = self.policy.wait_s / 2 if self.demand.unmet(now_s) else self.policy.idle_s
        return int(self._bucket.debt() / repay_s)

    def _make_demand(
        self, account: str, domain: str, units: int, rate: int, now_s: float
    ) -> AccountDemand:
        """Return the demand for one slice, with its current use and lease."""
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
