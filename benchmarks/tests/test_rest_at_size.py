"""Targets that request a rest receive at most the allowed arrivals from many routers."""

import unittest

from benchmarks.rest_at_size import RestLoad, simulate

ARRIVALS_ALLOWED = 2
LOADS = (RestLoad(8, 12, seconds=18.0), RestLoad(57, 24, seconds=18.0))


class RestAtSizeTest(unittest.TestCase):
    def test_keeping_rest_requests_reduces_arrivals_and_serves_more(self):
        for load in LOADS:
            with self.subTest(load=load):
                forgotten, kept = (
                    simulate(strategy, load, 1) for strategy in ("forgotten", "kept")
                )
                self.assertGreater(forgotten.worst_arrivals, ARRIVALS_ALLOWED)
                self.assertLessEqual(kept.worst_arrivals, ARRIVALS_ALLOWED)
                self.assertGreater(kept.served, forgotten.served)


if __name__ == "__main__":
    unittest.main()
