"""Tests of the pace of a pool's targets."""

import unittest

from damaskwind.decisions.health.pace import PoolPace


class PoolPaceTest(unittest.TestCase):
    def setUp(self):
        self.pace = PoolPace()
        for number in range(30):
            self.pace.observe(f"t{number % 5}", 0.2, 0.0)

    def test_one_late_answer_is_no_pace(self):
        self.pace.observe("t0", 1.1, 0.0)
        self.assertFalse(self.pace.is_slow("t0", 0.0))

    def test_two_late_answers_or_one_very_late_one_are(self):
        self.pace.observe("t0", 1.1, 0.0)
        self.pace.observe("t0", 1.1, 0.0)
        self.pace.observe("t1", 3.0, 0.0)
        self.assertTrue(self.pace.is_slow("t0", 0.1))
        self.assertTrue(self.pace.is_slow("t1", 0.1))

    def test_answer_in_time_in_between_forgives(self):
        for part in (1.1, 0.3, 1.1):
            self.pace.observe("t0", part, 0.0)
        self.assertFalse(self.pace.is_slow("t0", 0.0))

    def test_slow_target_is_tried_again_and_one_late_answer_keeps_it_slow(self):
        self.pace.observe("t0", 3.0, 0.0)
        self.assertFalse(self.pace.is_slow("t0", 2.1))
        self.pace.observe("t0", 1.1, 2.1)
        self.assertTrue(self.pace.is_slow("t0", 2.2))

    def test_when_all_are_late_none_is_slow(self):
        for number in range(60):
            self.pace.observe(f"t{number % 5}", 1.5, 0.0)
        self.pace.observe("t0", 1.5, 10.0)
        self.assertFalse(self.pace.is_slow("t0", 10.0))
