"""Measure the bytes that leased shares of account limits cost a router.

Run `.venv/bin/python benchmarks/limits.py`. The limiters and allocators of a simulated
failure domain exchange encoded messages. The bytes of each router are counted in both
directions, with `DATAGRAM_BYTES` for the headers of IP, UDP and the gossip datagram.
Larger fleets follow from the same run with longer leases.
"""

import time
from collections import deque
from random import Random

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.codec import LimitsCodec
from damaskwind.decisions.limits.limiter import AccountLimiter
from damaskwind.decisions.limits.messages import (
    AccountLimit,
    DemandReport,
    LimitOutcome,
    LimitPolicy,
)

DATAGRAM_BYTES = 28 + 48
FIRST_SEQUENCE = 1_790_000_000_000
RATE_WINDOW_S = 10.0
STEP_S = 0.05
SETTLE_S = 8.0
TOKENS = 300
DURATION_S = 4.0


class Domain:
    """The routers of one failure domain under an even load."""

    def __init__(
        self, routers: int, accounts: int, units: int, tokens_per_s: int, policy: LimitPolicy
    ) -> None:
        names = [f"router-{number:02d}" for number in range(routers)]
        limits = {
            f"account-{number:04d}": AccountLimit(units, tokens_per_s) for number in range(accounts)
        }
        self.routers_by_domain = {"domain-1": names}
        self.policy = policy
        self.accounts = list(limits)
        self.random = Random(1)
        self.bytes = dict.fromkeys(names, 0)
        self.datagrams = 0
        self.largest_bytes = 0
        self.refused = 0
        self.admitted = 0
        self.running = {name: [] for name in names}
        self.waiting = []
        self.woken = set()
        self.false_refused = 0
        self.unit_limit, self.token_limit = units, tokens_per_s
        self.in_use = dict.fromkeys(limits, 0)
        self.recent = {account: deque() for account in limits}
        self.codec = LimitsCodec()
        self.codec.set_names(limits, ["domain-1"])
        self.limiters = {
            name: AccountLimiter(name, "domain-1", policy, FIRST_SEQUENCE) for name in names
        }
        self.allocators = {
            name: ShareAllocator(name, "domain-1", policy, 0.0, is_alone=True) for name in names
        }
        for table in (*self.limiters.values(), *self.allocators.values()):
            table.set_limits(limits, ["domain-1"])

    def count_message(self, source: str, target: str, payload: bytes) -> None:
        """Count the bytes of a message at its sender and its receiver."""
        size_bytes = len(payload) + DATAGRAM_BYTES
        self.largest_bytes = max(self.largest_bytes, size_bytes)
        self.datagrams += 1
        self.bytes[source] += size_bytes
        self.bytes[target] += size_bytes

    def report(self, source: str, target: str, report: DemandReport, now_s: float) -> None:
        """Deliver a report and its grant; encode and count them unless they are local."""
        if source != target:
            payload = self.codec.encode_report(report, target)
            self.count_message(source, target, payload)
            report = self.codec.decode_report(source, target, payload)
        grant = self.allocators[target].handle_report(report, now_s)
        if source != target:
            payload = self.codec.encode_grant(grant)
            self.count_message(target, source, payload)
            grant = self.codec.decode_grant(target, payload)
        for router_id, recall in self.allocators[target].pop_recalls():
            if router_id != target:
                self.count_message(target, router_id, self.codec.encode_grant(recall))
            self.limiters[router_id].apply_grant(recall, now_s)
        self.limiters[source].apply_grant(grant, now_s)
        self.woken.add(source)

    def is_under_limit(self, account: str, now_s: float) -> bool:
        """Return whether all routers together are below the limits of the account."""
        recent = self.recent[account]
        while recent and recent[0] < now_s - RATE_WINDOW_S:
            recent.popleft()
        rate = (len(recent) + 1) * TOKENS / RATE_WINDOW_S
        return self.in_use[account] < self.unit_limit and rate <= self.token_limit

    def attempt(self, name: str, account: str, now_s: float, until_s: float | None) -> None:
        """Admit a request, queue it or refuse it."""
        decision = self.limiters[name].admit(account, TOKENS, now_s, until_s)
        if decision.outcome == LimitOutcome.ADMITTED:
            self.admitted += 1
            self.in_use[account] += 1
            self.recent[account].append(now_s)
            self.running[name].append((now_s + DURATION_S, account))
        elif decision.outcome == LimitOutcome.WAIT:
            item = (name, account, decision.wait_until_s)
            self.waiting.append((decision.retry_at_s, item))
        else:
            self.refused += 1
            self.false_refused += self.is_under_limit(account, now_s)

    def step(self, now_s: float, requests_per_s: float) -> None:
        """Start and end requests and deliver the messages that are due."""
        waiting, self.waiting = self.waiting, []
        woken, self.woken = self.woken, set()
        for retry_at_s, item in waiting:
            if retry_at_s <= now_s or item[0] in woken:
                self.attempt(item[0], item[1], now_s, item[2])
            else:
                self.waiting.append((retry_at_s, item))
        for name, limiter in self.limiters.items():
            due = requests_per_s * STEP_S
            count_message = int(due) + (self.random.random() < due % 1)
            for _ in range(count_message):
                self.attempt(name, self.random.choice(self.accounts), now_s, None)
            ended = [account for at_s, account in self.running[name] if at_s <= now_s]
            self.running[name] = [item for item in self.running[name] if item[0] > now_s]
            if ended:
                self.woken.add(name)
            for account in ended:
                self.in_use[account] -= 1
                limiter.release(account, TOKENS, TOKENS, now_s)
            for target, report in limiter.reports(self.routers_by_domain, now_s):
                self.report(name, target, report, now_s)


