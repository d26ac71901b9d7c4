"""A plain service beyond its places, before many routers.

One target of six places was left of three. Fifty-seven routers, each of which may have a request
there, kept its queue of 24 full: of a load that asks a quarter more than it can serve, a fifth was
answered in time where three quarters could be, and over half was answered late. Played here with
the routers' own decisions; what one schedule could serve in time is the bound's measure.
"""

import unittest

from benchmarks.overload.plain_service import PlainLoad, simulate_plain

# Three targets at 0.45 of their places, of which two go: 1.35 times what the last one serves.
ONE_LEFT = PlainLoad(0.45, routers=57, lost_targets=2, seconds=14.0)
SEEDS = (1, 2)
# The users' figure for on-time value is 0.9 of what is reachable; more than half of the way
# there from the 0.26 that was seen.
MIN_SHARE_OF_REACHABLE = 0.6


class PlainServiceTest(unittest.TestCase):
    def test_target_that_is_left_alone_serves_in_time(self):
        for seed in SEEDS:
            totals = simulate_plain("pace", ONE_LEFT, seed)
            with self.subTest(seed=seed, totals=totals):
                self.assertGreater(totals.share_of_reachable, MIN_SHARE_OF_REACHABLE)
                self.assertLess(totals.late, 0.25)
                self.assertLess(totals.slow_refusals, 0.1)

    def test_nothing_is_turned_away_while_there_is_room(self):
        for routers in (8, 57):
            totals = simulate_plain("pace", PlainLoad(0.7, routers, seconds=8.0), 1)
            with self.subTest(routers=routers, totals=totals):
                self.assertEqual(totals.refused, 0.0)
                self.assertGreater(totals.in_time, 0.98)
