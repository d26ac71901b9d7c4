"""Tests of the time to retry while routers know no configuration yet."""

import unittest
from random import Random

from damaskwind.decisions.admission.startup_retry import draw_startup_retry_after_s

ROUTERS = 87
CALLERS = 2000


def served_share(draw, configured_s, hears_s, random):
    """Return the share of refused callers that find a configuration at their only retry.

    Callers arrive evenly before the first router is configured. `configured_s` bounds when a
    router has a configuration and `hears_s` when it first hears a replica, both since its start.
    """
    routers = [random.uniform(*configured_s) for _ in range(ROUTERS)]
    served = 0
    for _ in range(CALLERS):
        at_s = random.uniform(0.0, configured_s[0])
        back_s = at_s + draw(at_s, at_s > hears_s, random)
        served += back_s >= random.choice(routers)
    return served / CALLERS


class StartupRetryTest(unittest.TestCase):
    def test_callers_refused_while_a_whole_fleet_starts_return_when_it_is_ready(self):
        """Guards against callers that return before any router has a configuration."""

        def fixed_delay(uptime_s, hears_replica, random):
            return max(0.8 - uptime_s, 0.3)

        fleet = {"configured_s": (0.9, 1.6), "hears_s": 0.7}
        before = served_share(fixed_delay, random=Random(1), **fleet)
        after = served_share(draw_startup_retry_after_s, random=Random(1), **fleet)
        self.assertLess(before, 0.2)
        self.assertGreater(after, 0.5)

    def test_callers_of_a_router_that_starts_alone_return_within_a_second(self):
        """Guards against long delays where a replica answers at once."""
        delays_s = [draw_startup_retry_after_s(0.1, True, Random(seed)) for seed in range(50)]
        self.assertLessEqual(max(delays_s), 1.0)

    def test_callers_do_not_all_return_at_once(self):
        """Guards against a surge of returning callers at one moment."""
        delays_s = [draw_startup_retry_after_s(0.0, False, Random(seed)) for seed in range(50)]
        self.assertGreater(max(delays_s) - min(delays_s), 0.5)


if __name__ == "__main__":
    unittest.main()
