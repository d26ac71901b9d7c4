"""Tests of admission to a pool under load patterns."""

from random import Random
from unittest import TestCase

from damaskwind.decisions.admission.fair_queue import FairQueue, PoolRequest
from damaskwind.decisions.admission.pool_admission import AdmissionStep, PoolAdmission, TargetSlots
from damaskwind.decisions.admission.retry_after import draw_retry_after_s
from damaskwind.decisions.admission.start_window import StartWindow, WindowPolicy

TARGET_SLOTS = [TargetSlots("a", 64.0), TargetSlots("b", 64.0)]


def request(number, rank=1, account="x", arrived_s=0.0, left_s=8.0, **changes):
    fields = {"objective_s": 1.0, "target_id": "a", **changes}
    return PoolRequest(number, rank, account, arrived_s, arrived_s + left_s, **fields)


class WindowTest(TestCase):
    def test_late_answers_shrink_the_window_and_early_ones_grow_it(self):
        window = StartWindow(WindowPolicy(initial_limit=8.0))
        for number in range(20):
            window.record_sent(number, number * 0.2, 1.0)
            window.record_answer_started(number, number * 0.2 + 0.9)
        self.assertLess(window.limit, 4.0)
        before = window.limit
        for number in range(100, 200):
            now_s = 10.0 + number * 0.05
            window.record_sent(number, now_s, 1.0)
            window.record_sent(number + 1000, now_s, 1.0)
            window.record_answer_started(number, now_s + 0.04)
            window.record_answer_started(number + 1000, now_s + 0.04)
        self.assertGreater(window.limit, before)

    def test_overdue_answers_shrink_the_window_before_they_start(self):
        window = StartWindow(WindowPolicy(initial_limit=8.0))
        for number in range(8):
            window.record_sent(number, 0.0, 1.0)
        headrooms = [window.headroom(0.7 + step * 0.2) for step in range(10)]
        self.assertLess(window.limit, 2.0)
        self.assertGreaterEqual(window.limit, 1.0)
        # Lost requests do not count forever: the target is sent requests again.
        self.assertGreater(headrooms[-1], 0)

    def test_window_with_few_answers_uses_those_of_the_whole_pool(self):
        admission = PoolAdmission(Random(1), WindowPolicy(initial_limit=4.0))
        for number in range(12):
            admission.record_sent(number, f"t{number}", 1.0, 0.0)
            admission.record_answer_started(number, 0.9)
        admission.record_sent(99, "t0", 1.0, 1.0)
        admission.record_answer_started(99, 1.1)
        self.assertLess(admission._window("t0").limit, 4.0)


class PoolWindowTest(TestCase):
    """One of many routers, for which one request at each target exceeds its share."""

    def setUp(self):
        policy = WindowPolicy(initial_limit=2.0, initial_pool_limit=3.0)
        self.admission = PoolAdmission(Random(1), policy)
        self.target_slots = [TargetSlots(f"t{number}", 64.0) for number in range(10)]

    def offer(self, number, now_s=0.0):
        asked = request(number, target_id=f"t{number % 10}", arrived_s=now_s)
        return self.admission.offer(asked, self.target_slots, now_s).step

    def test_targets_share_one_window(self):
        steps = [self.offer(number) for number in range(5)]
        self.assertEqual(steps, [AdmissionStep.START] * 3 + [AdmissionStep.WAIT] * 2)
        self.admission.record_answer_started(0, 0.05)
        # One request started its answer, and early, so that the limit grew too.
        self.assertEqual(self.admission.admit_waiting(self.target_slots, 0.05), (3, 4))
        self.assertEqual(self.offer(5, now_s=0.05), AdmissionStep.WAIT)

    def test_unresponsive_targets_do_not_shrink_the_pool_window(self):
        for number in range(3):
            self.offer(number)
        # The targets are partitioned: requests older than their objective do not count.
        self.assertEqual(self.offer(3, now_s=1.1), AdmissionStep.START)
        self.assertEqual(self.offer(4, now_s=1.1), AdmissionStep.START)


