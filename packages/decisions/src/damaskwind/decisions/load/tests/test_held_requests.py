"""Replay calm traffic over many routers, each of which seldom hears each target."""

import unittest
from random import Random

from damaskwind.decisions.load.held_requests import LoadEstimator, TargetLoad
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
    """Requests for many parts, evenly, from callers who come to any router."""

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
        self.end_those_due(now_s)
        known = loads.estimates(TARGETS, len(self.estimators), now_s)
        candidates = [Candidate(name, "d", known[name], 128, False) for name in TARGETS]
        choice = choose_target(candidates, key, "d", self.policy, self.random)
        name = choice.candidate.target_id
        held = {other: len(ends) for other, ends in self.ends.items()}
        if now_s > 2.0:
            self.sent += 1
            self.away += choice.rank > 0
            self.above += held[name] > 2 * sum(held.values()) / len(TARGETS) + 3
        loads.sent(name)
        loads.reported(name, TargetLoad(held[name] + 1, 0, 128), now_s)
        self.ends[name].append((now_s + LASTS_S, loads))

    def end_those_due(self, now_s):
        for name, ends in self.ends.items():
            for end_s, loads in ends:
                if end_s <= now_s:
                    loads.ended(name)
            self.ends[name] = [item for item in ends if item[0] > now_s]


class ColdStartTest(unittest.TestCase):
    def test_what_is_on_its_way_to_an_unheard_target_counts_for_the_other_routers_too(self):
        loads = LoadEstimator()
        loads.sent("a")
        self.assertEqual(loads.estimates(["a", "b"], 8, 0.0), {"a": 8.0, "b": 0.0})
        self.assertEqual(loads.estimates(["a", "b"], 2100, 0.0), {"a": 8.0, "b": 0.0})


class ManyRoutersTest(unittest.TestCase):
    def test_calm_requests_stay_at_their_homes_from_many_routers_too(self):
        for routers in (8, 65):
            replay = Replay(routers)
            self.assertLess(replay.away / replay.sent, 0.1, routers)

    def test_hot_part_keeps_to_the_users_bound(self):
        whole = Replay(65, hot_share=0.1, policy=AffinityPolicy())
        part = Replay(65, hot_share=0.1)
        self.assertLess(part.above / part.sent, 0.01)
        self.assertLess(part.above, whole.above)
