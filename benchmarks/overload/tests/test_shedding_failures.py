"""Failure tests of fleet-wide shedding: replicas that are lost or restart, and nonsense."""

from unittest import TestCase

from benchmarks.overload.fleet_shedding import CALM_S, SURGES, Replay, summarize
from damaskwind.decisions.admission.shed_counts import GroupCounts, ShedReport


def run_with_faults(strategy, *faults, routers=8):
    """Replay one account's surge; each fault is a time and an action on the replay."""
    replay = Replay(strategy, SURGES["account x6"], routers)
    replay.faults = [(at_s, lambda action=action: action(replay)) for at_s, action in faults]
    return replay.run()


def stop_replicas(replay):
    for replica in replay.replicas:
        replica.is_up = False


class FailureTest(TestCase):
    def ends(self, replay):
        return [caller.end for caller in replay.callers.values()]

    def test_without_replicas_all_decisions_are_those_of_each_router(self):
        # Guards against a difference from the behaviour before fleet-wide shedding.
        down = (0.0, stop_replicas)
        alone = self.ends(run_with_faults("replica", down))
        self.assertEqual(alone, self.ends(run_with_faults("previous", down)))

    def test_cut_offs_decay_when_replicas_are_lost_in_a_surge(self):
        replay = run_with_faults("replica", (CALM_S + 5.0, stop_replicas))
        by_time = dict(replay.shares)
        self.assertLess(max(by_time[CALM_S + 5.0]), 0.99)
        self.assertAlmostEqual(min(by_time[CALM_S + 12.0]), 1.0, places=12)

    def test_restart_of_the_followed_replica_changes_nothing(self):
        # Guards against cut-offs of a replica that has no counts yet, or of its earlier life.
        restart = (CALM_S + 5.0, lambda replay: replay.replicas[0].restart(2000))
        figures = summarize(run_with_faults("replica", restart))
        self.assertGreaterEqual(figures.kept_unaffected, 0.95)
        self.assertGreaterEqual(figures.admitted_in_time, 0.95)

    def test_nonsense_of_one_router_changes_nothing(self):
        def corrupt(replay):
            nonsense = ShedReport(7, -5, 10**9, (GroupCounts(1, 0, 10**9, -4),))
            replay.routers[0].report = lambda now_s: nonsense

        figures = summarize(run_with_faults("replica", (CALM_S, corrupt)))
        self.assertGreaterEqual(figures.kept_unaffected, 0.95)
        self.assertGreaterEqual(figures.admitted_in_time, 0.95)