class SurgeTest(TestCase):
    """More requests arrive than the target can start."""

    def setUp(self):
        self.admission = PoolAdmission(Random(1), WindowPolicy(initial_limit=2.0))

    def offer(self, item, now_s=0.0):
        return self.admission.offer(item, TARGET_SLOTS, now_s)

    def test_requests_start_within_the_window_and_the_next_waits(self):
        steps = [self.offer(request(number)).step for number in range(3)]
        self.assertEqual(steps, [AdmissionStep.START, AdmissionStep.START, AdmissionStep.WAIT])

    def test_request_waiting_for_one_target_does_not_block_another_target(self):
        for number in range(3):
            self.offer(request(number))
        self.assertIs(self.offer(request(9, target_id="b")).step, AdmissionStep.START)

    def test_request_that_would_be_late_is_rejected_at_once_with_a_retry_time(self):
        outcomes = [self.offer(request(number)) for number in range(30)]
        refused = [item for outcome in outcomes for item in outcome.turned_away]
        self.assertGreater(len(refused), 15)
        self.assertTrue(all(item.retry_after_s > 0 for item in refused))
        self.assertLess(len(self.admission.queue), 12)

    def test_more_urgent_request_goes_first_and_displaces_the_least_urgent(self):
        for number in range(12):
            self.offer(request(number, rank=2))
        waiting = len(self.admission.queue)
        outcome = self.offer(request(50, rank=0))
        self.assertIs(outcome.step, AdmissionStep.WAIT)
        self.assertNotIn(50, [item.number for item in outcome.turned_away])
        self.assertLessEqual(len(self.admission.queue), waiting + 1)
        self.admission.record_ended(0)
        self.assertEqual(self.admission.admit_waiting(TARGET_SLOTS, 0.05), (50,))

    def test_full_target_is_sent_no_request(self):
        full = [TargetSlots("a", 0.0)]
        self.assertIs(self.admission.offer(request(1), full, 0.0).step, AdmissionStep.WAIT)
        self.assertEqual(self.admission.admit_waiting(TARGET_SLOTS, 0.1), (1,))

    def test_request_of_a_removed_target_is_admitted(self):
        for number in range(3):
            self.offer(request(number))
        self.assertEqual(self.admission.admit_waiting([TargetSlots("b", 8.0)], 0.1), (2,))

    def test_retries_are_limited_while_first_attempts_are_rejected(self):
        # Otherwise a surge ends with no request served in time, since retries are late.
        for number in range(20):
            self.offer(request(number))
        retry = self.offer(request(100, came_back=True, left_s=5.0), 0.1)
        self.assertIs(retry.step, AdmissionStep.WAIT)
        self.admission.record_ended(0)
        self.assertNotIn(100, self.admission.admit_waiting(TARGET_SLOTS, 0.1))

    def test_memory_is_given_to_one_request_only_until_it_is_sent(self):
        # Guards against a second one that finds no room when it is placed and is then refused.
        full, room = ([TargetSlots("a", 64.0, tokens)] for tokens in (0, 1_000))
        for number in (1, 2):
            waiting = request(number, need_tokens=1_000)
            self.assertIs(self.admission.offer(waiting, full, 0.0).step, AdmissionStep.WAIT)
        self.assertEqual(self.admission.admit_waiting(room, 0.1), (1,))
        self.assertEqual(self.admission.admit_waiting(room, 0.1), ())
        # Counted at its target from now on.
        self.admission.withdraw(1)
        self.assertEqual(self.admission.admit_waiting(room, 0.2), (2,))

    def test_retries_start_at_once_after_the_surge(self):
        for number in range(20):
            self.offer(request(number))
        for number in range(20):
            self.admission.withdraw(number)
            self.admission.record_ended(number)
        retry = self.offer(request(100, came_back=True, left_s=5.0), 2.0)
        self.assertIs(retry.step, AdmissionStep.START)


class FairQueueTest(TestCase):
    def test_account_far_over_its_share_is_queued_behind_others(self):
        queue = FairQueue()
        for number in range(60):
            queue.record_served("large", 0.0)
            if number < 6:
                queue.record_served(f"small-{number}", 0.0)
        queue.add(request(1, account="large"))
        queue.add(request(2, account="small-1", arrived_s=0.1))
        order = [item.number for item in queue.ordered(0.2)]
        self.assertEqual(order, [2, 1])

    def test_single_account_may_use_the_whole_capacity(self):
        queue = FairQueue()
        for _ in range(60):
            queue.record_served("large", 0.0)
        queue.add(request(1, account="large"))
        self.assertEqual(queue.pop_next(0.2, lambda target_id: True).number, 1)

    def test_no_rank_starves(self):
        queue = FairQueue()
        queue.add(request(1, rank=2, left_s=3.0))
        for number in range(2, 10):
            queue.add(request(number, rank=0, left_s=4.0))
        admitted = [queue.pop_next(0.0, lambda target_id: True).number for _ in range(4)]
        self.assertIn(1, admitted)


class RetryAfterTest(TestCase):
    def test_retry_times_are_spread_within_what_callers_honour(self):
        random = Random(1)
        times = [draw_retry_after_s(0.5, 9.0, 2.0, random) for _ in range(200)]
        self.assertLessEqual(max(times), 3.0)
        self.assertGreater(max(times) - min(times), 0.8)

    def test_extreme_remaining_times_give_positive_retry_times(self):
        for left_s in (-5.0, 0.0, 1e9):
            self.assertGreater(draw_retry_after_s(0.4, left_s, 5.0, Random(1)), 0.0)
        admission = PoolAdmission(Random(1), WindowPolicy(initial_limit=1.0))
        admission.offer(request(1), TARGET_SLOTS, 0.0)
        outcome = admission.offer(request(2, left_s=-1.0), TARGET_SLOTS, 0.0)
        self.assertIs(outcome.step, AdmissionStep.TURN_AWAY)


class SharedSlotsTest(TestCase):
    """Guards against a router that asks for no slot any more, as it got few for a while."""

    def test_first_request_waits_after_slow_departures(self):
        pool = PoolAdmission(Random(1))
        pool.max_gap_s = 0.5
        none, one = [TargetSlots("a", 0.0, is_exact=True)], [TargetSlots("a", 1.0, is_exact=True)]
        for number in range(10):
            pool.offer(request(number, target_id="", objective_s=100.0), none, 0.0)
        for second in range(10):
            for admitted in pool.admit_waiting(one, float(second)):
                pool.record_ended(admitted)
        first, second = (
            pool.offer(request(number, arrived_s=10.0, target_id=""), none, 10.0)
            for number in (100, 101)
        )
        self.assertEqual(first.step, AdmissionStep.WAIT)
        self.assertEqual(second.step, AdmissionStep.TURN_AWAY)
