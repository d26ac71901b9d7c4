"""Tests of target speeds: how figures age, and placement in fleets of uneven speed."""

import unittest

from damaskwind.decisions.admission.start_window import StartWindow, WindowPolicy
from damaskwind.decisions.load.probe_budget import MAX_PROBE_SHARE
from damaskwind.decisions.load.tests.speed_replay import (
    PREVIOUS,
    PROBES,
    SpeedFleet,
    SpeedReplay,
)
from damaskwind.decisions.load.work_speed import DISTRUST_S, WorkSpeeds

OLD, NEW = (1, 0), (2, 0)


class WorkSpeedsTest(unittest.TestCase):
    def test_lasting_figures_keep_their_weight_and_changing_ones_lose_it(self):
        fixed, changing = WorkSpeeds(), WorkSpeeds()
        for number in range(60):
            fixed.observe("a", OLD, 250, float(number))
            changing.observe("a", OLD, 100 if number % 2 else 250, 0.1 * number)
        self.assertGreater(fixed.weight(2.0), 0.8)
        self.assertLess(changing.weight(0.5), 0.1)
        self.assertEqual(changing.work_time("a", OLD, 60.0), 1.0)

    def test_figure_of_an_earlier_incarnation_never_counts(self):
        speeds = WorkSpeeds()
        speeds.observe("a", NEW, 100, 0.0)
        speeds.observe("a", OLD, 900, 0.1)
        self.assertEqual(speeds.work_time("a", NEW, 0.1), 1.0)
        self.assertIsNone(speeds.figure("a", OLD))

    def test_claim_to_be_fast_is_ignored_for_a_while_after_late_answers(self):
        speeds = WorkSpeeds()
        speeds.observe("a", OLD, 25, 0.0)
        begins = [speeds.observe_start("a", 1.5, 0.0) for _ in range(4)]
        self.assertEqual(begins, [False, False, True, False])
        self.assertEqual(speeds.work_time("a", OLD, 0.0), 1.0)
        speeds.observe("a", OLD, 25, DISTRUST_S + 0.1)
        self.assertLess(speeds.work_time("a", OLD, DISTRUST_S + 0.1), 0.3)

    def test_late_answers_of_a_slow_target_do_not_shrink_its_window(self):
        """Guards against holding requests back after the target has its usual speed again."""
        limits = []
        for work_time in (1.0, 2.5):
            window = StartWindow(WindowPolicy(initial_limit=8.0))
            for number in range(6):
                window.record_sent(number, 0.1 * number, 1.0)
                window.record_answer_started(number, 0.1 * number + 0.7, work_time)
            limits.append(window.limit)
        self.assertLess(limits[0], 8.0)
        self.assertEqual(limits[1], 8.0)


class UnevenSpeedCheck(unittest.TestCase):
    """Guards against late answers at 0.8 of the capacity because only requests are counted."""

    def check(self, fleet, seeds, share):
        runs = [[SpeedReplay(fleet, s, way).play() for s in seeds] for way in (PREVIOUS, PROBES)]
        before, after = (sum(run.late_share() for run in group) for group in runs)
        self.assertLessEqual(after, share * before, fleet)
        above = [sum(run.above_share() for run in group) for group in runs]
        self.assertLessEqual(above[1], above[0] + 0.001 * len(seeds), fleet)
        for run in runs[1]:
            self.assertLessEqual(run.probes, MAX_PROBE_SHARE * len(run.placements), fleet)
            self.assertEqual(run.late["plain"], runs[0][runs[1].index(run)].late["plain"])


class UnevenSpeedTest(UnevenSpeedCheck):
    def test_8_routers(self):
        self.check(SpeedFleet(8, 8, 0.8), (1, 2, 3), 0.5)

    def test_57_routers(self):
        self.check(SpeedFleet(57, 28, 0.8), (1, 2), 0.5)

    def test_refused_requests_allow_no_probes(self):
        """Guards against more probes than 5% of the sends under overload."""
        run = SpeedReplay(SpeedFleet(8, 8, 1.3), 1, PROBES).play()
        self.assertGreater(run.probes, 0)
        self.assertLessEqual(run.probes, MAX_PROBE_SHARE * len(run.placements))
