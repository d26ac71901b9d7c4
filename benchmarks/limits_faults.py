"""Measure false refusals and limit usage when allocators fail or domains are partitioned.

Run `.venv/bin/python benchmarks/limits_faults.py`. It runs the limiters and allocators
of a simulated fleet with a delay of 2 ms between routers. A refusal is false when the
whole fleet runs fewer requests of the account than its limit.
"""

from collections.abc import Callable
from random import Random

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.messages import AccountLimit, LimitPolicy
from damaskwind.decisions.limits.tests.fleet import STEP_S, Fleet

ACCOUNT = "x"
DOMAINS = ("a", "b", "c")
SETTLE_S = 15.0
WINDOW_S = 4.0
WINDOWS = 6
DURATION_S = 2.0


class MeasuredFleet(Fleet):
    """A fleet that counts refusals below the limit."""

    false_refused = 0

    def attempt(self, name, account, *rest):
        before = sum(self.refused.values())
        super().attempt(name, account, *rest)
        if sum(self.refused.values()) > before:
            limit = self.limits[account].max_concurrent_requests
            self.false_refused += self.total_running(account) < limit


def drive(fleet: MeasuredFleet, random: Random, requests_per_s: float, span_s: float) -> str:
    """Run for `span_s`; format served, refused and falsely refused requests and the mean use."""
    served, refused = sum(fleet.served.values()), sum(fleet.refused.values())
    false_refused, used, steps = fleet.false_refused, 0, int(span_s / STEP_S)
    names = list(fleet.limiters)
    for _ in range(steps):
        expected = requests_per_s * STEP_S
        for _ in range(int(expected) + (random.random() < expected % 1)):
            fleet.request(random.choice(names), ACCOUNT, DURATION_S)
        fleet.step()
        used += fleet.total_running(ACCOUNT)
    served = sum(fleet.served.values()) - served
    refused = sum(fleet.refused.values()) - refused
    false_refused = fleet.false_refused - false_refused
    return f"{served:4}/{refused}/{false_refused}/{used / steps:.1f}"


def kill_allocator(fleet: Fleet) -> None:
    """Remove the allocator of domain a; its successor starts after waiting one lease."""
    stopped = fleet.allocator_of(ACCOUNT, "a")
    fleet.routers["a"].remove(stopped)
    for table in (fleet.limiters, fleet.allocators, fleet.running):
        del table[stopped]
    fleet.waiting = [item for item in fleet.waiting if item[1][0] != stopped]
    successor = fleet.allocator_of(ACCOUNT, "a")
    fleet.allocators[successor] = ShareAllocator(successor, "a", fleet.policy, fleet.now_s)
    fleet.allocators[successor].set_limits(fleet.limits, DOMAINS)
    for name in fleet.routers["a"]:
        fleet.allocators[name].set_routers(fleet.routers["a"])


def cut_domain(fleet: Fleet) -> None:
    """Partition domain a from the others."""
    fleet.cut = {"a"}


def measure(title: str, fault: Callable[[Fleet], None], limit: int, load_share: float) -> None:
    """Print the windows before and after a fault."""
    limits = {ACCOUNT: AccountLimit(limit, 1_000_000.0)}
    fleet = MeasuredFleet(DOMAINS, 3, limits, LimitPolicy(), seed=1)
    random = Random(1)
    requests_per_s = load_share * limit / DURATION_S
    drive(fleet, random, requests_per_s, SETTLE_S)
    rows = [drive(fleet, random, requests_per_s, WINDOW_S)]
    fault(fleet)
    rows += [drive(fleet, random, requests_per_s, WINDOW_S) for _ in range(WINDOWS)]
    print(f"{title}, limit {limit}, load {load_share:.1f} of it:", *rows, sep="  ", flush=True)


def main() -> None:
    """Print each fault at several limits and loads."""
    print(f"windows of {WINDOW_S:.0f} s, the first before the fault:")
    print("served/refused/of these false/mean requests in hand")
    for limit in (2, 12, 90):
        for load_share in (0.5, 0.9, 1.5):
            measure("allocator of a dies", kill_allocator, limit, load_share)
            measure("domain a cut off", cut_domain, limit, load_share)


if __name__ == "__main__":
    main()
