"""The oracle placement reuses every prompt token that is still cached."""

from unittest import TestCase

from benchmarks.measuring.all_knowing import all_knowing_reuse, turn_chain
from benchmarks.measuring.tests.builders import MODEL, turn_at

ALWAYS_UP = {"a": [], "b": []}
LARGE_TOKENS = 10_000


class TestAllKnowing(TestCase):
    def cached_tokens(self, turn) -> int:
        """Return the tokens that the earlier turns of its chat left in a cache."""
        return sum(prefix.tokens for prefix in turn_chain(turn, MODEL)[:-2])

    def test_a_continued_chat_reuses_its_whole_history(self):
        second = turn_at(1.0, 1, ("first question", "second question"))
        turns = [turn_at(0.0, 1, ("first question",)), second]
        reused = all_knowing_reuse(turns, MODEL, ALWAYS_UP, LARGE_TOKENS)
        self.assertEqual(reused["quiet"], self.cached_tokens(second))

    def test_evicted_prefixes_are_not_reused(self):
        turns = [
            turn_at(0.0, 1, ("first question",)),
            turn_at(1.0, 1, ("first question", "second question")),
        ]
        self.assertEqual(all_knowing_reuse(turns, MODEL, ALWAYS_UP, 1)["quiet"], 0)

    def test_an_engine_that_is_down_is_not_reused(self):
        spans = {"a": [(0.5, 2.0)], "b": [(0.5, 2.0)], "late": [(0.0, 0.5)]}
        turns = [
            turn_at(0.0, 1, ("first question",)),
            turn_at(1.0, 1, ("first question", "second question")),
        ]
        self.assertEqual(all_knowing_reuse(turns, MODEL, spans, LARGE_TOKENS)["quiet"], 0)

    def test_reuse_is_counted_in_the_phase_of_the_turn(self):
        second = turn_at(1.0, 1, ("first question", "second question"), "churn")
        turns = [turn_at(0.0, 1, ("first question",)), second]
        reused = all_knowing_reuse(turns, MODEL, ALWAYS_UP, LARGE_TOKENS)
        self.assertEqual((reused["quiet"], reused["churn"]), (0, self.cached_tokens(second)))
