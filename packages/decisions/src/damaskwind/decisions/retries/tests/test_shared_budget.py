"""Tests of the retry budget that routers share without communication."""

import unittest
from random import Random

from damaskwind.decisions.retries.shared_budget import BudgetTerms, SharedRetryBudget

TERMS = BudgetTerms(0.2, 10.0, 56.0)


class SharedBudgetTest(unittest.TestCase):
    def test_sum_over_all_routers_stays_within_the_bound_in_every_window(self):
        random = Random(3)
        routers = [SharedRetryBudget(TERMS, lambda: 8) for _ in range(8)]
        requests, retries = [], []
        now_s = 0.0
        while now_s < 40.0:
            now_s += random.expovariate(150.0)
            router = random.choice(routers)
            router.count_request(now_s)
            requests.append(now_s)
            for _ in range(2):
                if router.take(now_s):
                    retries.append(now_s)
        for start in range(31):
            window = [at for at in retries if start <= at < start + 10]
            asked = sum(start <= at < start + 10 for at in requests)
            self.assertLessEqual(len(window), 0.2 * asked + 56)

    def test_allowance_returns_when_the_window_has_passed(self):
        budget = SharedRetryBudget(TERMS, lambda: 8)
        taken = sum(budget.take(0.0) for _ in range(100))
        self.assertEqual(taken, 5)
        self.assertFalse(budget.take(9.9))
        self.assertTrue(budget.take(10.1))
