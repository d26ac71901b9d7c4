"""Targets that ask for rest before many routers get no more than the users allow."""

import unittest

from benchmarks.rest_at_size import RestLoad, simulate

ARRIVALS_ALLOWED = 2
LOADS = (RestLoad(8, 12, seconds=18.0), RestLoad(57, 24, seconds=18.0))


class RestAtSizeTest(unittest.TestCase):
    def test_kept_words_leave_targets_alone_and_serve_more(self):
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
