"""Tests of what one router knows of the tokens at engines, from sums and its own requests."""

import unittest

from damaskwind.decisions.load.engine_tokens import EngineTokens
from damaskwind.decisions.load.held_requests import SUM_TTL_S, target_digest
from damaskwind.decisions.load.request_cost import PromptPart, RequestCost
from damaskwind.decisions.load.token_sums import (
    MAX_NAMED_PARTS,
    MAX_REQUEST_TOKENS,
    HeldTokens,
    TokenAggregator,
    parts_of,
)

PART = PromptPart(7, 1_000)
COST = RequestCost((PART,), 100, 50)
TARGET = target_digest("a")


class EngineTokensTest(unittest.TestCase):
    def setUp(self):
        self.aggregator = TokenAggregator()
        self.router, self.other = EngineTokens(), EngineTokens()

    def exchange(self, router, name, now_s):
        self.aggregator.report(name, router.report_to("replica"), {TARGET: 9}, now_s)

    def test_part_in_use_by_two_routers_counts_once(self):
        self.other.record_sent(1, "a", COST, 0.0)
        self.router.record_sent(2, "a", COST, 0.0)
        self.exchange(self.other, "other", 0.0)
        self.exchange(self.router, "router", 0.0)
        self.router.observe_sums("replica", self.aggregator.total(0.2), 0.2)
        use = self.router.use("a", 0.2)
        self.assertEqual((use.held_tokens, use.prefill_tokens), (1_300, 2_200))
        self.assertEqual(COST.need_beside(use.held_parts), 150)
        # What this router sends and ends after its report is added and subtracted.
        self.router.record_sent(3, "a", COST, 0.3)
        self.assertEqual(self.router.use("a", 0.3).held_tokens, 1_450)
        self.router.record_ended(2, "a")
        self.router.record_ended(3, "a")
        self.assertEqual(self.router.use("a", 0.4).held_tokens, 1_150)

    def test_only_own_sends_count_once_the_sums_are_too_old(self):
        # Guards against a router, cut off from the replicas, that keeps an old view for ever.
        self.other.record_sent(1, "a", COST, 0.0)
        self.exchange(self.other, "other", 0.0)
        self.router.observe_sums("replica", self.aggregator.total(0.0), 0.0)
        self.assertEqual(self.router.use("a", 1.0).held_tokens, 1_150)
        late = self.router.use("a", SUM_TTL_S + 0.1)
        self.assertEqual((late.held_tokens, late.age_s), (0, None))

    def test_prefill_ends_as_the_answer_begins_and_a_forgotten_target_holds_nothing(self):
        self.router.record_sent(1, "a", COST, 0.0)
        self.router.record_started(1, "a")
        self.assertEqual(self.router.use("a", 0.1).prefill_tokens, 0)
        self.router.record_sent(2, "a", COST, 0.1)
        self.assertEqual(self.router.use("a", 0.1).prefill_tokens, 100)
        self.router.forget("a")
        self.router.record_ended(1, "a")
        self.assertEqual(self.router.use("a", 0.2)[:3], (0, 0, frozenset()))


class TokenAggregatorTest(unittest.TestCase):
    def test_reports_that_can_not_be_true_are_ignored(self):
        # Guards against one router whose report makes all engines appear full, or empty.
        bad = (
            HeldTokens(1, -5),
            HeldTokens(1, 1 << 40),
            HeldTokens(1, 0, -1),
            HeldTokens(1, 0, 0, (PromptPart(1, 1 << 40),)),
            HeldTokens(1, 0, 0, (PromptPart(1 << 20, 5),)),
            HeldTokens(2, MAX_REQUEST_TOKENS + 1),
        )
        sums = TokenAggregator()
        good = HeldTokens(1, 10, 5, (PART,))
        self.assertEqual(sums.report("r", (*bad, good), {1: 1}, 0.0), len(bad))
        (total,) = sums.total(0.0).targets
        self.assertEqual(total[:4], (1, 10, 1_000, 5))

    def test_sum_names_a_bounded_number_of_parts_and_drops_silent_routers(self):
        sums = TokenAggregator()
        parts = tuple(PromptPart(number, 10) for number in range(200))
        sums.report("r", (HeldTokens(1, 0, 0, parts),), {1: 1}, 0.0)
        (total,) = sums.total(0.0).targets
        self.assertEqual((total.shared_tokens, len(parts_of(total))), (2_000, MAX_NAMED_PARTS))
        self.assertEqual(sums.total(5.0).targets, ())
