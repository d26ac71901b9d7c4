"""Seeded histories of a fleet with loss, delay, partitions and router crashes."""

from collections.abc import Iterable
from random import Random

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.messages import AccountLimit
from damaskwind.decisions.limits.tests.fleet import Fleet

__all__ = ["find_violation"]

ACCOUNT = "x"
DOMAINS = ("a", "b", "c")
STEPS = 700


class LimitHistory:
    """One history; `run` returns the first step that exceeded a limit, or `None`."""

    def __init__(self, seed: int, allocator_class: type) -> None:
        self.random = Random(seed)
        self.limit = AccountLimit(self.random.choice((2, 5, 9, 30)), 900.0)
        self.allocator_class = allocator_class
        self.fleet = Fleet(
            DOMAINS,
            self.random.choice((1, 2, 4)),
            {ACCOUNT: self.limit},
            allocator_class=allocator_class,
            seed=seed,
            loss=self.random.choice((0.0, 0.1, 0.4)),
            delay_s=self.random.choice((0.002, 0.05, 0.3)),
        )
        self.arrival_probability = self.random.choice((0.02, 0.2, 0.6))
        self.duration_s = self.random.choice((0.05, 0.5, 2.0))

    def run(self) -> int | None:
        for step in range(STEPS):
            self.submit_requests()
            if self.random.random() < 0.004:
                self.fleet.cut = set() if self.fleet.cut else {self.random.choice(DOMAINS)}
            if self.random.random() < 0.003:
                self.kill_allocator(self.random.choice(DOMAINS))
            self.fleet.step()
            if self.is_broken():
                return step
        return None

    def submit_requests(self) -> None:
        for name in self.fleet.limiters:
            if self.random.random() < self.arrival_probability:
                self.fleet.request(name, ACCOUNT, self.duration_s)

    def kill_allocator(self, domain: str) -> None:
        """Crash the allocator of a domain and let another router take over."""
        fleet = self.fleet
        if len(fleet.routers[domain]) < 2:
            return
        failed = fleet.allocator_of(ACCOUNT, domain)
        fleet.routers[domain].remove(failed)
        for table in (fleet.limiters, fleet.allocators, fleet.running):
            del table[failed]
        fleet.waiting = [item for item in fleet.waiting if item[1][0] != failed]
        successor = fleet.allocator_of(ACCOUNT, domain)
        allocator = self.allocator_class(successor, domain, fleet.policy, fleet.now_s)
        allocator.set_limits(fleet.limits, DOMAINS)
        fleet.allocators[successor] = allocator
        for name in fleet.routers[domain]:
            fleet.allocators[name].set_routers(fleet.routers[domain])

    def is_broken(self) -> bool:
        share = self.fleet.total_share(ACCOUNT)
        units = max(share.max_concurrent_requests, self.fleet.total_running(ACCOUNT))
        if units > self.limit.max_concurrent_requests:
            return True
        return share.max_tokens_per_s > self.limit.max_tokens_per_s


def find_violation(seeds: Iterable[int], allocator_class: type = ShareAllocator) -> int | None:
    """Return the first seed whose history exceeds the limit, or `None`."""
    for seed in seeds:
        if LimitHistory(seed, allocator_class).run() is not None:
            return seed
    return None
