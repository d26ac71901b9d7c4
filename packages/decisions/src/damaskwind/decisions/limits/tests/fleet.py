"""A simulated fleet of limiters and allocators over a lossy network."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.allocator_choice import block_count, block_of
from damaskwind.decisions.limits.limiter import AccountLimiter
from damaskwind.decisions.limits.messages import AccountLimit, LimitOutcome, LimitPolicy
from damaskwind.decisions.limits.slices import choose_allocator

__all__ = ["Fleet"]

STEP_S = 0.02


class Fleet:
    """Routers named `domain/number`, each with a limiter and an allocator of its domain."""

    def __init__(self, domains, routers_per_domain, limits, policy=None, **network):
        self.policy = policy or LimitPolicy(lease_s=3.0, renew_s=1.0, idle_s=3.0)
        self.random = Random(network.get("seed", 1))
        self.loss = network.get("loss", 0.0)
        self.delay_s = network.get("delay_s", 0.002)
        self.allocator_class = network.get("allocator_class", ShareAllocator)
        self.domains = domains
        self.limits = limits
        self.now_s = 100.0
        self.routers = {
            domain: [f"{domain}/{number}" for number in range(routers_per_domain)]
            for domain in domains
        }
        self.cut: set[str] = set()
        self.limiters = {}
        self.allocators = {}
        self.running: dict[str, list[tuple[float, str]]] = {}
        self.waiting: list[tuple[float, tuple]] = []
        self.woken: set[str] = set()
        self.refused = {}
        self.served = {}
        self.sent_reports = []
        self._queue = []
        self._order = count()
        for domain, names in self.routers.items():
            for name in names:
                self.start(name, domain, 0.0)

    def start(self, name, domain, started_s):
        """Start a router, or restart it and lose its requests."""
        first_sequence = 1000 * int(self.now_s)
        self.limiters[name] = AccountLimiter(name, domain, self.policy, first_sequence)
        self.allocators[name] = self.allocator_class(name, domain, self.policy, started_s)
        for component in (self.limiters[name], self.allocators[name]):
            component.set_limits(self.limits, self.domains)
        self.running[name] = []

    def can_reach(self, one, other):
        """Return whether two routers can communicate."""
        first, second = one.split("/")[0], other.split("/")[0]
        return first == second or not {first, second} & self.cut

    def post(self, source, target, deliver):
        """Deliver a message after a delay; it may be lost or duplicated."""
        if not self.can_reach(source, target) or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            at_s = self.now_s + self.random.uniform(0, 2) * self.delay_s
            heappush(self._queue, (at_s, next(self._order), deliver))

    def request(self, name, account, duration_s, tokens=10):
        """Submit a request to a router."""
        self.attempt(name, account, duration_s, tokens, None)

    def attempt(self, name, account, duration_s, tokens, until_s):
        decision = self.limiters[name].admit(account, tokens, self.now_s, until_s)
        if decision.outcome == LimitOutcome.ADMITTED:
            self.running[name].append((self.now_s + duration_s, account))
            self.served[name] = self.served.get(name, 0) + 1
        elif decision.outcome == LimitOutcome.WAIT:
            item = (name, account, duration_s, tokens, decision.wait_until_s)
            self.waiting.append((decision.retry_at_s, item))
        else:
            self.refused[name] = self.refused.get(name, 0) + 1

    def step(self):
        self.now_s += STEP_S
        while self._queue and self._queue[0][0] <= self.now_s:
            heappop(self._queue)[2]()
        self.retry_waiting()
        for name, limiter in self.limiters.items():
            self.finish(name, limiter)
            due_s = limiter.next_report_s()
            if due_s is not None and due_s <= self.now_s:
                self.report(name, limiter)

    def retry_waiting(self):
        """Retry requests that are due, or whose router applied a grant or ended a request."""
        waiting, self.waiting = self.waiting, []
        woken, self.woken = self.woken, set()
        for retry_at_s, item in waiting:
            if retry_at_s <= self.now_s or item[0] in woken:
                self.attempt(*item)
            else:
                self.waiting.append((retry_at_s, item))

    def finish(self, name, limiter):
        ended = [account for at_s, account in self.running[name] if at_s <= self.now_s]
        self.running[name] = [item for item in self.running[name] if item[0] > self.now_s]
        if ended:
            self.woken.add(name)
        for account in ended:
            limiter.release(account, 10, 10, self.now_s)

    def report(self, name, limiter):
        reachable = {
            d: names
            for d, names in self.routers.items()
            if names and self.can_reach(name, names[0])
        }
        for target, report in limiter.reports(reachable, self.now_s):
            self.sent_reports.append(report)
            self.post(name, target, lambda t=target, r=report, n=name: self.deliver_report(t, r, n))

    def deliver_report(self, target, report, source):
        allocator = self.allocators.get(target)
        if allocator is None:
            return
        grant = allocator.handle_report(report, self.now_s)
        for router_id, recall in allocator.pop_recalls():
            holder = self.limiters.get(router_id)
            if holder is not None:
                self.post(
                    target,
                    router_id,
                    lambda i=router_id, h=holder, r=recall: self.deliver_grant(i, h, r),
                )
        if grant is not None and source in self.limiters:
            limiter = self.limiters[source]
            self.post(target, source, lambda: self.deliver_grant(source, limiter, grant))

    def deliver_grant(self, source, limiter, grant):
        limiter.apply_grant(grant, self.now_s)
        self.woken.add(source)

    def allocator_of(self, account, domain):
        """Return the router that allocates for an account in a domain."""
        block = block_of(account, block_count(len(self.limits)))
        return choose_allocator(block, self.routers[domain])

    def total_running(self, account):
        return sum(item[1] == account for items in self.running.values() for item in items)

    def total_share(self, account):
        shares = [limiter.share(account, self.now_s) for limiter in self.limiters.values()]
        return AccountLimit(*(sum(column) for column in zip(*shares, strict=True)))
