"""Tests of what a router remembers of its routes for a stop.

They guard against memory that grows with each route that is added and removed again.
"""

import unittest

from damaskwind.router.forwarding.stop_window import (
    REMEMBERED_ANSWERS,
    REMEMBERED_ROUTES,
    REMEMBERED_S,
    RouteDurations,
)


class RouteDurationsTest(unittest.TestCase):
    def test_route_without_answers_for_longest_is_forgotten_first(self):
        durations = RouteDurations()
        durations.record("first", 1.0, 0.0)
        durations.record("second", 2.0, 0.0)
        for number in range(REMEMBERED_ROUTES - 2):
            durations.record(f"route-{number}", 0.1, 0.0)
        durations.record("first", 3.0, 0.0)
        durations.record("one more", 0.1, 0.0)
        self.assertEqual(durations.longest_s("first", 0.0), 3.0)
        self.assertEqual(durations.longest_s("second", 0.0), float("inf"))

    def test_longest_of_the_latest_answers_counts(self):
        durations = RouteDurations()
        durations.record("r", 9.0, 0.0)
        for _ in range(REMEMBERED_ANSWERS):
            durations.record("r", 0.2, 1.0)
        self.assertEqual(durations.longest_s("r", 1.0), 0.2)

    def test_answers_of_long_ago_tell_nothing(self):
        durations = RouteDurations()
        durations.record("r", 0.2, 0.0)
        self.assertEqual(durations.longest_s("r", REMEMBERED_S + 1.0), float("inf"))
