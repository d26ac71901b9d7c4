"""Tests of single allocator messages, each with the seeded fault that it detects."""

from unittest import TestCase

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.messages import (
    AccountDemand,
    AccountLimit,
    DemandReport,
    LimitPolicy,
)

POLICY = LimitPolicy()
START_S = 100.0


class NeverWaits(ShareAllocator):
    """Skips the learning phase, so grants what its predecessor may have leased."""

    def __init__(self, router_id, domain, policy, now_s, is_alone=False):
        super().__init__(router_id, domain, policy, now_s, True)


class AdoptsNothing(ShareAllocator):
    """Ignores leases granted by another allocator."""

    def _adopt(self, account, share, demand, now_s):
        pass


class AcceptsStaleReports(ShareAllocator):
    """Lets an old report overwrite the use that a newer one reported."""

    def _is_newer(self, report, name):
        return True


class AllocatorClient:
    """Reports demand to one allocator that has a slice of two units."""

    def __init__(self, allocator_class, is_alone=False):
        self.allocator = allocator_class("heir", "a", POLICY, START_S, is_alone)
        self.allocator.set_limits({"x": AccountLimit(2, 1000.0)}, ["a"])

    def units(self, router, sequence, now_s, in_use=0, wanted=0, **held):
        demand = AccountDemand("x", in_use, wanted, 0, **held)
        report = DemandReport(router, "a", "a", sequence, (demand,))
        grants = self.allocator.handle_report(report, now_s).grants
        return grants[0].units if grants else None


class ShareAllocatorTest(TestCase):
    def test_new_allocator_only_renews_reported_leases_for_one_lease(self):
        for allocator_class, first in ((ShareAllocator, 0), (NeverWaits, 2)):
            client = AllocatorClient(allocator_class)
            self.assertEqual(client.units("r", 1, START_S + 0.1, wanted=2), first)
            self.assertEqual(client.units("r", 2, START_S + POLICY.lease_s, wanted=2), 2)

    def test_lease_from_another_allocator_extends_the_learning_phase(self):
        later_s = START_S + 60.0
        old = {"held": 1, "held_remaining_ms": 4000, "granted_by": "before", "applied_sequence": 1}
        for allocator_class, other in ((ShareAllocator, 0), (AdoptsNothing, 1)):
            client = AllocatorClient(allocator_class)
            self.assertEqual(client.units("r1", 2, later_s, wanted=1, **old), 1)
            self.assertEqual(client.units("r2", 1, later_s, wanted=1), other)
            self.assertEqual(client.units("r2", 2, later_s + 4.0, wanted=1), 1)

    def test_stale_report_does_not_lower_the_use(self):
        for allocator_class, other in ((ShareAllocator, 0), (AcceptsStaleReports, 2)):
            client = AllocatorClient(allocator_class, is_alone=True)
            self.assertEqual(client.units("r1", 1, START_S, wanted=2), 2)
            client.units("r1", 3, START_S, in_use=2, applied_sequence=1)
            client.units("r1", 4, START_S, in_use=2, applied_sequence=3)
            client.units("r1", 2, START_S, in_use=0, applied_sequence=0)
            self.assertEqual(client.units("r2", 1, START_S, wanted=2), other)
