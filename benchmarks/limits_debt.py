"""Measure how long requests wait for their account's token debt, and the highest overdraft.

    .venv/bin/python -m benchmarks.limits_debt

Pure decisions of nine routers in three failure domains for one account, over a simulated
network with a delay of 2 ms. Time is simulated, so the figures don't depend on the machine.
"""

from random import Random

from damaskwind.decisions.limits.messages import AccountLimit, LimitPolicy
from damaskwind.decisions.limits.tests.fleet import STEP_S, Fleet

__all__ = ["DebtFleet", "measure_debt"]

DOMAINS = ("a", "b", "c")
ROUTERS_PER_DOMAIN = 3
LIMIT = AccountLimit(40, 8000.0)
TOKENS = 1000
DURATION_S = 2.0
SETTLE_S = 10.0
MEASURE_S = 120.0
SEEDS = range(1, 6)
ROTATION_S = 3.0
LOADS_PER_S = (1.0, 2.0, 4.0, 7.0, 16.0)


class DebtFleet(Fleet):
    """A fleet that records waits and the tokens by which the account exceeds its rate."""

    def __init__(self, seed: int, rotation_s: float | None) -> None:
        limits = {"x": LIMIT}
        super().__init__(DOMAINS, ROUTERS_PER_DOMAIN, limits, LimitPolicy(), seed=seed)
        self.waits_s: list[float] = []
        self.overdraft_tokens = self.max_overdraft_tokens = 0.0
        self.rotation_s = rotation_s

    def finish(self, name, limiter) -> None:
        """End the requests that are due; each used exactly its estimated tokens."""
        ended = [account for at_s, account in self.running[name] if at_s <= self.now_s]
        self.running[name] = [item for item in self.running[name] if item[0] > self.now_s]
        if ended:
            self.woken.add(name)
        for account in ended:
            limiter.release(account, TOKENS, TOKENS, self.now_s)

    def attempt(self, name, account, duration_s, tokens, until_s) -> None:
        """Record the wait of an admitted request and the overdraft."""
        before = self.served.get(name, 0)
        super().attempt(name, account, duration_s, tokens, until_s)
        if self.served.get(name, 0) > before:
            arrived_s = self.now_s if until_s is None else until_s - self.policy.wait_s
            self.waits_s.append(self.now_s - arrived_s)
            self.overdraft_tokens += tokens
            self.max_overdraft_tokens = max(self.max_overdraft_tokens, self.overdraft_tokens)

    def choose(self, random: Random) -> str:
        """Return the router that receives the next request."""
        names = list(self.limiters)
        if self.rotation_s is None:
            return random.choice(names)
        return names[int(self.now_s / self.rotation_s) % len(names)]

    def run(self, duration_s: float, requests_per_s: float, random: Random) -> None:
        """Send requests to the chosen routers for `duration_s`."""
        for _ in range(int(duration_s / STEP_S)):
            self.overdraft_tokens = max(
                0.0, self.overdraft_tokens - LIMIT.max_tokens_per_s * STEP_S
            )
            if random.random() < requests_per_s * STEP_S:
                name = self.choose(random)
                self.request(name, "x", DURATION_S, TOKENS)
            self.step()


def measure_debt(requests_per_s: float, rotation_s: float | None = None) -> None:
    """Print the waits of all seeds at one load."""
    waits_s: list[float] = []
    refused = max_overdraft_tokens = 0
    for seed in SEEDS:
        fleet = DebtFleet(seed, rotation_s)
        random = Random(seed)
        fleet.run(SETTLE_S, 0.0, random)
        fleet.run(MEASURE_S, requests_per_s, random)
        waits_s += fleet.waits_s
        refused += sum(fleet.refused.values())
        max_overdraft_tokens = max(max_overdraft_tokens, int(fleet.max_overdraft_tokens))
    waits_s.sort()
    p50_ms, p95_ms, p99_ms = (
        1000 * waits_s[int(len(waits_s) * fraction)] for fraction in (0.5, 0.95, 0.99)
    )
    rate = len(waits_s) * TOKENS / (MEASURE_S * len(SEEDS))
    print(
        f"{requests_per_s:4.0f}/s: {len(waits_s)} let in, {refused} refused,"
        f" waits p50 {p50_ms:.0f}, p95 {p95_ms:.0f}, p99 {p99_ms:.0f} ms,"
        f" {rate:.0f} tokens/s, at most {max_overdraft_tokens} ahead"
    )


def main() -> None:
    """Print the waits at each load."""
    for requests_per_s in LOADS_PER_S:
        measure_debt(requests_per_s)
    print(f"all requests at one router, another each {ROTATION_S:.0f} s:")
    measure_debt(LOADS_PER_S[-1], ROTATION_S)


if __name__ == "__main__":
    main()
