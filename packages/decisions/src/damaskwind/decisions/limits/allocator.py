"""Lease shares of accounts' slices to routers; runs on a router of the domain.

Leases in the sense of "Leases: An Efficient Fault-Tolerant Mechanism for
Distributed File Cache Consistency" (Gray and Cheriton, SOSP 1989): a share that
is not renewed returns to the allocator when it expires. The allocator books for each
router the largest share that it may be using, whichever of its grants were lost: a
smaller grant frees units only when the router reports that it applied it, or when the
larger one has expired. The sum of all bookings never exceeds the slice.
"""

from collections.abc import Collection, Mapping, Sequence

from damaskwind.decisions.limits.fair_share import fair_shares
from damaskwind.decisions.limits.limit_changes import LimitChanges
from damaskwind.decisions.limits.messages import (
    AccountDemand,
    AccountGrant,
    AccountLimit,
    DemandReport,
    LimitPolicy,
    ShareGrant,
)
from damaskwind.decisions.limits.slices import divide_limit, floor_of

__all__ = ["ShareAllocator"]

LEASES_PER_ROUND = 4
RECALL_PENDING_S = 0.25
RECALL_GAP_S = 0.5
MAX_RECALLS_AT_ONCE = 2
RECALL_MAX_USE_SHARE = 0.75
ACCOUNT_RECALL_GAP_S = 0.5


class _Lease:
    """A grant that its router may use until `until_s`.

    Requests admitted under it may continue to run, so its units stay booked until
    `linger_until_s`.
    """

    __slots__ = ("linger_until_s", "sequence", "tokens_per_s", "units", "until_s")

    def __init__(
        self, sequence: int, units: int, tokens_per_s: int, until_s: float, linger_until_s: float
    ) -> None:
        self.sequence = sequence
        self.units = units
        self.tokens_per_s = tokens_per_s
        self.until_s = until_s
        self.linger_until_s = linger_until_s


class _Share:
    """The leases of one account at one router, and its last reported demand."""

    def __init__(self) -> None:
        self.leases: list[_Lease] = []
        self.sequence = -1
        self.in_use = 0
        self.wanted = 0
        self.wanted_tokens_per_s = 0
        self.until_s = 0.0
        self.linger_until_s = 0.0
        self.is_same_domain = False
        self.recalled_s = float("-inf")

    def stop_lingering(self) -> None:
        """End the bookings with the leases, since the requests of a dead router ended."""
        self.linger_until_s = self.until_s
        for lease in self.leases:
            lease.linger_until_s = lease.until_s

    def drop_expired(self, now_s: float) -> None:
        """Drop expired leases, and the reported demand once it is too old."""
        self.leases = [lease for lease in self.leases if lease.linger_until_s > now_s]
        for lease in self.leases:
            if lease.until_s <= now_s:
                lease.tokens_per_s = 0
        if now_s >= self.until_s:
            self.wanted = self.wanted_tokens_per_s = 0
        if now_s >= self.linger_until_s:
            self.in_use = 0

    def drop_replaced(self, applied_sequence: int) -> None:
        """Drop leases older than the one that the router reported as applied."""
        self.leases = [lease for lease in self.leases if lease.sequence >= applied_sequence]

    def units(self) -> int:
        """Return the most units that the router may be using."""
        return max(self.in_use, max((lease.units for lease in self.leases), default=0))

    def tokens_per_s(self) -> int:
        """Return the highest rate that the router may be using."""
        return max((lease.tokens_per_s for lease in self.leases), default=0)


class _AccountShares:
    """The shares of one account, and until when there may be leases not yet reported."""

    def __init__(self, learning_until_s: float) -> None:
        self.shares: dict[str, _Share] = {}
        self.learning_until_s = learning_until_s
        self.recalled_s = float("-inf")

    def drop_expired(self, now_s: float) -> None:
        """Remove expired leases, and routers that have neither leases nor demand."""
        for router_id, share in list(self.shares.items()):
            share.drop_expired(now_s)
            if not share.leases and not share.in_use and now_s >= share.until_s:
                del self.shares[router_id]

    def has_unmet_others(self, share: _Share) -> bool:
        """Return whether another router asked for more than it has."""
        return any(
            other.wanted > other.units() or other.wanted_tokens_per_s > other.tokens_per_s()
            for other in self.shares.values()
            if other is not share
        )


