"""Tests of load estimates from many routers, each with few reports of each target."""

import unittest
from random import Random

from damaskwind.decisions.load.held_requests import (
    SUM_TTL_S,
    LoadEstimator,
    LoadSource,
    TargetLoad,
    parse_target_load,
    target_digest,
)
from damaskwind.decisions.load.held_sums import HeldCount, HeldSum
from damaskwind.decisions.placement.affinity import (
    AffinityPolicy,
    Candidate,
    choose_target,
    policy_for,
)

TARGETS = [f"t{number}" for number in range(30)]
PER_S = 240.0
LASTS_S = 0.8
SECONDS = 12


class Replay:
    """A steady stream of requests for many parts, each sent to a random router."""

    def __init__(self, routers, hot_share=0.0, policy=None):
        self.policy = policy or policy_for(routers)
        self.random = Random(7)
        self.estimators = [LoadEstimator() for _ in range(routers)]
        self.ends = {name: [] for name in TARGETS}
        self.first_s = {}
        self.sent = self.away = self.above = 0
        for step in range(int(SECONDS * PER_S)):
            is_hot = self.random.random() < hot_share
            key = b"hot" if is_hot else b"%d" % self.random.randrange(600)
            self.request(key, step / PER_S)

    def request(self, key, now_s):
        loads = self.random.choice(self.estimators)
        self.end_due_requests(now_s)
        known = loads.estimates(TARGETS, len(self.estimators), now_s)
        candidates = [Candidate(name, "d", known[name], 128, False) for name in TARGETS]
        choice = choose_target(candidates, key, "d", self.policy, self.random)
        name = choice.candidate.target_id
        held = {other: len(ends) for other, ends in self.ends.items()}
        if now_s > 2.0:
            self.sent += 1
            self.away += choice.rank > 0
            self.above += held[name] > 2 * sum(held.values()) / len(TARGETS) + 3
        loads.record_sent(name)
        loads.observe_report(name, TargetLoad(held[name] + 1, 0, 128), now_s)
        self.ends[name].append((now_s + LASTS_S, loads))

    def end_due_requests(self, now_s):
        for name, ends in self.ends.items():
            for end_s, loads in ends:
                if end_s <= now_s:
                    loads.record_ended(name)
            self.ends[name] = [item for item in ends if item[0] > now_s]


class ParsedLoadTest(unittest.TestCase):
    def test_malformed_fourth_figure_keeps_the_first_three(self):
        """All reports of targets that send a fourth figure were discarded."""
        work_times = {b"": None, b"x": None, b"1,2": None, b"100": 100, b"-9": None, b"9999": 1000}
        for text, percent in work_times.items():
            load = parse_target_load(b"3,0,8," + text)
            self.assertEqual(load, TargetLoad(3, 0, 8, percent), text)
        for text in (b"", b"3,0", b"3,0,x", b"3,0,,100"):
            self.assertIsNone(parse_target_load(text), text)


class ColdStartTest(unittest.TestCase):
    def test_own_requests_to_a_target_without_reports_count_for_other_routers_too(self):
        loads = LoadEstimator()
        loads.record_sent("a")
        self.assertEqual(loads.estimates(["a", "b"], 8, 0.0), {"a": 8.0, "b": 0.0})
        self.assertEqual(loads.estimates(["a", "b"], 2100, 0.0), {"a": 8.0, "b": 0.0})


