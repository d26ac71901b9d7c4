"""The requirements on a surge that is shed by all routers alike."""

from unittest import TestCase

__all__ = ["RequirementsTestCase"]


class RequirementsTestCase(TestCase):
    def check_requirements(self, figures):
        self.assertGreaterEqual(figures.kept_unaffected, 0.95)
        self.assertGreaterEqual(figures.admitted_in_time, 0.95)
        self.assertGreaterEqual(figures.prompt_refusals, 0.95)
        self.assertLess(figures.spread, 0.05)
        self.assertGreaterEqual(figures.least_level, 0.25)
        self.assertGreaterEqual(figures.least_account, 0.25)
        # Loads are up to a second old, so that a few refusals meet a pool that has just emptied.
        self.assertLessEqual(figures.idle_refusals, 10)
