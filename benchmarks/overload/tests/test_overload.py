"""Surges on modelled engines: admission control prevents the collapse of immediate sending."""

from random import Random
from unittest import TestCase

from benchmarks.overload.__main__ import capacity_per_s
from benchmarks.overload.patterns import PATTERNS
from benchmarks.overload.simulation import Simulation

ENGINES = 2
ROUTERS = 4


def simulate(name, load, admits, seed=1, routers=ROUTERS, engines=ENGINES):
    pattern = PATTERNS[name](capacity_per_s(engines), load, Random(seed))
    return Simulation(pattern, admits, seed, engines, routers).run()


class ManyRoutersTest(TestCase):
    """Many routers, each with a partial observation of the surge, must not overload the engines.

    Each router may always have one request starting at each engine. With 65 routers more
    requests were in flight than 12 engines could start in time: 399 requests/s were served in
    time, against 300 with 8 routers and 6 engines, and 96 of 100 refusals came late. With 40
    routers and four engines, as here, 90 of 100 refusals came late, and 55 with a bound for
    the pool.
    """

    def test_many_routers_serve_as_much_as_few(self):
        few = simulate("all_kinds", 2.0, True, engines=4)
        many = simulate("all_kinds", 2.0, True, engines=4, routers=40)
        self.assertGreater(many.on_time_per_s, 0.75 * few.on_time_per_s)
        self.assertLess(many.slow_refusals, 0.7)

    def test_many_routers_refuse_nothing_at_calm_load(self):
        calm = simulate("all_kinds", 0.35, True, routers=40)
        self.assertEqual(calm.refused, 0)
        self.assertGreater(min(calm.on_time_by_kind.values()), 0.9)


class SurgeTest(TestCase):
    def test_surge_of_all_kinds_does_not_collapse(self):
        before = simulate("all_kinds", 2.0, admits=False)
        after = simulate("all_kinds", 2.0, admits=True)
        self.assertGreater(after.on_time_value, 2 * before.on_time_value)
        self.assertGreater(before.left_unanswered / before.asked, 0.2)
        self.assertLess(after.left_unanswered / after.asked, 0.01)

    def test_more_urgent_kinds_are_served_no_worse(self):
        shares = simulate("all_kinds", 2.0, admits=True).on_time_by_kind
        self.assertGreater(shares["dispute"], shares["digest"] - 0.05)
        self.assertGreater(shares["digest"], shares["chat"] - 0.05)

    def test_immediate_retries_do_not_cause_a_collapse(self):
        before = simulate("returns_at_once", 2.0, admits=False)
        after = simulate("returns_at_once", 2.0, admits=True)
        self.assertGreater(after.on_time_value, 2 * before.on_time_value)

    def test_nothing_is_refused_at_calm_load(self):
        calm = simulate("all_kinds", 0.35, admits=True)
        self.assertEqual(calm.refused, 0)
        self.assertGreater(min(calm.on_time_by_kind.values()), 0.9)