class SumTest(unittest.TestCase):
    def setUp(self):
        self.loads = LoadEstimator()

    def receive_sum(self, replica="replica", now_s=1.0, routers=8, age_s=0.5, **held):
        counts = tuple(HeldCount(target_digest(name), count) for name, count in held.items())
        self.loads.observe_sum(replica, HeldSum(counts, routers, age_s), now_s)

    def estimate(self, now_s, target="a"):
        return self.loads.estimates(["a", "b"], 8, now_s)[target]

    def test_own_requests_are_counted_at_their_current_number(self):
        self.loads.record_sent("a")
        self.loads.report_to("replica")
        self.loads.record_sent("a")
        self.receive_sum(a=7)
        self.assertEqual(self.estimate(1.0), 8)
        self.loads.record_ended("a")
        self.loads.record_ended("a")
        self.assertEqual(self.estimate(1.1), 6)

    def test_fresher_of_report_and_sum_counts(self):
        self.loads.observe_report("a", TargetLoad(20, 0, 64), 0.4)
        self.receive_sum(now_s=1.0, age_s=0.5, a=7, b=2)
        self.assertEqual(self.estimate(1.0), 7)
        self.loads.observe_report("a", TargetLoad(9, 1, 64), 1.1)
        self.assertEqual(self.estimate(1.2), 10)
        self.assertEqual(self.loads.basis("a", 1.2), (LoadSource.REPORT, 0.1))
        self.assertEqual(self.loads.basis("b", 1.2), (LoadSource.SUM, 0.7))
        # No router holds a request there, or its pool is not reported.
        self.assertEqual(self.loads.basis("c", 1.2), (LoadSource.SUM, 0.7))
        self.assertEqual(self.loads.basis("c", 1.2, is_shared=False), (LoadSource.ESTIMATE, None))

    def test_sum_over_few_routers_is_ignored(self):
        self.receive_sum("old", now_s=1.0, routers=65, a=20)
        self.receive_sum("restarted", now_s=1.2, routers=4, a=1)
        self.assertEqual(self.estimate(1.2), 20)

    def test_partitioned_domain_uses_its_own_sum(self):
        self.receive_sum("beyond", now_s=1.0, routers=65, a=20)
        self.receive_sum("near", now_s=4.0, routers=22, a=5)
        self.assertEqual(self.estimate(4.0), 5)

    def test_expired_sum_is_replaced_by_reports(self):
        self.loads.observe_report("a", TargetLoad(20, 0, 64), 0.0)
        self.receive_sum(now_s=1.0, a=3)
        self.assertEqual(self.estimate(1.0), 3)
        self.assertEqual(self.estimate(0.6 + SUM_TTL_S), 20)

    def test_load_of_an_earlier_incarnation_is_discarded(self):
        self.receive_sum(a=30, b=2)
        self.loads.forget("a")
        self.assertEqual(self.estimate(1.0), 0)

    def test_plain_requests_are_not_reported(self):
        self.loads.record_sent("a", is_shared=False)
        self.assertEqual(self.loads.report_to("replica"), ())
        self.assertEqual(self.loads.own_in_flight("a"), 1)


class ManyRoutersTest(unittest.TestCase):
    def test_requests_stay_at_their_homes_with_many_routers(self):
        for routers in (8, 65):
            replay = Replay(routers)
            self.assertLess(replay.away / replay.sent, 0.1, routers)

    def test_hot_part_stays_within_the_users_bound(self):
        full_slack = Replay(65, hot_share=0.1, policy=AffinityPolicy())
        reduced_slack = Replay(65, hot_share=0.1)
        self.assertLess(reduced_slack.above / reduced_slack.sent, 0.01)
        self.assertLess(reduced_slack.above, full_slack.above)


class ParseTest(unittest.TestCase):
    """Guards against discarding a load report because of its fourth figure."""

    def test_fourth_figure_is_bounded_and_never_costs_the_first_three(self):
        cases = {
            b"3,0,8": None,
            b"3,0,8,250": 250,
            b"3,0,8, 100 ": 100,
            b"3,0,8,1": 25,
            b"3,0,8,99999": 1000,
            b"3,0,8,": None,
            b"3,0,8,x": None,
            b"3,0,8,-250": None,
            b"3,0,8,nan": None,
            b"3,0,8,250,7": None,
        }
        for value, percent in cases.items():
            self.assertEqual(parse_target_load(value), TargetLoad(3, 0, 8, percent), value)

    def test_report_without_three_figures_is_no_report(self):
        for value in (None, b"", b"3,0", b"x,0,8,250", b"3,0,y", b"3,,8,250"):
            self.assertIsNone(parse_target_load(value), value)

    def test_huge_figure_is_no_report(self):
        """A figure that no float can hold must not end the request whose answer carries it."""
        huge = b"9" * 400
        for value in (b"%s,0,8,100" % huge, b"0,%s,8" % huge, b"0,0,%s" % huge):
            self.assertIsNone(parse_target_load(value), value)
        self.assertEqual(parse_target_load(b"3,0,8,%s" % huge), TargetLoad(3, 0, 8, 1000))
