"""Tests of the cost of a request, from headers that may be malformed."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.load.request_cost import (
    MAX_TOKENS,
    MeanCost,
    TokenHeaders,
    part_digest,
    read_token_headers,
    request_cost,
)

MEAN = MeanCost(900.0, 50.0)


def cost(usage=None, parts=None, hint=None):
    return request_cost(read_token_headers(TokenHeaders(usage, parts, hint)), MEAN)


class RequestCostTest(unittest.TestCase):
    def test_parts_held_at_the_target_count_once(self):
        found = cost(b"11812,380", b"a:10000,b:512,own:1300")
        self.assertEqual(found.need_tokens, 12_192)
        self.assertEqual(found.need_beside({part_digest(b"a"), part_digest(b"b")}), 1_680)
        self.assertEqual(found.prefill_tokens({part_digest(b"a")}), 1_812)

    def test_prompt_is_the_larger_of_the_parts_and_the_usage(self):
        # Guards against a caller that understates one of them.
        self.assertEqual(cost(b"100,10", b"a:500,own:50").prompt_tokens, 550)
        self.assertEqual(cost(b"900,10", b"a:500,own:50").own_tokens, 400)

    def test_hint_lowers_the_output_and_never_raises_it_above_its_bound(self):
        self.assertEqual(cost(b"10,400", None, b"90").output_tokens, 180)
        self.assertEqual(cost(b"10,400", None, b"9000").output_tokens, 400)

    def test_request_without_usable_figures_counts_as_the_mean_of_its_route(self):
        for usage in (None, b"", b"x", b"1", b"-1,5", b"1,2,3", b"9" * 40 + b",1"):
            with self.subTest(usage=usage):
                self.assertEqual(cost(usage, b"a:x,own").need_tokens, 950)

    @given(st.binary(max_size=40), st.binary(max_size=40), st.binary(max_size=20))
    def test_any_headers_give_figures_within_bounds(self, usage, parts, hint):
        found = cost(usage, parts, hint)
        self.assertGreaterEqual(min(found.own_tokens, found.output_tokens), 0)
        self.assertLessEqual(found.own_tokens, MAX_TOKENS * 40)
