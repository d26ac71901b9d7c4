"""Tests of the load levels and of the share that spills."""

from unittest import TestCase

from damaskwind.decisions.load.bound import SpillRamp, levels_for, spill_draw, spill_share

RAMP = SpillRamp(0.5, 1.0, 0.1)


class LevelsTest(TestCase):
    """Levels between the mean and the bound."""

    def test_an_older_report_makes_spilling_more_gradual(self) -> None:
        fresh = levels_for(RAMP, 1000.0, 1.25, 50.0, 0.0, 1e9)
        old = levels_for(RAMP, 1000.0, 1.25, 100.0, 0.0, 1e9)
        self.assertLess(old.start_tokens, fresh.start_tokens)
        self.assertGreater(old.full_tokens, fresh.full_tokens)
        self.assertEqual(old.bound_tokens, 1250.0)

    def test_two_requests_on_an_idle_pool_make_no_target_hot(self) -> None:
        levels = levels_for(RAMP, 100.0, 1.25, 0.0, 600.0, 1e9)
        self.assertEqual(spill_share(300.0, levels), 0.0)
        self.assertEqual(levels.bound_tokens, 700.0)

    def test_no_level_is_over_the_capacity(self) -> None:
        self.assertLessEqual(max(levels_for(RAMP, 1000.0, 1.25, 50.0, 0.0, 900.0)), 900.0)

    def test_the_share_rises_from_none_to_all(self) -> None:
        levels = levels_for(RAMP, 1000.0, 1.25, 50.0, 0.0, 1e9)
        loads = (0.0, levels.start_tokens, 1125.0, levels.full_tokens, 5000.0)
        self.assertEqual([spill_share(load, levels) for load in loads], [0.0, 0.0, 0.5, 1.0, 1.0])


class DrawTest(TestCase):
    """Draws are equal on every router and uniform over chats."""

    def test_draws_are_uniform_and_independent_by_target(self) -> None:
        draws = [spill_draw(str(i).encode(), 1) for i in range(4000)]
        self.assertLess(abs(sum(draw < 0.3 for draw in draws) / 4000 - 0.3), 0.03)
        others = [spill_draw(str(i).encode(), 2) for i in range(4000)]
        both = sum(a < 0.3 and b < 0.3 for a, b in zip(draws, others, strict=True))
        self.assertLess(abs(both / 4000 - 0.09), 0.02)
