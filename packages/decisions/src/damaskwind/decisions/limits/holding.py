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

__all__ = ["AccountHolding"]

LONGEST_RETRY_AFTER_S = 60.0
SHORT_RENEWALS = 1.5
HOPELESS_S = 1.0
URGENT_GAP_S = 0.05
LONGEST_GAP_S = 3.2
SHORTEST_WAIT_S = 0.01
_FLOOR = ""


class _Held(NamedTuple):
    """A lease as it was applied."""

    units: int
    tokens_per_s: int
    until_s: float
    allocator_id: str
    sequence: int


def _amount(share: _Held | AccountGrant) -> int:
    """Return what a share is made of; 0 when it is empty."""
    return share.units + share.tokens_per_s


class AccountHolding:
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
        self._held: dict[str, _Held] = {}
        self._used: dict[str, int] = {}
        self._asked: dict[str, AccountDemand] = {}
        self._short_until_s: dict[str, float] = {}
        self._hopeless_until_s: dict[str, float] = {}
        self._open: set[str] = set()
        self._reachable: frozenset[str] | None = None

    def set_limit(
        self, limit: AccountLimit, slices: Mapping[str, AccountLimit], floor: AccountLimit
    ) -> None:
        """Follow a confirmed limit."""
        self._limit = limit
        self._slices = {name: one for name, one in slices.items() if any(one)}
        self._floor = floor
        others = [name for name in self._slices if name != self.domain]
        self._order = [self.domain, *others]

    def units(self, now_s: float) -> int:
        """Return how many requests may be in hand."""
        leased = sum(held.units for held in self._held.values() if held.until_s > now_s)
        return self._floor.max_concurrent_requests + leased

    def tokens_per_s(self, now_s: float) -> int:
        """Return the token rate that may be used."""
        leased = sum(held.tokens_per_s for held in self._held.values() if held.until_s > now_s)
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
            most_over = max(used, key=lambda name: self._over(name, now_s))
            self._used[most_over] -= 1

    def is_over_share(self, now_s: float) -> bool:
        """Tell whether more is in hand than a share that shrank meanwhile."""
        return any(self._over(name, now_s) > 0 for name, used in self._used.items() if used)

    def is_idle(self, now_s: float) -> bool:
        """Tell whether nothing is in hand or wanted, and every allocator knows it."""
        if self.demand.in_use or any(not self._is_forgotten(name, now_s) for name in self._open):
            return False
        return self._wanted(now_s) == (0, 0)

    def is_hopeless(self, now_s: float) -> bool:
        """Tell whether no grant that may come soon would let a request in."""
        if self._free_source(now_s) is None:
            return self._is_short(now_s)
        rate = self.tokens_per_s(now_s)
        wait_s = self._bucket.wait_s(rate, now_s)
        if wait_s is not None and wait_s <= self.policy.wait_s:
            return False
        return self._is_short(now_s) or rate >= int(self._limit.max_tokens_per_s)

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
        self._reachable = frozenset(name for name, some in routers.items() if some)
        units, rate = self._wanted(now_s)
        may_ask = True
        for domain in self._order:
            held = self._live(domain, now_s)
            if domain in self._reachable and domain in self._slices:
                has_news = domain in self._open or self._used.get(domain)
                if has_news or (may_ask and (units or rate)):
                    self._open.add(domain)
                    self._asked[domain] = self._demand(account, domain, units, rate, now_s)
                    yield domain, self._asked[domain]
                may_ask = may_ask and self._short_until_s.get(domain, 0.0) > now_s
            if held:
                units = max(0, units - held.units)
                rate = max(0, rate - held.tokens_per_s)

    def take(self, grant: ShareGrant, item: AccountGrant, until_s: float, now_s: float) -> bool:
        """Apply a grant unless a newer one was; tell whether to report again soon.

        That is so when the share shrank and others wait for what is free now, and
        when a slice turns out to be used up, for the next one is asked then.
        """
        domain = grant.slice_domain
        before = self._held.get(domain)
        if before is not None and before.sequence >= grant.report_sequence:
            return False
        self._bucket.fill(self.tokens_per_s(now_s), now_s)
        if before is not None and not (_amount(before) or _amount(item)):
            self._open.discard(domain)
        self._held[domain] = _Held(
            item.units, item.tokens_per_s, until_s, grant.allocator_id, grant.report_sequence
        )
        shrank = item.confirm and before is not None and item.units < before.units
        asked = self._asked.get(domain)
        is_short = asked is not None and item.units < asked.wanted
        self.urgent_gap_s = min(2 * self.urgent_gap_s, LONGEST_GAP_S) if is_short else URGENT_GAP_S
        was_short = self._short_until_s.get(domain, 0.0) > now_s
        if asked and item.more_soon and item.units < asked.wanted:
            return True
        if asked and (item.units < asked.wanted or item.tokens_per_s < asked.wanted_tokens_per_s):
            self._short_until_s[domain] = now_s + SHORT_RENEWALS * self.policy.renew_s
            self._hopeless_until_s[domain] = now_s + HOPELESS_S
            return shrank or not was_short
        self._short_until_s.pop(domain, None)
        self._hopeless_until_s.pop(domain, None)
        return shrank

    def _is_forgotten(self, domain: str, now_s: float) -> bool:
        """Tell whether an allocator that could not be told has let go by itself."""
        held = self._held.get(domain)
        asked_s = held.until_s if held else self.reported_s + self.policy.lease_s
        return now_s >= asked_s + self.policy.linger_s

    def _live(self, domain: str, now_s: float) -> _Held | None:
        """Return the lease from a domain's slice if it holds anything now."""
        held = self._held.get(domain)
        if held is None or held.until_s <= now_s or not (held.units or held.tokens_per_s):
            return None
        return held

    def _units_from(self, source: str, now_s: float) -> int:
        """Return the units of one slice's lease, or of the floor."""
        if source == _FLOOR:
            return self._floor.max_concurrent_requests
        held = self._held.get(source)
        return held.units if held is not None and held.until_s > now_s else 0

    def _over(self, source: str, now_s: float) -> int:
        """Return by how much the use of a source exceeds it; negative when it is free."""
        return self._used.get(source, 0) - self._units_from(source, now_s)

    def _free_source(self, now_s: float) -> str | None:
        """Return the floor or the first slice with a free unit."""
        if self._used.get(_FLOOR, 0) < self._floor.max_concurrent_requests:
            return _FLOOR
        for name in self._order:
            held = self._held.get(name)
            if held is not None and held.until_s > now_s and self._used.get(name, 0) < held.units:
                return name
        return None

    def _is_short(self, now_s: float) -> bool:
        """Tell whether every slice in reach said just now that it has no more."""
        domains = set(self._slices)
        if self._reachable is not None:
            domains &= self._reachable
        return all(self._hopeless_until_s.get(name, 0.0) > now_s for name in domains)

    def _wanted(self, now_s: float) -> tuple[int, int]:
        """Return the units and the rate wanted beyond the floor."""
        units = min(self.demand.wanted(now_s), self._limit.max_concurrent_requests)
        rate = self.demand.wanted_tokens_per_s(now_s)
        if units or rate:
            rate = max(1, rate, self._rate_for_debt(now_s))
        if self._floor_gives_rate(now_s):
            rate = 0
        rate = min(rate, int(self._limit.max_tokens_per_s))
        floor = self._floor
        return (
            max(0, units - floor.max_concurrent_requests),
            max(0, rate - int(floor.max_tokens_per_s)),
        )

    def _floor_gives_rate(self, now_s: float) -> bool:
        """Tell whether the rate of the floor does, so that none need be asked for."""
        if self.demand.unmet(now_s):
            return False
        needed = max(self.demand.needed_tokens_per_s(now_s), self._rate_for_debt(now_s))
        return needed < int(self._floor.max_tokens_per_s)

    def _rate_for_debt(self, now_s: float) -> int:
        """Return the rate that pays the debt off, in time for those who wait if any do."""
        within_s = self.policy.wait_s / 2 if self.demand.unmet(now_s) else self.policy.idle_s
        return int(self._bucket.debt() / within_s)

    def _demand(
        self, account: str, domain: str, units: int, rate: int, now_s: float
    ) -> AccountDemand:
        """Say what is wanted of one slice, and what is used and held of it."""
        used = self._used.get(domain, 0)
        held = self._held.get(domain)
        if held is None:
            return AccountDemand(account, used, units, rate)
        remaining_ms = max(0, int((held.until_s - now_s) * 1000))
        return AccountDemand(
            account,
            used,
            units,
            rate,
            held.units if remaining_ms else 0,
            held.tokens_per_s if remaining_ms else 0,
            remaining_ms,
            held.allocator_id,
            held.sequence,
        )
