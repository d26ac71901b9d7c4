"""A plain service over capacity behind many routers.

One of three targets with six slots is left. Fifty-seven routers, each allowed one request there,
kept its queue of 24 full: at a load a quarter above its capacity, a fifth was answered in time
where three quarters could be, and over half was answered late. The simulation uses the routers'
own decisions; the bound is relative to what one schedule could serve in time.
"""

import unittest

from benchmarks.overload.plain_service import PlainLoad, simulate_plain

# Three targets at a load of 0.45, of which two are lost: 1.35 times the capacity of the last one.
ONE_LEFT = PlainLoad(0.45, routers=57, lost_targets=2, seconds=14.0)
SEEDS = (1, 2)
# The users require 0.9 of the reachable on-time value. This bound is more than halfway there
# from the 0.26 of the failure described above.
MIN_SHARE_OF_REACHABLE = 0.6


class PlainServiceTest(unittest.TestCase):
    def test_last_remaining_target_serves_in_time(self):
        for seed in SEEDS:
            totals = simulate_plain("pace", ONE_LEFT, seed)
            with self.subTest(seed=seed, totals=totals):
                self.assertGreater(totals.share_of_reachable, MIN_SHARE_OF_REACHABLE)
                self.assertLess(totals.late, 0.25)
                self.assertLess(totals.slow_refusals, 0.1)

    def test_nothing_is_refused_below_capacity(self):
        for routers in (8, 57):
            totals = simulate_plain("pace", PlainLoad(0.7, routers, seconds=8.0), 1)
            with self.subTest(routers=routers, totals=totals):
                self.assertEqual(totals.refused, 0.0)
                self.assertGreater(totals.in_time, 0.98)
