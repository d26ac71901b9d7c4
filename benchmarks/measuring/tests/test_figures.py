"""Skew, reuse, control traffic and first-token figures follow their definitions."""

from collections import Counter
from unittest import TestCase

from benchmarks.measuring.control_traffic import ControlSample, highest_rate
from benchmarks.measuring.figures import reuse_by_phase, skew_figures
from benchmarks.measuring.first_token import (
    FirstToken,
    slow_requests,
    slowest,
    slowest_by_part,
    split_delay,
)
from benchmarks.measuring.tests.builders import outcome_of, turn_at


def sample(loads: dict, largest_tokens: int, **changes) -> dict:
    """Return one sample of the engines' loads."""
    requests = dict.fromkeys(loads, 1)
    fields = {"time_s": 12.0, "load_tokens": loads, "requests": requests, "down": []}
    fields |= {"largest_request_tokens": largest_tokens, "load_by_user": {}}
    return fields | changes


class TestReuse(TestCase):
    def test_reuse_is_a_ratio_in_each_phase(self):
        quiet = outcome_of(turn_at(0.0, 1, ("a",)), cached_tokens=30)
        churn = outcome_of(turn_at(1.0, 2, ("b",), "churn"), cached_tokens=10)
        ideal = Counter({"quiet": 40, "churn": 10, "empty": 0})
        self.assertEqual(reuse_by_phase([quiet, churn], ideal), {"quiet": 0.75, "churn": 1.0})


class TestSkew(TestCase):
    def test_the_bound_is_the_factor_times_the_mean_and_one_request(self):
        within = skew_figures([sample({"a": 100, "b": 40}, 13)], 1.25, 10.0)
        self.assertEqual((within.worst_excess_tokens, within.share_over_bound), (-0.5, 0.0))
        over = skew_figures([sample({"a": 100, "b": 40}, 10)], 1.25, 10.0)
        self.assertEqual((over.worst_excess_tokens, over.share_over_bound), (2.5, 1.0))
        self.assertEqual((within.over_bound, over.over_bound), ([], [(2.0, 2.5)]))

    def test_the_ratio_is_highest_over_mean_from_the_start(self):
        skew = skew_figures([sample({"a": 90, "b": 30}, 1)], 1.25, 10.0)
        self.assertEqual((skew.worst_ratio, skew.series), (1.5, [(2.0, 60.0, 90)]))

    def test_engines_that_are_down_are_left_out(self):
        skew = skew_figures([sample({"a": 50, "b": 50, "c": 900}, 1, down=["c"])], 1.25, 10.0)
        self.assertEqual((skew.worst_ratio, skew.worst_excess_tokens), (1.0, -13.5))

    def test_few_requests_give_no_ratio_but_still_an_excess(self):
        few = sample({"a": 90, "b": 0}, 1, requests={"a": 1, "b": 0})
        skew = skew_figures([few], 1.25, 10.0)
        self.assertEqual((skew.worst_ratio, skew.worst_excess_tokens), (0.0, 32.8))

    def test_an_account_counts_once_it_fills_every_engine(self):
        users = {"large": {"a": 90, "b": 30}, "small": {"a": 5}}
        skew = skew_figures([sample({"a": 95, "b": 30}, 10, load_by_user=users)], 1.25, 10.0)
        self.assertEqual(skew.worst_ratio_by_account, {"large": 1.5})


class TestControlTraffic(TestCase):
    def test_the_highest_rate_is_over_a_moving_span(self):
        totals = (0, 100, 100, 900, 1000)
        samples = [ControlSample(float(at), total, 0) for at, total in enumerate(totals)]
        self.assertEqual(highest_rate(samples, 1.0), 800.0)
        self.assertEqual(highest_rate(samples, 2.0), 450.0)
        self.assertIsNone(highest_rate(samples, 10.0))


class TestFirstToken(TestCase):
    RECORD = {
        "client_account": "account",
        "choices": [{"at_ms": 20.0}, {"at_ms": 60.0}, {"at_ms": 75.0}],
        "events": [{"at_ms": 21.0, "event": "queued"}, {"at_ms": 70.0, "event": "retry: x"}],
        "attempts": [{"started_ms": 60.0}, {"started_ms": 75.0}],
    }

    def test_the_parts_add_up_to_the_delay(self):
        parts = split_delay(FirstToken("a", 90.0, 5.0), self.RECORD)
        self.assertEqual(
            parts,
            {
                "limit": 20.0,
                "placement": 1.0,
                "queue": 39.0,
                "retries": 15.0,
                "sockets and loops": 15.0,
                "way back": 5.0,
            },
        )

    def test_one_in_twenty_is_slow(self):
        first_tokens = [FirstToken(str(number), float(number), 0.0) for number in range(40)]
        self.assertEqual([token.request_id for token in slowest(first_tokens)], ["39", "38"])

    def test_the_largest_part_comes_first(self):
        parts = slowest_by_part(slow_requests([FirstToken("a", 90.0, 5.0)], {"a": self.RECORD}))
        self.assertEqual((parts[0].part, parts[0].requests), ("queue", 1))
        self.assertAlmostEqual(sum(part.share for part in parts), 1.0, 2)

    def test_without_records_there_are_no_shares(self):
        self.assertEqual(slowest_by_part(slow_requests([FirstToken("a", 90.0, 5.0)], {})), [])
