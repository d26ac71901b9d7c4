"""Tests of leased shares in simulated fleets, with loss, partitions and restarts."""

from unittest import TestCase

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.messages import AccountLimit
from damaskwind.decisions.limits.tests.fleet import STEP_S, Fleet

DOMAINS = ("a", "b", "c")


class NeverRecalls(ShareAllocator):
    """Never recalls units, which stay leased until the next renewal."""

    def _recall(self, *args):
        return False


class FleetTest(TestCase):
    def run_for(self, fleet, duration_s, per_step=None):
        """Step the fleet and check the limits after each step."""
        for _ in range(int(duration_s / STEP_S)):
            if per_step is not None:
                per_step()
            fleet.step()
            for account, limit in fleet.limits.items():
                share = fleet.total_share(account)
                self.assertLessEqual(share.max_concurrent_requests, limit.max_concurrent_requests)
                self.assertLessEqual(share.max_tokens_per_s, limit.max_tokens_per_s)
                self.assertLessEqual(fleet.total_running(account), limit.max_concurrent_requests)

    def uniform_load(self, fleet, account, duration_s=0.2, share=0.2):
        """Return a function that submits the same random load to every router."""

        def submit():
            for name in fleet.limiters:
                if fleet.random.random() < share:
                    fleet.request(name, account, duration_s)

        return submit

    def test_two_units_over_eight_routers_serve_any_router_in_turn(self):
        fleet = Fleet(DOMAINS, 3, {"small": AccountLimit(2, 1000.0)})
        for name in list(fleet.limiters)[:8]:
            fleet.request(name, "small", 0.1)
            self.run_for(fleet, 8.0)
            self.assertEqual(fleet.served.get(name), 1, name)

    def test_whole_limit_is_usable_from_one_router(self):
        fleet = Fleet(DOMAINS, 3, {"x": AccountLimit(12, 100_000.0)})

        def submit():
            while fleet.limiters["a/0"].in_use("x") + len(fleet.waiting) < 20:
                fleet.request("a/0", "x", 60.0)

        self.run_for(fleet, 6.0, submit)
        self.assertEqual(fleet.total_running("x"), 12)

    def test_shares_follow_demand(self):
        fleet = Fleet(("a",), 4, {"x": AccountLimit(8, 100_000.0)})
        for busy in ("a/0", "a/1"):

            def submit(busy=busy):
                fleet.request(busy, "x", 0.1)

            self.run_for(fleet, 10.0, submit)
            share = fleet.limiters[busy].share("x", fleet.now_s)
            self.assertGreaterEqual(share.max_concurrent_requests, 6, busy)

    def test_contended_limit_is_shared_fairly(self):
        fleet = Fleet(("a",), 4, {"x": AccountLimit(8, 100_000.0)})
        self.run_for(fleet, 20.0, self.uniform_load(fleet, "x", share=0.5))
        self.assertGreater(min(fleet.served.values()), 0.6 * max(fleet.served.values()))

    def test_limits_hold_under_loss_and_duplicates(self):
        for seed in range(3):
            fleet = Fleet(DOMAINS, 3, {"x": AccountLimit(7, 900.0)}, loss=0.3, seed=seed)
            self.run_for(fleet, 12.0, self.uniform_load(fleet, "x"))
            self.assertGreater(sum(fleet.served.values()), 100)

    def test_partitioned_domain_keeps_to_its_slice_and_recovers(self):
        fleet = Fleet(DOMAINS, 2, {"x": AccountLimit(30, 100_000.0)})
        load = self.uniform_load(fleet, "x", duration_s=0.5, share=0.6)
        self.run_for(fleet, 5.0, load)
        fleet.cut = {"a"}
        served = dict(fleet.served)
        self.run_for(fleet, 10.0, load)
        for name, before in served.items():
            self.assertGreater(fleet.served[name], before, name)
        domain_shares = [
            fleet.limiters[name].share("x", fleet.now_s) for name in fleet.routers["a"]
        ]
        self.assertLessEqual(sum(share.max_concurrent_requests for share in domain_shares), 10)
        fleet.cut = set()
        self.run_for(fleet, 5.0, load)

    def test_new_allocator_recovers_the_slice_after_its_learning_phase(self):
        fleet = Fleet(("a",), 4, {"x": AccountLimit(8, 1000.0)})
        load = self.uniform_load(fleet, "x")
        self.run_for(fleet, 5.0, load)
        failed = fleet.allocator_of("x", "a")
        fleet.routers["a"].remove(failed)
        successor = fleet.allocator_of("x", "a")
        fleet.start(successor, "a", fleet.now_s)
        self.run_for(fleet, 2.0, load)
        fleet.limiters.pop(failed)
        fleet.running.pop(failed)
        self.run_for(fleet, 8.0, load)
        share = fleet.total_share("x")
        self.assertGreaterEqual(share.max_concurrent_requests, 6)

    def test_router_without_any_allocator_has_its_floor(self):
        fleet = Fleet(("a",), 2, {"x": AccountLimit(6400, 6400.0)})
        self.run_for(fleet, 2.0, self.uniform_load(fleet, "x"))
        fleet.allocators.clear()
        self.run_for(fleet, 4.0, self.uniform_load(fleet, "x"))
        for limiter in fleet.limiters.values():
            self.assertEqual(limiter.share("x", fleet.now_s), AccountLimit(10, 10))

    def test_units_of_a_dead_router_are_freed_with_its_lease(self):
        fleet = Fleet(("a",), 3, {"x": AccountLimit(2, 1000.0)})
        dead = next(name for name in fleet.routers["a"] if name != fleet.allocator_of("x", "a"))
        for _ in range(2):
            fleet.request(dead, "x", 60.0)
        self.run_for(fleet, 1.0)
        self.assertEqual(fleet.total_running("x"), 2)
        fleet.limiters.pop(dead)
        fleet.running.pop(dead)
        allocator = fleet.allocators[fleet.allocator_of("x", "a")]
        self.run_for(fleet, 10.0)
        self.assertEqual(allocator.booked("x", fleet.now_s).max_concurrent_requests, 2)
        allocator.set_routers([name for name in fleet.routers["a"] if name != dead])
        self.assertEqual(allocator.booked("x", fleet.now_s).max_concurrent_requests, 0)

    def test_idle_fleet_sends_nothing(self):
        fleet = Fleet(DOMAINS, 2, {"x": AccountLimit(6, 1000.0)})
        self.run_for(fleet, 3.0, self.uniform_load(fleet, "x"))
        self.run_for(fleet, 12.0)
        before = len(fleet.sent_reports)
        self.run_for(fleet, 5.0)
        self.assertEqual(len(fleet.sent_reports), before)
        self.assertEqual(fleet.total_share("x"), AccountLimit(0, 0))

    def test_lost_report_is_sent_again_while_a_request_waits(self):
        fleet = Fleet(("a",), 3, {"x": AccountLimit(2, 1000.0)})
        requester = next(name for name in fleet.limiters if name != fleet.allocator_of("x", "a"))
        fleet.loss = 1.0
        fleet.request(requester, "x", 60.0)
        self.run_for(fleet, 0.1)
        fleet.loss = 0.0
        self.run_for(fleet, 0.6)
        self.assertEqual(fleet.served.get(requester), 1)

    def test_accounts_of_one_allocator_are_renewed_together(self):
        names = [f"account-{number}" for number in range(8)]
        fleet = Fleet(("a",), 3, dict.fromkeys(names, AccountLimit(30, 90_000.0)))
        for name in names:
            fleet.request("a/1", name, 60.0)
            self.run_for(fleet, 0.3)
        before = len(fleet.sent_reports)
        self.run_for(fleet, 10 * fleet.policy.renew_s)
        renewals = fleet.sent_reports[before:]
        groups = {}
        for name in names:
            groups.setdefault(fleet.allocator_of(name, "a"), set()).add(name)
        self.assertLess(len(groups), len(names))
        self.assertLessEqual(len(renewals), 11 * len(groups))
        for report in renewals:
            self.assertIn({demand.account for demand in report.demands}, groups.values())

    def test_idle_units_are_recalled_for_a_router_that_lacks_them(self):
        for allocator_class, served in ((ShareAllocator, 1), (NeverRecalls, None)):
            limits = {"x": AccountLimit(2, 1000.0)}
            fleet = Fleet(("a",), 3, limits, allocator_class=allocator_class)
            for _ in range(2):
                fleet.request("a/0", "x", 0.1)
            self.run_for(fleet, 0.5)
            self.assertEqual(fleet.served["a/0"], 2)
            fleet.request("a/1", "x", 0.1)
            self.run_for(fleet, 0.4)
            self.assertEqual(fleet.served.get("a/1"), served)