class ShareAllocator:
    """Allocate one failure domain's slices of the accounts that routers report.

    A new allocator does not know what its predecessor leased. For the duration of one
    lease it only renews leases that routers report and grants nothing beyond them.
    With `is_alone` there is no other router, so this learning phase is skipped.
    """

    def __init__(
        self,
        router_id: str,
        domain: str,
        policy: LimitPolicy,
        now_s: float,
        is_alone: bool = False,
    ) -> None:
        self.router_id = router_id
        self.domain = domain
        self.policy = policy
        self._learning_until_s = now_s if is_alone else now_s + policy.lease_s
        self._changes = LimitChanges()
        self._slices: dict[str, AccountLimit] = {}
        self._accounts: dict[str, _AccountShares] = {}
        self._recalls: list[tuple[str, ShareGrant]] = []

    def set_limits(self, limits: Mapping[str, AccountLimit], domains: Sequence[str]) -> None:
        """Apply the confirmed limits; `domains` must be the same on all routers."""
        for account in self._slices.keys() - limits.keys():
            del self._slices[account]
            self._accounts.pop(account, None)
        for account, limit in self._changes.update(limits, domains):
            own_slice = divide_limit(account, limit, domains)[self.domain]
            floor = floor_of(own_slice, self.policy)
            floor_routers = self.policy.floor_routers
            self._slices[account] = AccountLimit(
                own_slice.max_concurrent_requests - floor_routers * floor.max_concurrent_requests,
                own_slice.max_tokens_per_s - floor_routers * floor.max_tokens_per_s,
            )

    def set_routers(self, alive: Collection[str]) -> None:
        """Update the set of live routers of this domain.

        The units of a router that died are freed when its leases expire. A router of
        another domain may only be partitioned off, so its units linger.
        """
        for account in self._accounts.values():
            for router_id, share in account.shares.items():
                if share.is_same_domain and router_id not in alive:
                    share.stop_lingering()

    def booked(self, account: str, now_s: float) -> AccountLimit:
        """Return the most that all routers together may be using of an account's slice."""
        shares_of_account = self._accounts.get(account)
        if shares_of_account is None:
            return AccountLimit(0, 0)
        shares_of_account.drop_expired(now_s)
        shares = shares_of_account.shares.values()
        return AccountLimit(
            sum(share.units() for share in shares),
            sum(share.tokens_per_s() for share in shares),
        )

    def handle_report(self, report: DemandReport, now_s: float) -> ShareGrant | None:
        """Return the grant for a report, or `None` if the report is for another domain."""
        if report.slice_domain != self.domain:
            return None
        grants = tuple(
            self._grant(report, demand, now_s)
            for demand in report.demands
            if demand.account in self._slices and self._is_newer(report, demand.account)
        )
        lease_ms = int(self.policy.lease_s * 1000)
        return ShareGrant(self.router_id, self.domain, report.sequence, lease_ms, grants)

    def _is_newer(self, report: DemandReport, name: str) -> bool:
        """Return whether a report is newer than all before; a stale one could lower the use."""
        account = self._accounts.get(name)
        share = account.shares.get(report.router_id) if account else None
        return share is None or report.sequence > share.sequence

    def _grant(self, report: DemandReport, demand: AccountDemand, now_s: float) -> AccountGrant:
        """Decide one account's share for one router and book it."""
        account = self._accounts.setdefault(demand.account, _AccountShares(self._learning_until_s))
        account.drop_expired(now_s)
        share = account.shares.setdefault(report.router_id, _Share())
        self._adopt(account, share, demand, now_s)
        share.drop_replaced(demand.applied_sequence)
        share.sequence = report.sequence
        share.in_use = demand.in_use
        share.wanted = demand.wanted
        share.wanted_tokens_per_s = demand.wanted_tokens_per_s
        units = self._units(account, report.router_id, demand.account, now_s)
        tokens_per_s = self._tokens_per_s(account, report.router_id, demand.account, now_s)
        share.is_same_domain = report.router_domain == self.domain
        share.until_s = now_s + self.policy.lease_s
        share.linger_until_s = share.until_s + self.policy.linger_s
        lease = _Lease(report.sequence, units, tokens_per_s, share.until_s, share.linger_until_s)
        share.leases.append(lease)
        missing_units = 0 if now_s < account.learning_until_s else demand.wanted - units
        recall_pending = missing_units > 0 and self._recall(
            account, share, demand.account, missing_units, now_s
        )
        confirm = account.has_unmet_others(share)
        return AccountGrant(demand.account, units, tokens_per_s, confirm, recall_pending)

    def pop_recalls(self) -> list[tuple[str, ShareGrant]]:
        """Return and clear the recalls to send, each with the ID of its router."""
        recalls, self._recalls = self._recalls, []
        return recalls

    def _recall(
        self,
        account: _AccountShares,
        requester: _Share,
        name: str,
        missing_units: int,
        now_s: float,
    ) -> bool:
        """Recall units from routers with idle ones; return whether a recall is pending.

        The recalled routers report their current demand. Units are freed only when the
        router gives them up, so a lost recall only costs time. No router is asked
        if most of the slice is in use, since there is little to recover.
        """
        in_use = sum(share.in_use for share in account.shares.values())
        if in_use > RECALL_MAX_USE_SHARE * self._slices[name].max_concurrent_requests:
            return False
        spare = {
            router_id: share.units() - share.in_use
            for router_id, share in account.shares.items()
            if share is not requester and now_s < share.until_s and share.units() > share.in_use
        }
        is_pending = False
        recalled = 0
        limit = MAX_RECALLS_AT_ONCE if now_s - account.recalled_s >= ACCOUNT_RECALL_GAP_S else 0
        for router_id in sorted(spare, key=spare.__getitem__, reverse=True):
            share = account.shares[router_id]
            if now_s - share.recalled_s < RECALL_GAP_S:
                is_pending = is_pending or now_s - share.recalled_s < RECALL_PENDING_S
            elif missing_units > 0 and recalled < limit:
                share.recalled_s = account.recalled_s = now_s
                missing_units -= spare[router_id]
                recalled += 1
                grants = (AccountGrant(name, 0, 0),)
                recall = ShareGrant(self.router_id, self.domain, 0, 0, grants)
                self._recalls.append((router_id, recall))
        return is_pending or recalled > 0

    def _adopt(
        self, account: _AccountShares, share: _Share, demand: AccountDemand, now_s: float
    ) -> None:
        """Book a lease that another allocator granted to the reporting router.

        Such a lease implies that other routers may have more of them, so the learning
        phase is extended to its end.
        """
        remaining_s = demand.held_remaining_ms / 1000
        if demand.granted_by == self.router_id or remaining_s <= 0 or share.leases:
            return
        until_s = now_s + remaining_s
        account.learning_until_s = max(account.learning_until_s, until_s)
        others = [other for other in account.shares.values() if other is not share]
        limit = self._slices[demand.account]
        free = limit.max_concurrent_requests - sum(other.units() for other in others)
        free_tokens = limit.max_tokens_per_s - sum(other.tokens_per_s() for other in others)
        units = max(0, min(demand.held, free))
        tokens_per_s = max(0, min(demand.held_tokens_per_s, int(free_tokens)))
        lease = _Lease(demand.applied_sequence, units, tokens_per_s, until_s, until_s)
        share.leases.append(lease)

    def _round_key(self, now_s: float) -> str:
        """Return the key of the current order for units that can't be divided equally."""
        return str(int(now_s // (LEASES_PER_ROUND * self.policy.lease_s)))

    def _units(self, account: _AccountShares, router_id: str, name: str, now_s: float) -> int:
        """Return the number of units to grant to a router."""
        share = account.shares[router_id]
        total = self._slices[name].max_concurrent_requests
        booked = sum(other.units() for key, other in account.shares.items() if key != router_id)
        free = max(0, total - booked)
        if now_s < account.learning_until_s:
            held = max((lease.units for lease in share.leases), default=0)
            return min(share.wanted, held, free)
        wanted = {key: other.wanted for key, other in account.shares.items()}
        return min(self._fair_share(total, wanted, router_id, name + self._round_key(now_s)), free)

    def _tokens_per_s(
        self, account: _AccountShares, router_id: str, name: str, now_s: float
    ) -> int:
        """Return the token rate to grant to a router."""
        share = account.shares[router_id]
        total = int(self._slices[name].max_tokens_per_s)
        others = (other for key, other in account.shares.items() if key != router_id)
        free = max(0, total - sum(other.tokens_per_s() for other in others))
        if now_s < account.learning_until_s:
            return min(share.wanted_tokens_per_s, share.tokens_per_s(), free)
        wanted = {key: other.wanted_tokens_per_s for key, other in account.shares.items()}
        return min(self._fair_share(total, wanted, router_id, name + self._round_key(now_s)), free)

    def _fair_share(
        self, total: int, wanted: dict[str, int], router_id: str, round_key: str
    ) -> int:
        """Return a router's fair share, plus a part of the surplus if there is any.

        The extra units save reports; half of the surplus is kept for later requests.
        """
        fair = fair_shares(total, wanted, round_key)[router_id]
        if not wanted[router_id]:
            return 0
        return fair + max(0, total - sum(wanted.values())) // (2 * len(wanted))