def measure(
    routers: int,
    accounts: int,
    units: int,
    tokens_per_s: int,
    policy: LimitPolicy,
    requests_per_s: float,
) -> None:
    """Run one domain and print the bytes per second of its routers."""
    domain = Domain(routers, accounts, units, tokens_per_s, policy)
    now_s = 0.0
    while now_s < max(SETTLE_S, policy.lease_s):
        domain.step(now_s, requests_per_s)
        now_s += STEP_S
    domain.bytes = dict.fromkeys(domain.bytes, 0)
    domain.datagrams = domain.refused = domain.admitted = domain.false_refused = 0
    span_s = max(10.0, policy.lease_s)
    started_s, end_s = time.process_time(), now_s + span_s
    while now_s < end_s:
        domain.step(now_s, requests_per_s)
        now_s += STEP_S
    spent_s = time.process_time() - started_s
    mean = sum(domain.bytes.values()) / routers / span_s
    print(
        f"{accounts} accounts x {routers} routers in a domain, slice {units} units and"
        f" {tokens_per_s} tokens/s, {requests_per_s:.0f} requests/s each,"
        f" lease {policy.lease_s:.0f} s: mean {mean:.0f} and at most"
        f" {max(domain.bytes.values()) / span_s:.0f} bytes/s a router both ways,"
        f" {2 * domain.datagrams / routers / span_s:.1f} datagrams/s, largest"
        f" {domain.largest_bytes} bytes; admitted {domain.admitted}, refused {domain.refused},"
        f" {domain.false_refused} of them while the account was under its limit;"
        f" {spent_s / span_s / routers * 1000:.2f} ms/s of processor time a router, load included",
        flush=True,
    )


def main() -> None:
    """Print the figures of the present size and of the target size."""
    policy = LimitPolicy()
    measure(3, 10, 60, 30_000, policy, 10.0)
    measure(8, 10, 160, 80_000, policy, 10.0)
    measure(8, 10, 16, 80_000, policy, 10.0)
    measure(8, 10, 2, 80_000, policy, 10.0)
    measure(50, 1400, 28, 2000, policy, 37.0)
    measure(50, 1400, 640, 40_000, policy, 37.0)


if __name__ == "__main__":
    main()
