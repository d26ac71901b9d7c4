"""Test that a new configuration divides only the limits that changed."""

import unittest
from unittest import mock

from damaskwind.decisions.limits import allocator, limiter
from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.limiter import AccountLimiter
from damaskwind.decisions.limits.messages import (
    AccountDemand,
    AccountLimit,
    DemandReport,
    LimitOutcome,
    LimitPolicy,
)
from damaskwind.decisions.limits.slices import divide_limit

DOMAINS = ("a", "b", "c")
POLICY = LimitPolicy()
LIMITS = {name: AccountLimit(6000, 60000.0) for name in ("x", "y", "z")}


class _LimiterAndAllocator:
    """A limiter and an allocator; counts the accounts that each divides."""

    def __init__(self) -> None:
        self.limiter = AccountLimiter("a/0", "a", POLICY)
        self.allocator = ShareAllocator("a/0", "a", POLICY, 0.0, is_alone=True)

    def set_limits(self, limits, domains=DOMAINS, divide=divide_limit) -> tuple[list, list]:
        divided = []
        for module, component in ((limiter, self.limiter), (allocator, self.allocator)):
            with mock.patch.object(module, "divide_limit", side_effect=divide) as divide_mock:
                component.set_limits(limits, domains)
            divided.append([call.args[0] for call in divide_mock.call_args_list])
        return tuple(divided)

    def floor(self, account: str) -> AccountLimit:
        return self.limiter.share(account, 0.0)

    def grant(self, account: str, sequence: int) -> int:
        """Return the units granted to a router that asks for the whole slice."""
        demand = AccountDemand(account, 0, 10**6, 0)
        report = DemandReport("a/1", "a", "a", sequence, (demand,))
        granted = self.allocator.handle_report(report, float(sequence)).grants
        return granted[0].units if granted else 0


class LimitChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pair = _LimiterAndAllocator()
        self.first = self.pair.set_limits(LIMITS)

    def test_first_and_same_limits(self) -> None:
        self.assertEqual(self.first, (["x", "y", "z"], ["x", "y", "z"]))
        self.assertEqual(self.pair.set_limits(dict(LIMITS), DOMAINS[::-1]), ([], []))

    def test_one_changed_account_is_divided_and_applied(self) -> None:
        floor = self.pair.floor("x")
        granted = self.pair.grant("x", 1)
        for changed in (AccountLimit(12000, 60000.0), AccountLimit(12000, 120000.0)):
            self.assertEqual(self.pair.set_limits({**LIMITS, "y": changed}), (["y"], ["y"]))
        self.assertEqual(self.pair.floor("x"), floor)
        self.assertEqual(self.pair.floor("y").max_concurrent_requests, 6)
        self.assertEqual(self.pair.floor("y").max_tokens_per_s, 62)
        self.assertGreater(self.pair.grant("y", 2), granted)
        self.assertEqual(self.pair.set_limits(LIMITS), (["y"], ["y"]))

    def test_changed_domains_divide_all(self) -> None:
        granted = self.pair.grant("x", 1)
        self.assertEqual(self.pair.set_limits(LIMITS, ("a", "b")), (list(LIMITS), list(LIMITS)))
        self.assertEqual(self.pair.floor("x").max_concurrent_requests, 4)
        self.assertGreater(self.pair.grant("x", 2), granted)

    def test_removed_account_is_forgotten_and_starts_anew(self) -> None:
        self.pair.limiter.admit("y", 1, 0.0)
        self.pair.grant("y", 1)
        without = {name: limit for name, limit in LIMITS.items() if name != "y"}
        self.assertEqual(self.pair.set_limits(without), ([], []))
        refused = self.pair.limiter.admit("y", 1, 0.0)
        self.assertEqual(refused.outcome, LimitOutcome.REFUSED)
        self.assertIsNone(self.pair.limiter.next_report_s())
        self.assertEqual(self.pair.grant("y", 2), 0)
        self.assertEqual(self.pair.allocator.booked("y", 2.0), AccountLimit(0, 0))
        self.assertEqual(self.pair.set_limits(LIMITS), (["y"], ["y"]))
        self.assertEqual(self.pair.limiter.in_use("y"), 0)

    def test_failed_division_is_tried_again(self) -> None:
        changed = {**LIMITS, "y": AccountLimit(1, 1.0), "z": AccountLimit(2, 2.0)}
        with self.assertRaises(OverflowError):
            self.pair.set_limits(changed, divide=OverflowError)
        self.assertEqual(self.pair.set_limits(changed), (["y", "z"], ["y", "z"]))
