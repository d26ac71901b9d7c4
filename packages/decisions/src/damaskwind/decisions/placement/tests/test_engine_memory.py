"""Tests of placement by the memory of engines, and that nothing changes without it."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.placement.affinity import (
    AffinityPolicy,
    Candidate,
    _least_loaded,
    _rank,
    choose_target,
)
from damaskwind.decisions.placement.engine_memory import MAX_POSITIONS, EngineRoom

POLICY = AffinityPolicy()
FULL, FREE = EngineRoom(10.0, 20), EngineRoom(5_000.0, 20)
CANDIDATES = st.lists(
    st.tuples(st.floats(0.0, 20.0), st.booleans(), st.booleans()), min_size=1, max_size=6
).map(
    lambda items: [
        Candidate(f"t{index}", "d", load, 8, is_doubtful, is_slow=is_slow)
        for index, (load, is_doubtful, is_slow) in enumerate(items)
    ]
)


def choose(candidates, key=b"k"):
    return choose_target(candidates, key, "d", POLICY, Random(1))


def choice_by_requests(candidates, key):
    """Return the target and the rank that were chosen before memory was considered."""
    healthy = [item for item in candidates if not item.is_doubtful] or candidates
    bound = POLICY.load_factor * sum(item.load for item in healthy) / len(healthy)
    bound += POLICY.load_slack_requests
    for rank, item in enumerate(_rank(healthy, key)):
        if item.load < bound and not item.is_slow:
            return item.target_id, rank
    choice = _least_loaded(healthy, "d", POLICY, Random(1))
    return choice.candidate.target_id, choice.rank


class EngineMemoryTest(unittest.TestCase):
    def setUp(self):
        self.pool = [Candidate(name, "d", 1.0, 8, False) for name in "abc"]
        self.home = choose(self.pool).candidate.target_id

    def with_rooms(self, home_room, room, load=1.0):
        return [
            item._replace(room=home_room if item.target_id == self.home else room, load=load)
            for item in self.pool
        ]

    @given(CANDIDATES, st.binary(min_size=1, max_size=4))
    def test_choice_is_the_former_one_without_rooms_and_with_ample_rooms(self, candidates, key):
        expected = choice_by_requests(candidates, key)
        ample = [item._replace(room=EngineRoom(float("inf"), 1)) for item in candidates]
        for pool in (candidates, ample):
            choice = choose(pool, key)
            self.assertEqual((choice.candidate.target_id, choice.rank), expected)

    def test_full_home_is_passed_over_for_the_next_in_rank(self):
        choice = choose(self.with_rooms(FULL, FREE))
        self.assertEqual((choice.rank, choice.passed_over), (1, self.home))

    def test_request_waits_for_its_home_if_it_fits_nowhere(self):
        choice = choose(self.with_rooms(FULL, FULL))
        self.assertEqual(choice.candidate.target_id, self.home)
        self.assertFalse(choice.candidate.room.fits)

    def test_engine_far_down_the_ranking_is_no_way_out(self):
        # Guards against one empty engine that gets what fits nowhere else from all routers: in
        # the load test 30 requests of 12,000 tokens in 0.3 s, beyond the bound on requests.
        self.pool = [Candidate(name, "d", 1.0, 8, False) for name in "abcdef"]
        ranks = [item.target_id for item in _rank(self.pool, b"k")]
        for position, expected in ((MAX_POSITIONS - 1, MAX_POSITIONS - 1), (MAX_POSITIONS, 0)):
            pool = [
                item._replace(room=FREE if item.target_id == ranks[position] else FULL)
                for item in self.pool
            ]
            self.assertEqual(choose(pool).rank, expected)

    def test_target_above_the_bound_is_not_used_for_its_free_memory(self):
        pool = self.with_rooms(FULL, FULL)
        crowded = next(item for item in pool if item.target_id != self.home)
        pool[pool.index(crowded)] = crowded._replace(room=FREE, load=40.0)
        self.assertEqual(choose(pool).candidate.target_id, self.home)

    def test_margin_grows_down_the_ranking(self):
        # Guards against all routers sending to one engine with a little memory at once.
        tight = EngineRoom(100.0, 60, margin_tokens=100.0, max_margin_tokens=600.0)
        self.assertEqual(choose(self.with_rooms(tight, FULL)).rank, 0)
        self.assertEqual(choose(self.with_rooms(FULL, tight)).candidate.target_id, self.home)

    def test_request_without_a_key_goes_where_it_fits(self):
        choice = choose(self.with_rooms(FREE, FULL), None)
        self.assertEqual(choice.candidate.target_id, self.home)
        self.assertFalse(choose(self.with_rooms(FULL, FULL), None).candidate.room.fits)

    def test_short_urgent_request_avoids_long_prompts_unless_its_own_costs_more(self):
        busy = EngineRoom(5_000.0, 20, 30_000, 700, 600, avoids_prefill=True)
        idle = busy._replace(prefill_ahead_tokens=0)
        self.assertGreater(choose(self.with_rooms(busy, idle)).rank, 0)
        self.assertEqual(choose(self.with_rooms(busy._replace(avoids_prefill=False), idle)).rank, 0)
        short = busy._replace(prefill_ahead_tokens=3_000)
        self.assertEqual(choose(self.with_rooms(short, idle)).rank, 0)
