from unittest import TestCase

from damaskwind.decisions.membership.messages import News, RouterState, Tombstone
from damaskwind.decisions.membership.outputs import (
    LoadHeard,
    RouterGone,
    RouterJoined,
    TargetChanged,
    TargetGone,
)
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.decisions.membership.tests.samples import Network, announcement, router
from damaskwind.model.targets import TargetState


def leaving(sequence: int = 2, incarnation: int = 1):
    return announcement(sequence=sequence, incarnation=incarnation, state=TargetState.LEAVING)


class MembershipCoreTest(TestCase):
    def converged(self, domains: list[str], seed: int = 1) -> Network:
        network = Network(domains, seed)
        self.assertTrue(network.run_until(lambda: network.all_have_routers(len(domains)), 60.0))
        return network

    def test_eight_routers_in_three_domains_find_each_other(self):
        network = self.converged(list("abcabcab"))
        self.assertTrue(network.announce(4, announcement(domain="b")))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(1), 2.0))

    def test_a_leave_reaches_fifty_routers_within_two_seconds(self):
        network = self.converged(["a"] * 50)
        network.announce(3, announcement(lease_s=60.0))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(1), 10.0))
        self.assertTrue(network.announce(7, leaving()))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(0), 2.0))
        network.run(20.0)
        self.assertTrue(network.all_have_targets(0))

    def test_a_stale_announcement_after_the_leave_is_refused_everywhere(self):
        network = self.converged(["a"] * 5)
        network.announce(0, announcement(sequence=1))
        network.announce(1, leaving(sequence=2))
        network.run(3.0)
        for index in range(5):
            self.assertFalse(network.announce(index, announcement(sequence=9)))
        self.assertTrue(network.announce(2, announcement(incarnation=2)))

    def test_a_router_that_missed_the_leave_receives_it_later(self):
        network = self.converged(["a"] * 4)
        network.announce(0, announcement(lease_s=60.0))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(1), 5.0))
        network.delivers = lambda source, target: "router-03" not in (source, target)
        network.announce(1, leaving())
        network.run(12.0)
        self.assertEqual(len(network.core(3).targets(network.now_s)), 1)
        network.delivers = lambda source, target: True
        self.assertTrue(network.run_until(lambda: network.all_have_targets(0), 30.0))

    def test_a_lease_expires_everywhere_without_communication(self):
        network = self.converged(["a"] * 6)
        network.announce(0, announcement(lease_s=6.0))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(1), 3.0))
        network.run(7.0)
        self.assertTrue(network.all_have_targets(0))
        reasons = {e.reason.name for _, _, e in network.events if isinstance(e, TargetGone)}
        self.assertEqual(reasons, {"LAPSED"})

    def test_an_expired_lease_is_propagated_to_another_domain(self):
        network = self.converged(list("aaabbb"))
        network.announce(0, announcement(lease_s=10.0))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(1), 8.0))
        # Far sooner than the confirmation of a whole domain expires, which takes three minutes.
        self.assertTrue(network.run_until(lambda: network.all_have_targets(0), 20.0))

    def test_a_new_router_in_a_large_domain_expires_no_leases_during_warm_up(self):
        network = Network([])
        core = network.add(router(0), MembershipParameters(warm_up_s=90.0))
        for index in range(30):
            core.announce(announcement(f"target-{index}", lease_s=6.0), 0.0)
        core.tick(2.0)
        core.tick(50.0)
        self.assertEqual(len(core.targets(50.0)), 30)
        core.tick(61.0)
        self.assertEqual(core.targets(61.0), [])

    def test_renewals_received_by_one_router_keep_the_target_live_everywhere(self):
        network = self.converged(["a"] * 6)
        for sequence in range(1, 21):
            network.announce(0, announcement(sequence=sequence, load_tokens=sequence))
            network.run(2.0)
        self.assertTrue(network.all_have_targets(1))
        self.assertFalse([e for _, _, e in network.events if isinstance(e, TargetGone)])
        loads = [e.report for _, name, e in network.events if isinstance(e, LoadHeard)]
        self.assertGreaterEqual(max(report.load_tokens for report in loads), 18)

    def test_a_path_that_fails_in_one_direction_causes_no_suspicion(self):
        network = self.converged(["a"] * 5)
        network.events.clear()
        before = sum(core.suspicions for core in network.cores.values())
        network.delivers = lambda source, target: (source, target) != ("router-01", "router-02")
        network.run(60.0)
        self.assertEqual(sum(core.suspicions for core in network.cores.values()), before)
        self.assertFalse([e for _, _, e in network.events if isinstance(e, RouterGone)])

    def test_a_dead_router_is_detected_and_rejoins_after_its_restart(self):
        network = self.converged(["a"] * 5)
        del network.cores[router(2).address]
        self.assertTrue(network.run_until(lambda: network.all_have_routers(4), 40.0))
        network.add(router(2, incarnation=5))
        self.assertTrue(network.run_until(lambda: network.all_have_routers(5), 60.0))
        self.assertGreaterEqual(network.core(0).router_table.get("router-02").incarnation, 5)

    def test_a_router_restarted_with_a_lower_incarnation_raises_it_above_the_old_one(self):
        network = self.converged(["a"] * 4)
        del network.cores[router(2).address]
        self.assertTrue(network.run_until(lambda: network.all_have_routers(3), 40.0))
        network.add(router(2, incarnation=0))
        self.assertTrue(network.run_until(lambda: network.all_have_routers(4), 90.0))
        self.assertGreater(network.core(2).router_table.own_record.incarnation, 1)

    def test_a_live_router_refutes_its_death(self):
        network = self.converged(["a"] * 3)
        core = network.core(1)
        dead = router(1)._replace(state=RouterState.DEAD, incarnation=4)
        network.apply_output(
            core, core.receive("router-00", 1, router(0).address, News((dead,)), 99.0)
        )
        self.assertEqual(core.router_table.own_record.incarnation, 5)
        self.assertEqual(core.router_table.own_record.state, RouterState.ALIVE)

    def test_a_partitioned_domain_keeps_working_and_merges_again(self):
        network = self.converged(list("aaabbb"))
        partitioned = {"router-03", "router-04", "router-05"}
        network.announce(0, announcement("in-a", lease_s=60.0))
        network.announce(3, announcement("in-b", domain="b", lease_s=60.0))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(2), 20.0))
        network.delivers = lambda source, target: (source in partitioned) == (target in partitioned)
        network.run(30.0)
        self.assertEqual(len(network.core(4).router_table.ring("b")), 3)
        self.assertEqual(len(network.core(1).router_table.ring("a")), 3)
        network.announce(4, announcement("new-in-b", domain="b", lease_s=60.0))
        network.announce(5, announcement("in-b", domain="b", sequence=2, lease_s=60.0))
        network.announce(1, announcement("in-a", sequence=2, lease_s=60.0))
        network.delivers = lambda source, target: True
        self.assertTrue(network.run_until(lambda: network.all_have_routers(6), 120.0))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(3), 60.0))

    def test_a_flapping_target_is_suppressed_and_later_reused(self):
        network = self.converged(["a"])
        for incarnation in range(1, 6):
            network.announce(0, announcement(incarnation=incarnation, lease_s=60.0))
            network.run(0.5)
            network.announce(0, leaving(incarnation=incarnation))
            network.run(0.5)
        network.announce(0, announcement(incarnation=9, lease_s=60.0))
        changed = [e for _, _, e in network.events if isinstance(e, TargetChanged)]
        self.assertEqual([e.target.incarnation for e in changed], [1, 2, 3])
        self.assertEqual(network.core(0).targets(network.now_s), [])
        self.assertTrue(network.run_until(lambda: network.all_have_targets(1), 55.0))
        self.assertEqual(network.core(0).targets(network.now_s)[0].target_id, "target")
        gone = [e for _, _, e in network.events if isinstance(e, TargetGone)]
        self.assertEqual(len(gone), 5)

    def test_duplicated_and_reordered_messages_change_nothing(self):
        network = self.converged(["a"] * 6)
        network.copies = 3
        for sequence in range(1, 8):
            network.announce(sequence % 6, announcement(sequence=sequence))
            network.run(1.0)
        self.assertTrue(network.all_have_targets(1))
        network.announce(0, leaving(sequence=9))
        network.run(10.0)
        self.assertTrue(network.all_have_targets(0))
        self.assertTrue(network.all_have_routers(6))

    def test_a_clock_that_goes_back_is_ignored(self):
        network = self.converged(["a"] * 3)
        network.announce(0, announcement(lease_s=6.0))
        core = network.core(0)
        for now_s in (network.now_s - 50.0, -1.0, 0.0):
            core.tick(now_s)
            core.announce(announcement(sequence=2), now_s)
        self.assertEqual(len(core.targets(0.0)), 1)
        core.tick(core.now_s + 100.0)
        self.assertEqual(core.targets(0.0), [])

    def test_a_tombstone_of_an_unknown_target_rejects_its_old_record(self):
        network = self.converged(["a"] * 2)
        core = network.core(1)
        tombstone = Tombstone("target", 3, 5, reason=1, failure_domain="a", age_s=2.0)
        core.receive("router-00", 1, router(0).address, News(tombstones=(tombstone,)), 50.0)
        outcome, _ = core.announce(announcement(incarnation=3, sequence=99), 50.0)
        self.assertFalse(outcome.accepted)
        self.assertEqual(outcome.incarnation, 3)

    def test_an_announcement_too_large_for_a_datagram_is_refused_as_too_large(self):
        network = self.converged(["a"])
        outcome, _ = network.core(0).announce(announcement("t" * 1000), 50.0)
        self.assertTrue(outcome.too_large and not outcome.accepted)

    def test_a_router_that_leaves_is_gone_at_once(self):
        network = self.converged(["a"] * 4)
        network.events.clear()
        core = network.core(3)
        network.apply_output(core, core.leave(network.now_s))
        del network.cores[router(3).address]
        self.assertTrue(network.run_until(lambda: network.all_have_routers(3), 2.0))
        network.run(30.0)
        self.assertFalse([e for _, _, e in network.events if isinstance(e, RouterJoined)])
