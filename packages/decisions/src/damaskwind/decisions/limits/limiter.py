"""Hold accounts to their limits at one router, by the shares leased to it."""

from collections.abc import Mapping, Sequence

from damaskwind.decisions.limits.allocator_choice import AllocatorChoice
from damaskwind.decisions.limits.holding import AccountHolding
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

__all__ = ["AccountLimiter", "Addressed"]

MAX_DEMANDS_PER_REPORT = 20
RECALL_GAP_S = 0.1
SENT_LIMIT = 4096
RIDE_SHARE = 0.5
RETRY_S = 0.5

Addressed = tuple[str, DemandReport]


class AccountLimiter:
    """Admit and release requests; say what to report and take what is granted.

    Every `AccountLimiter.admit` that says `ADMITTED` must be followed by one
    `release`. Call `reports` whenever `next_report_s` says so and send each report
    to the router it is addressed to, possibly this one. Reports and grants may be
    lost, doubled or reordered. `first_sequence` must be above those that an earlier
    run of this router used, so that grants meant for it are not taken.
    """

    def __init__(
        self, router_id: str, domain: str, policy: LimitPolicy, first_sequence: int = 0
    ) -> None:
        self.router_id = router_id
        self.domain = domain
        self.policy = policy
        self._holdings: dict[str, AccountHolding] = {}
        self._due_s: dict[str, float] = {}
        self._choice = AllocatorChoice()
        self._changes = LimitChanges()
        self._renewed_s: dict[str, float] = {}
        self._awaited: set[str] = set()
        self._sequence = first_sequence
        self._sent_s: dict[int, float] = {}

    def set_limits(self, limits: Mapping[str, AccountLimit], domains: Sequence[str]) -> None:
        """Follow the confirmed limits; `domains` must be the same on all routers."""
        self._choice.set_accounts(limits)
        for account, limit in self._changes.follow(limits, domains):
            slices = divide_limit(account, limit, domains)
            holding = self._holdings.get(account)
            if holding is None:
                holding = self._holdings[account] = AccountHolding(self.domain, self.policy)
            holding.set_limit(limit, slices, floor_of(slices[self.domain], self.policy))
        for account in [name for name in self._holdings if name not in limits]:
            del self._holdings[account]
            self._due_s.pop(account, None)
            self._awaited.discard(account)

    def admit(
        self, account: str, tokens: int, now_s: float, wait_until_s: float | None = None
    ) -> LimitDecision:
        """Let a request in, have it wait for a grant, or refuse it.

        `tokens` is its expected cost. A request that was told to wait is tried
        again, with the decision's `wait_until_s`, when a grant has come or another
        request ended, and at `try_again_s` at the latest.
        """
        holding = self._holdings.get(account)
        if holding is None:
            return self._refuse("no such account", None)
        if wait_until_s is None:
            holding.demand.note_arrival(tokens, now_s)
        if holding.try_admit(tokens, now_s):
            self._due_s.setdefault(account, self._next_renewal_s(account, now_s))
            return LimitDecision(LimitOutcome.ADMITTED)
        until_s = wait_until_s
        if until_s is None:
            holding.demand.note_unmet(now_s)
            self._due_s.setdefault(account, self._next_renewal_s(account, now_s))
            until_s = now_s + self.policy.wait_s
        if holding.is_hopeless(now_s) or now_s >= until_s:
            return self._refuse("the account's limit is reached", holding.retry_after_s(now_s))
        if wait_until_s is None:
            self._hasten(account, holding, now_s)
        try_again_s = min(until_s, now_s + holding.debt_wait_s(now_s))
        return LimitDecision(LimitOutcome.WAIT, until_s, try_again_s=try_again_s)

    def _next_renewal_s(self, account: str, now_s: float) -> float:
        """Return when an account is reported next: with the others of its allocator."""
        allocator = self._choice.find(account, self.domain)
        renewed_s = self._renewed_s.get(allocator, now_s)
        return max(now_s, renewed_s + self.policy.renew_s)

    def _next_report_s(self, account: str, holding: AccountHolding, now_s: float) -> float:
        """Return when to report again: soon while requests wait and no answer came."""
        if not holding.demand.unmet(now_s):
            return self._next_renewal_s(account, now_s)
        self._awaited.add(account)
        return now_s + RETRY_S

    def _hasten(
        self, account: str, holding: AccountHolding, now_s: float, gap_s: float = 0.0
    ) -> None:
        """Report an account soon, but ever more seldom while its limit is used up."""
        soon_s = max(now_s, holding.reported_s + max(gap_s, holding.urgent_gap_s))
        self._due_s[account] = min(self._due_s.get(account, soon_s), soon_s)

    def release(self, account: str, expected_tokens: int, used_tokens: int, now_s: float) -> None:
        """Note that an admitted request ended, and what it really cost."""
        holding = self._holdings.get(account)
        if holding is None:
            return
        was_over = holding.is_over_share(now_s)
        holding.release(expected_tokens - used_tokens, now_s)
        self._due_s.setdefault(account, self._next_renewal_s(account, now_s))
        if was_over:
            self._hasten(account, holding, now_s)

    def next_report_s(self) -> float | None:
        """Return when `reports` has something to say; `None` while nothing is."""
        return min(self._due_s.values(), default=None)

    def reports(self, routers: Mapping[str, Sequence[str]], now_s: float) -> list[Addressed]:
        """Return the reports that are due, for the routers of each domain.

        A domain without routers, or one that can't be reached, is left out.
        """
        self._choice.set_routers(routers)
        batches: dict[tuple[str, str], list[AccountDemand]] = {}
        for account in self._accounts_due(now_s):
            holding = self._holdings[account]
            for domain, demand in holding.demands(account, now_s, routers):
                allocator = self._choice.find(account, domain)
                batches.setdefault((domain, allocator), []).append(demand)
            if holding.is_idle(now_s):
                del self._due_s[account]
            else:
                holding.reported_s = now_s
                self._due_s[account] = self._next_report_s(account, holding, now_s)
        return [
            report
            for (domain, allocator), demands in batches.items()
            for report in self._split(domain, allocator, demands, now_s)
        ]

    def _accounts_due(self, now_s: float) -> list[str]:
        """Return the accounts that are due, and those that may ride with them.

        A report to an allocator renews all that is leased from it, unless that was
        done just before.
        """
        due = [account for account, due_s in self._due_s.items() if due_s <= now_s]
        asked = {self._choice.find(account, self.domain) for account in due}
        recent_s = now_s - RIDE_SHARE * self.policy.renew_s
        renewed = {name for name in asked if self._renewed_s.get(name, recent_s) <= recent_s}
        self._renewed_s.update(dict.fromkeys(renewed, now_s))
        if not renewed:
            return due
        riding = (account for account, due_s in self._due_s.items() if due_s > now_s)
        return due + [
            account for account in riding if self._choice.find(account, self.domain) in renewed
        ]

    def _split(
        self, domain: str, allocator: str, demands: list[AccountDemand], now_s: float
    ) -> list[Addressed]:
        """Make reports that each fit into a datagram."""
        made = []
        for start in range(0, len(demands), MAX_DEMANDS_PER_REPORT):
            part = tuple(demands[start : start + MAX_DEMANDS_PER_REPORT])
            self._sequence += 1
            self._sent_s[self._sequence] = now_s
            report = DemandReport(self.router_id, self.domain, domain, self._sequence, part)
            made.append((allocator, report))
        while len(self._sent_s) > SENT_LIMIT:
            del self._sent_s[next(iter(self._sent_s))]
        return made

    def take_grant(self, grant: ShareGrant, now_s: float) -> None:
        """Apply a grant; its leases run from when the report was sent.

        One that recalls units makes this router report what it needs now.
        """
        if grant.lease_ms == 0:
            self._take_recall(grant, now_s)
            return
        sent_s = self._sent_s.get(grant.report_sequence)
        if sent_s is None:
            return
        until_s = sent_s + grant.lease_ms / 1000
        if until_s <= now_s:
            return
        for item in grant.grants:
            holding = self._holdings.get(item.account)
            if holding is None:
                continue
            if item.account in self._awaited and item.account in self._due_s:
                self._due_s[item.account] = self._next_renewal_s(item.account, now_s)
            self._awaited.discard(item.account)
            if holding.take(grant, item, until_s, now_s):
                gap_s = RECALL_GAP_S if item.more_soon else 0.0
                self._hasten(item.account, holding, now_s, gap_s)

    def _take_recall(self, grant: ShareGrant, now_s: float) -> None:
        """Report the accounts that another router lacks units of, without what was idle."""
        for item in grant.grants:
            holding = self._holdings.get(item.account)
            if holding is not None:
                holding.demand.forget_peaks(now_s)
                self._hasten(item.account, holding, now_s)

    def share(self, account: str, now_s: float) -> AccountLimit:
        """Return what this router may use of an account now, for the metrics."""
        holding = self._holdings[account]
        return AccountLimit(holding.units(now_s), holding.tokens_per_s(now_s))

    def in_use(self, account: str) -> int:
        """Return the requests of an account in hand here."""
        return self._holdings[account].demand.in_use

    def _refuse(self, detail: str, retry_after_s: float | None) -> LimitDecision:
        """Refuse a request that was not sent anywhere."""
        refusal = Refusal(Reason.ACCOUNT_LIMIT, Verdict.NOT_RUN, detail, retry_after_s)
        return LimitDecision(LimitOutcome.REFUSED, refusal=refusal)
