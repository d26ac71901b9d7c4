"""Test that the credit of a token bucket shortens waits and its rate holds over time."""

import unittest

from damaskwind.decisions.limits.messages import AccountLimit, LimitOutcome, LimitPolicy
from damaskwind.decisions.limits.tests.fleet import STEP_S, Fleet
from damaskwind.decisions.limits.token_bucket import TokenBucket

RATE = 100.0


def tokens_taken(bucket: TokenBucket, started_s: float, duration_s: float, tokens: int) -> int:
    """Return how many tokens a caller takes that asks whenever the bucket allows."""
    total = 0
    for step in range(int(duration_s / STEP_S)):
        now_s = started_s + step * STEP_S
        while bucket.wait_s(RATE, now_s) == 0.0:
            bucket.take(tokens, now_s)
            total += tokens
    return total


class TokenBucketTest(unittest.TestCase):
    def setUp(self) -> None:
        policy = LimitPolicy()
        self.bucket = TokenBucket(policy.burst_s, policy.credit_s)

    def test_rate_holds_from_the_start_and_after_idleness(self) -> None:
        for started_s, burst_s in ((0.0, 1.0), (1000.0, 2.0)):
            total = tokens_taken(self.bucket, started_s, 60.0, 30)
            self.assertLessEqual(total, RATE * (60.0 + burst_s) + 30)
            self.assertGreater(total, RATE * (60.0 + burst_s) - 30)

    def test_credit_is_lent_once(self) -> None:
        self.bucket.take(100, 0.0)
        self.assertEqual(self.bucket.wait_s(RATE, 0.0), 0.0)
        self.bucket.take(50, 0.0)
        self.assertEqual(self.bucket.wait_s(RATE, 0.0), 0.5)
        self.assertIsNone(self.bucket.wait_s(0.0, 0.0))
        self.assertEqual(self.bucket.wait_s(RATE, 0.25), 0.25)

    def test_fleet_holds_the_rate_and_a_second_request_needs_no_wait(self) -> None:
        limit = AccountLimit(40, 800.0)
        fleet = Fleet(("a", "b"), 2, {"x": limit}, LimitPolicy())
        fleet.now_s = 200.0
        fleet.request("a/0", "x", 0.1, 100)
        for _ in range(10):
            fleet.step()
        self.assertEqual(fleet.served, {"a/0": 1})
        second = fleet.limiters["a/0"].admit("x", 100, fleet.now_s)
        self.assertEqual(second.outcome, LimitOutcome.ADMITTED)
        fleet.limiters["a/0"].release("x", 100, 100, fleet.now_s)
        served_before = dict(fleet.served)
        for _ in range(int(10 / STEP_S)):
            for name in fleet.limiters:
                fleet.request(name, "x", 0.1, 10)
            fleet.step()
        tokens = 10 * (sum(fleet.served.values()) - sum(served_before.values()))
        burst_tokens = limit.max_tokens_per_s * (LimitPolicy().burst_s + LimitPolicy().credit_s)
        self.assertLessEqual(tokens, 10 * limit.max_tokens_per_s + burst_tokens + 40)
