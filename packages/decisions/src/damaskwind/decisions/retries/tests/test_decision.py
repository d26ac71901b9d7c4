"""Tests of the retry decision and the retry budget."""

from random import Random
from unittest import TestCase

from damaskwind.decisions.retries.budget import RetryBudget
from damaskwind.decisions.retries.decision import RetryPolicy, RetryReason, decide_retry
from damaskwind.model.verdict import Verdict

POLICY = RetryPolicy()


class DecideRetryTest(TestCase):
    def decide(self, verdict, idempotent=False, delivered=0, attempt=1, deadline_s=10.0, **other):
        budget = other.get("budget") or RetryBudget(0.1)
        return decide_retry(
            verdict,
            idempotent,
            delivered,
            attempt,
            deadline_s,
            0.0,
            budget,
            POLICY,
            Random(1),
        )

    def test_reasons_by_verdict(self):
        cases = (
            ((Verdict.NOT_RUN,), RetryReason.ALLOWED),
            ((Verdict.NOT_RUN, False, 1), RetryReason.BYTES_DELIVERED),
            ((Verdict.MAY_HAVE_RUN,), RetryReason.MAY_HAVE_RUN),
            ((Verdict.MAY_HAVE_RUN, True), RetryReason.ALLOWED),
            ((Verdict.MAY_HAVE_RUN, True, 1), RetryReason.BYTES_DELIVERED),
            ((Verdict.RAN, True), RetryReason.ANSWERED),
            ((Verdict.NOT_RUN, True, 0, POLICY.max_attempts), RetryReason.ATTEMPTS),
            ((Verdict.NOT_RUN, True, 0, 1, POLICY.reserve_s), RetryReason.DEADLINE),
        )
        for arguments, reason in cases:
            with self.subTest(arguments=arguments):
                decision = self.decide(*arguments)
                self.assertEqual(decision.reason, reason)
                self.assertEqual(decision.retry, reason == RetryReason.ALLOWED)

    def test_refused_retry_takes_nothing_from_the_budget(self):
        budget = RetryBudget(0.1, floor_retries=1)
        self.decide(Verdict.MAY_HAVE_RUN, budget=budget)
        self.assertTrue(self.decide(Verdict.NOT_RUN, budget=budget).retry)
        self.assertEqual(self.decide(Verdict.NOT_RUN, budget=budget).reason, RetryReason.BUDGET)

    def test_delay_has_full_jitter_below_a_growing_cap(self):
        random = Random(2)
        budget = RetryBudget(1.0, floor_retries=10_000)
        policy = RetryPolicy(max_attempts=99, base_delay_s=0.1, max_delay_s=0.5)
        for attempt, cap_s in ((1, 0.1), (2, 0.2), (3, 0.4), (9, 0.5)):
            delays = [
                decide_retry(
                    Verdict.NOT_RUN, True, 0, attempt, 99.0, 0.0, budget, policy, random
                ).delay_s
                for _ in range(300)
            ]
            self.assertLessEqual(max(delays), cap_s)
            self.assertGreater(max(delays), 0.9 * cap_s)
            self.assertLess(min(delays), 0.1 * cap_s)


class RetryBudgetTest(TestCase):
    def test_share_holds_in_every_window(self):
        budget = RetryBudget(0.1, floor_retries=0)
        random = Random(3)
        events = []
        for step in range(20_000):
            now_s = step / 100
            budget.count_request(now_s)
            if random.random() < 0.5 and budget.take(now_s):
                events.append(now_s)
        for start in range(190):
            taken = sum(start <= event < start + 10 for event in events)
            self.assertLessEqual(taken, 0.1 * 1000 + 1)
        self.assertGreater(len(events), 1500)

    def test_requests_outside_the_window_allow_no_retries(self):
        budget = RetryBudget(0.5, floor_retries=0)
        for _ in range(100):
            budget.count_request(0.0)
        self.assertEqual(budget.remaining(9.9), 50)
        self.assertEqual(budget.remaining(10.0), 0)
