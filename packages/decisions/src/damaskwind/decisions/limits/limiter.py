"""Enforce account limits at one router, using the shares leased to it."""

from collections.abc import Mapping, Sequence

from damaskwind.decisions.limits.account_leases import AccountLeases
from damaskwind.decisions.limits.allocator_choice import AllocatorChoice
from damaskwind.decisions.limits.limit_changes import LimitChanges
from damaskwind.decisions.limits.messages import (
    AccountDemand,
    AccountLimit,
    DemandReport,
    LimitDecision,
    LimitOutcome,
    LimitPolicy,
    ShareGrant,
)
from damaskwind.decisions.limits.slices import divide_limit, floor_of
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict

__all__ = ["AccountLimiter", "AddressedReport"]

MAX_DEMANDS_PER_REPORT = 20
PENDING_RECALL_GAP_S = 0.1
MAX_TRACKED_REPORTS = 4096
MIN_RENEWAL_AGE_SHARE = 0.5
REPORT_RETRY_S = 0.5

AddressedReport = tuple[str, DemandReport]


class AccountLimiter:
    """Admit and release requests, create demand reports and apply grants.

    Every `AccountLimiter.admit` that returns `ADMITTED` must be followed by one
    `release`. Call `reports` at the time returned by `next_report_s` and send each
    report to the router it is addressed to, possibly this one. Reports and grants may
    be lost, duplicated or reordered. `first_sequence` must be above all sequence
    numbers used by an earlier run of this router, so that grants addressed to that run
    are ignored.
    """

    def __init__(
        self, router_id: str, domain: str, policy: LimitPolicy, first_sequence: int = 0
    ) -> None:
        self.router_id = router_id
        self.domain = domain
        self.policy = policy
        self._accounts: dict[str, AccountLeases] = {}
        self._due_s: dict[str, float] = {}
        self._allocators = AllocatorChoice()
        self._changes = LimitChanges()
        self._renewed_s: dict[str, float] = {}
        self._awaiting_grant: set[str] = set()
        self._sequence = first_sequence
        self._report_sent_s: dict[int, float] = {}

    def set_limits(self, limits: Mapping[str, AccountLimit], domains: Sequence[str]) -> None:
        """Apply the confirmed limits; `domains` must be the same on all routers."""
        self._allocators.set_accounts(limits)
        for account, limit in self._changes.update(limits, domains):
            slices = divide_limit(account, limit, domains)
            leases = self._accounts.get(account)
            if leases is None:
                leases = self._accounts[account] = AccountLeases(self.domain, self.policy)
            leases.set_limit(limit, slices, floor_of(slices[self.domain], self.policy))
        for account in [name for name in self._accounts if name not in limits]:
            del self._accounts[account]
            self._due_s.pop(account, None)
            self._awaiting_grant.discard(account)

    def admit(
        self, account: str, tokens: int, now_s: float, wait_until_s: float | None = None
    ) -> LimitDecision:
        """Admit a request, let it wait for a grant, or refuse it.

        `tokens` is its expected cost. Call this again for a waiting request, with the
        `wait_until_s` of the decision, when a grant has arrived or another request has
        ended, and at `retry_at_s` at the latest.
        """
        leases = self._accounts.get(account)
        if leases is None:
            return self._refuse("no such account", None)
        if wait_until_s is None:
            leases.demand.record_arrival(tokens, now_s)
        if leases.try_admit(tokens, now_s):
            self._due_s.setdefault(account, self._next_renewal_s(account, now_s))
            return LimitDecision(LimitOutcome.ADMITTED)
        until_s = wait_until_s
        if until_s is None:
            leases.demand.record_unmet(now_s)
            self._due_s.setdefault(account, self._next_renewal_s(account, now_s))
            until_s = now_s + self.policy.wait_s
        if leases.cannot_admit_soon(now_s) or now_s >= until_s:
            return self._refuse("the account's limit is reached", leases.retry_after_s(now_s))
        if wait_until_s is None:
            self._schedule_report(account, leases, now_s)
        retry_at_s = min(until_s, now_s + leases.debt_wait_s(now_s))
        return LimitDecision(LimitOutcome.WAIT, until_s, retry_at_s=retry_at_s)

    def _next_renewal_s(self, account: str, now_s: float) -> float:
        """Return when to report an account next, together with others of its allocator."""
        allocator = self._allocators.find(account, self.domain)
        renewed_s = self._renewed_s.get(allocator, now_s)
        return max(now_s, renewed_s + self.policy.renew_s)

    def _next_report_s(self, account: str, leases: AccountLeases, now_s: float) -> float:
        """Return when to report again: soon if requests wait, in case the report is lost."""
        if not leases.demand.unmet(now_s):
            return self._next_renewal_s(account, now_s)
        self._awaiting_grant.add(account)
        return now_s + REPORT_RETRY_S

    def _schedule_report(
        self, account: str, leases: AccountLeases, now_s: float, gap_s: float = 0.0
    ) -> None:
        """Report an account soon, backing off while its limit is exhausted."""
        earliest_s = max(now_s, leases.reported_s + max(gap_s, leases.urgent_gap_s))
        self._due_s[account] = min(self._due_s.get(account, earliest_s), earliest_s)

    def release(self, account: str, expected_tokens: int, used_tokens: int, now_s: float) -> None:
        """Record the end of an admitted request and its actual cost."""
        leases = self._accounts.get(account)
        if leases is None:
            return
        was_over = leases.is_over_share(now_s)
        leases.release(expected_tokens - used_tokens, now_s)
        self._due_s.setdefault(account, self._next_renewal_s(account, now_s))
        if was_over:
            self._schedule_report(account, leases, now_s)

    def next_report_s(self) -> float | None:
        """Return when the next report is due, or `None` if there is nothing to report."""
        return min(self._due_s.values(), default=None)

    def reports(self, routers: Mapping[str, Sequence[str]], now_s: float) -> list[AddressedReport]:
        """Return the reports that are due.

        `routers` maps each domain to its routers; omit domains that have none or can't
        be reached.
        """
        self._allocators.set_routers(routers)
        batches: dict[tuple[str, str], list[AccountDemand]] = {}
        for account in self._accounts_due(now_s):
            leases = self._accounts[account]
            for domain, demand in leases.demands(account, now_s, routers):
                allocator = self._allocators.find(account, domain)
                batches.setdefault((domain, allocator), []).append(demand)
            if leases.is_idle(now_s):
                del self._due_s[account]
            else:
                leases.reported_s = now_s
                self._due_s[account] = self._next_report_s(account, leases, now_s)
        return [
            report
            for (domain, allocator), demands in batches.items()
            for report in self._split_into_reports(domain, allocator, demands, now_s)
        ]

    def _accounts_due(self, now_s: float) -> list[str]:
        """Return the accounts that are due, and others to renew along with them.

        A report to an allocator renews all leases from it, unless they were renewed
        just before.
        """
        due = [account for account, due_s in self._due_s.items() if due_s <= now_s]
        due_allocators = {self._allocators.find(account, self.domain) for account in due}
        renewed_before_s = now_s - MIN_RENEWAL_AGE_SHARE * self.policy.renew_s
        renewing = {
            name
            for name in due_allocators
            if self._renewed_s.get(name, renewed_before_s) <= renewed_before_s
        }
        self._renewed_s.update(dict.fromkeys(renewing, now_s))
        if not renewing:
            return due
        not_due = (account for account, due_s in self._due_s.items() if due_s > now_s)
        return due + [
            account
            for account in not_due
            if self._allocators.find(account, self.domain) in renewing
        ]

    def _split_into_reports(
        self, domain: str, allocator: str, demands: list[AccountDemand], now_s: float
    ) -> list[AddressedReport]:
        """Split demands into reports that each fit into a datagram."""
        reports = []
        for start in range(0, len(demands), MAX_DEMANDS_PER_REPORT):
            chunk = tuple(demands[start : start + MAX_DEMANDS_PER_REPORT])
            self._sequence += 1
            self._report_sent_s[self._sequence] = now_s
            report = DemandReport(self.router_id, self.domain, domain, self._sequence, chunk)
            reports.append((allocator, report))
        while len(self._report_sent_s) > MAX_TRACKED_REPORTS:
            del self._report_sent_s[next(iter(self._report_sent_s))]
        return reports

    def apply_grant(self, grant: ShareGrant, now_s: float) -> None:
        """Apply a grant; its leases start when the report was sent.

        A recall makes this router report its current demand.
        """
        if grant.lease_ms == 0:
            self._apply_recall(grant, now_s)
            return
        sent_s = self._report_sent_s.get(grant.report_sequence)
        if sent_s is None:
            return
        until_s = sent_s + grant.lease_ms / 1000
        if until_s <= now_s:
            return
        for item in grant.grants:
            leases = self._accounts.get(item.account)
            if leases is None:
                continue
            if item.account in self._awaiting_grant and item.account in self._due_s:
                self._due_s[item.account] = self._next_renewal_s(item.account, now_s)
            self._awaiting_grant.discard(item.account)
            if leases.apply(grant, item, until_s, now_s):
                gap_s = PENDING_RECALL_GAP_S if item.recall_pending else 0.0
                self._schedule_report(item.account, leases, now_s, gap_s)

    def _apply_recall(self, grant: ShareGrant, now_s: float) -> None:
        """Report the recalled accounts without idle units, since another router needs them."""
        for item in grant.grants:
            leases = self._accounts.get(item.account)
            if leases is not None:
                leases.demand.reset_peaks(now_s)
                self._schedule_report(item.account, leases, now_s)

    def share(self, account: str, now_s: float) -> AccountLimit:
        """Return the share of an account that this router may use now, for metrics."""
        leases = self._accounts[account]
        return AccountLimit(leases.units(now_s), leases.tokens_per_s(now_s))

    def in_use(self, account: str) -> int:
        """Return how many requests of an account are in progress at this router."""
        return self._accounts[account].demand.in_use

    def _refuse(self, detail: str, retry_after_s: float | None) -> LimitDecision:
        """Return a refusal for a request that was not sent to any target."""
        refusal = Refusal(Reason.ACCOUNT_LIMIT, Verdict.NOT_RUN, detail, retry_after_s)
        return LimitDecision(LimitOutcome.REFUSED, refusal=refusal)
