"""Tests of the detection of slow targets."""

import unittest

from damaskwind.decisions.health.slow_targets import SlowTargetDetector


class SlowTargetDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = SlowTargetDetector()
        for number in range(30):
            self.detector.observe(f"t{number % 5}", 0.2, 0.0)

    def test_one_late_answer_does_not_make_a_target_slow(self):
        self.detector.observe("t0", 1.1, 0.0)
        self.assertFalse(self.detector.is_slow("t0", 0.0))

    def test_two_late_answers_or_one_very_late_one_make_a_target_slow(self):
        self.detector.observe("t0", 1.1, 0.0)
        self.detector.observe("t0", 1.1, 0.0)
        self.detector.observe("t1", 3.0, 0.0)
        self.assertTrue(self.detector.is_slow("t0", 0.1))
        self.assertTrue(self.detector.is_slow("t1", 0.1))

    def test_answer_in_time_resets_the_late_count(self):
        for fraction in (1.1, 0.3, 1.1):
            self.detector.observe("t0", fraction, 0.0)
        self.assertFalse(self.detector.is_slow("t0", 0.0))

    def test_slow_target_is_tried_again_and_one_late_answer_keeps_it_slow(self):
        self.detector.observe("t0", 3.0, 0.0)
        self.assertFalse(self.detector.is_slow("t0", 2.1))
        self.detector.observe("t0", 1.1, 2.1)
        self.assertTrue(self.detector.is_slow("t0", 2.2))

    def test_when_all_are_late_none_is_slow(self):
        for number in range(60):
            self.detector.observe(f"t{number % 5}", 1.5, 0.0)
        self.detector.observe("t0", 1.5, 10.0)
        self.assertFalse(self.detector.is_slow("t0", 10.0))
