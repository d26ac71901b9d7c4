"""Tests of the replay of fatal prompt parts, at fleets of several sizes.

Guards against a verdict that comes too late where each router sees few of the crashes, or that
falls on parts that targets answer.
"""

from unittest import TestCase

from benchmarks.fatal_parts import Scenario, simulate

SENDS_ALLOWED = 3
SEEDS = 5


class FatalPartsTest(TestCase):
    def figures(self, **changes):
        scenario = Scenario()._replace(**changes)
        return [simulate(scenario, "least", seed) for seed in range(SEEDS)]

    def test_few_sends_are_late_at_few_and_many_routers(self):
        for routers in (4, 8, 57):
            for run in self.figures(routers=routers, targets=12 * max(routers // 8, 1)):
                self.assertLessEqual(run.late, SENDS_ALLOWED)
                self.assertEqual(run.held_wrongly, 0)

    def test_nothing_is_held_where_targets_crash_by_themselves(self):
        for run in self.figures(fatal_per_s=0.0, ill_crashes_per_s=2.0):
            self.assertEqual(run.held_wrongly, 0)

    def test_whole_requests_alone_are_no_evidence(self):
        self.assertGreater(simulate(Scenario(), "whole", 0).late, SENDS_ALLOWED)
