"""Tests of outlier ejection."""

from random import Random
from unittest import TestCase

from damaskwind.decisions.health.circuit import HealthPolicy
from damaskwind.decisions.health.ejection import PoolHealth

POLICY = HealthPolicy(jitter_share=0.5)


class PoolHealthTest(TestCase):
    def setUp(self):
        self.random = Random(4)

    def make(self, size, policy=POLICY):
        pool = PoolHealth(policy)
        pool.set_targets([f"t{number}" for number in range(size)], 0.0)
        return pool

    def fail(self, pool, target_id, now_s=0.0):
        for _ in range(POLICY.consecutive_failures):
            pool.observe(target_id, False, now_s, self.random)

    def test_at_most_the_share_is_ejected(self):
        for size, limit in ((1, 0), (2, 0), (3, 1), (6, 2), (9, 3), (250, 85)):
            with self.subTest(size=size):
                pool = self.make(size)
                for number in range(size):
                    self.fail(pool, f"t{number}")
                self.assertEqual(len(pool.ejected(0.0, self.random)), limit)
                self.assertEqual(len(pool.suspects()), size - limit)

    def test_targets_in_trial_count_as_ejected(self):
        pool = self.make(3)
        self.fail(pool, "t0")
        self.assertTrue(pool.may_send("t0", 100.0, self.random))
        self.fail(pool, "t1", 100.0)
        self.assertEqual(pool.state("t1"), "closed")

    def test_shrunk_pool_takes_targets_back(self):
        pool = self.make(6)
        self.fail(pool, "t0")
        self.fail(pool, "t1", 1.0)
        pool.set_targets(["t0", "t1", "t2"], 2.0)
        self.assertEqual(len(pool.ejected(2.0, self.random)), 1)

    def test_half_open_circuit_allows_one_trial(self):
        pool = self.make(3)
        self.fail(pool, "t0")
        self.assertFalse(pool.may_send("t0", POLICY.ejection_base_s * 0.99, self.random))
        later_s = POLICY.ejection_base_s * 1.51
        self.assertTrue(pool.may_send("t0", later_s, self.random))
        pool.record_sent("t0", later_s)
        self.assertFalse(pool.may_send("t0", later_s, self.random))
        self.assertTrue(pool.may_send("t0", later_s + POLICY.trial_timeout_s, self.random))
        pool.observe("t0", True, later_s, self.random)
        self.assertEqual(pool.state("t0"), "closed")

    def ejection_lengths(self, seed):
        pool = self.make(3)
        random = Random(seed)
        now_s = 0.0
        lengths = []
        self.fail(pool, "t0")
        for _ in range(8):
            start_s = now_s
            while not pool.may_send("t0", now_s, random):
                now_s += 0.05
            lengths.append(now_s - start_s)
            pool.observe("t0", False, now_s, random)
        return lengths

    def test_ejection_grows_to_its_limit_with_jitter(self):
        first, second = self.ejection_lengths(5), self.ejection_lengths(6)
        self.assertNotEqual(first[1:], second[1:])
        for number, length_s in enumerate(first):
            expected_s = min(POLICY.ejection_limit_s, POLICY.ejection_base_s * 2**number)
            self.assertGreaterEqual(length_s, expected_s - 0.1)
            self.assertLessEqual(length_s, 1.5 * expected_s + 0.1)

    def test_failure_share_without_consecutive_failures(self):
        pool = self.make(3)
        for number in range(POLICY.sample_size):
            pool.observe("t0", number % 2 == 0, 0.0, self.random)
        self.assertEqual(pool.state("t0"), "open")
