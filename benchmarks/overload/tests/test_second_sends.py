"""A plain service whose targets are slow by turns, behind routers that make second sends.

Of four targets with six slots, 15% take 2.5 times as long, redrawn every 0.6 s; they report no
load, and 138 routers each see a few requests per second. Without second sends a request that
was sent to a slow target is answered late.
"""

import unittest
from statistics import mean

from benchmarks.overload.plain_service import PlainLoad, PlainParameters, simulate_plain

PARAMETERS = PlainParameters(objective_s=0.224, deadline_s=0.93)
# 29% of the requests are lookups, which may be sent twice.
UNEVEN = PlainLoad(
    0.5,
    routers=138,
    targets=4,
    seconds=12.0,
    slow_share=0.15,
    repeatable_share=0.286,
    drops_canceled=True,
)
SEEDS = (1, 2, 3)
# The bound over all routers: a ratio of the requests, plus a fixed slack, in any 10 s.
BUDGET_RATIO, BUDGET_SLACK = 0.2, 340


def simulate(strategy, load_multiple):
    load = UNEVEN._replace(load_multiple=load_multiple)
    return [simulate_plain(strategy, load, seed, PARAMETERS) for seed in SEEDS]


class SecondSendsTest(unittest.TestCase):
    def test_fewer_answers_are_late_while_there_are_free_slots(self):
        """Guards against requests that wait at a slow target while others have free slots."""
        before, after = simulate("pace", 0.5), simulate("hedge", 0.5)
        late_before, late_after = (mean(item.late for item in them) for them in (before, after))
        self.assertLess(late_after, 0.75 * late_before)
        shares = [mean(item.late_repeatable for item in them) for them in (before, after)]
        self.assertLess(shares[1], 0.5 * shares[0])

    def test_second_sends_are_few_while_slots_are_short(self):
        """Guards against second sends that add to an overload, or exceed their budget."""
        for totals in simulate("hedge", 1.3):
            with self.subTest(totals=totals):
                self.assertLess(totals.second_sends, 0.02)
                requests = 10 * 1.3 * 4 * 6 / 0.045
                bound = 0.5 * (BUDGET_RATIO * requests + BUDGET_SLACK)
                self.assertLess(totals.most_in_10_s, bound)
