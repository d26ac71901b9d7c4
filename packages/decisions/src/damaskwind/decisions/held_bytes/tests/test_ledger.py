"""Tests of the choice of answers to give up, and of the bounds of request bodies."""

from random import Random
from unittest import TestCase

from damaskwind.decisions.held_bytes.body_queue import MAX_WAIT_S, BodyQueue, BodyStep
from damaskwind.decisions.held_bytes.bound import derive_bounds
from damaskwind.decisions.held_bytes.ledger import HeldLedger
from damaskwind.decisions.held_bytes.target_shares import TargetShares

MIB = 2**20


class HeldLedgerTest(TestCase):
    def ledger(self, *sizes_bytes, bound_bytes=10 * MIB):
        ledger = HeldLedger(bound_bytes)
        for number, size_bytes in enumerate(sizes_bytes):
            ledger.open(number)
            ledger.hold(number, size_bytes, 0.0)
        return ledger

    def test_large_answer_of_a_fast_caller_outlasts_a_smaller_one_of_a_slow_caller(self):
        ledger = self.ledger(9 * MIB, 3 * MIB)
        for second in range(1, 10):
            for number, taken_bytes in ((0, 2 * MIB), (1, 1024)):
                ledger.hold(number, taken_bytes, second)
                ledger.take(number, taken_bytes, second)
        self.assertEqual(ledger.victim(10.0), 1)

    def test_silence_of_a_target_does_not_make_its_caller_slow(self):
        """A stream that holds nothing between two events gets no slower by its pauses."""
        ledger = self.ledger(6 * MIB, 0)
        for second in range(0, 600, 60):
            ledger.hold(1, 2 * MIB, second)
            ledger.take(1, 2 * MIB, second + 0.5)
        ledger.hold(1, 5 * MIB, 600.0)
        self.assertEqual(ledger.victim(600.1), 0)

    def test_new_large_answer_outlasts_one_that_has_been_held_for_long(self):
        """Otherwise callers that read well are cut off while old answers fill the memory."""
        ledger = self.ledger(2 * MIB, 5 * MIB)
        ledger.open(2)
        ledger.hold(2, 4 * MIB, 7.0)
        ledger.take(1, 4 * MIB, 7.0)
        self.assertEqual(ledger.victim(7.5), None)
        ledger.hold(2, 4 * MIB, 7.5)
        self.assertEqual(ledger.victim(7.5), 0)

    def test_time_that_runs_backwards_makes_nobody_slow(self):
        ledger = self.ledger(6 * MIB, 5 * MIB)
        ledger.hold(1, 0, 100.0)
        ledger.hold(1, 0, 50.0)
        ledger.hold(0, 0, 100.0)
        self.assertEqual(ledger.victim(0.0), 0)

    def test_sum_is_exact_after_any_order_of_calls(self):
        """A request that was given up may still report bytes: they must not count."""
        random, ledger = Random(1), HeldLedger(MIB)
        for _ in range(20_000):
            number, size_bytes = random.randrange(20), random.randrange(100_000)
            random.choice((ledger.hold, ledger.take))(number, size_bytes, random.random())
            ledger.hold_body(number, size_bytes)
            if random.random() < 0.1:
                random.choice((ledger.open, ledger.close))(number)
            self.assertGreaterEqual(ledger.held_bytes, 0)
        for number in range(20):
            ledger.close(number)
        self.assertEqual(ledger.held_bytes, 0)


class BodyQueueTest(TestCase):
    def test_bodies_in_hand_stay_below_the_bound_and_begin_in_order(self):
        queue = BodyQueue(10 * MIB)
        steps = [queue.offer(number, 4 * MIB, 0.0) for number in range(5)]
        read, wait, refuse = BodyStep.READ, BodyStep.WAIT, BodyStep.REFUSE
        self.assertEqual(steps, [read, read, wait, wait, refuse])
        self.assertEqual((queue.close(0, 0.1), queue.close(1, 0.1)), ([2], [3]))
        self.assertLessEqual(queue.held_bytes, 10 * MIB)

    def test_body_that_would_wait_in_vain_is_refused_at_once(self):
        queue = BodyQueue(4 * MIB)
        queue.offer(1, 100_000, 0.0)
        queue.close(1, 0.0)
        queue.offer(2, 4 * MIB, 0.0)
        self.assertGreater(queue.expected_wait_s(MIB, 0.0), MAX_WAIT_S)
        self.assertIs(queue.offer(3, MIB, 0.0), BodyStep.REFUSE)

    def test_caller_that_left_while_it_waited_is_forgotten(self):
        queue = BodyQueue(4 * MIB)
        queue.offer(1, 4 * MIB, 0.0)
        queue.offer(2, 4 * MIB, 0.0)
        queue.close(2, 0.1)
        self.assertEqual((queue.close(1, 0.2), queue.held_bytes), ([], 0))

    def test_large_bodies_keep_no_small_one_waiting(self):
        queue = BodyQueue(10 * MIB)
        steps = {queue.offer(number, 4 * MIB, 0.0) for number in range(4)}
        self.assertIn(BodyStep.WAIT, steps)
        small = [queue.offer(number, 20_000, 0.0) for number in range(10, 110)]
        self.assertEqual(set(small), {BodyStep.READ})
        for number in (*range(4), *range(10, 110)):
            queue.close(number, 1.0)
        self.assertEqual((queue.held_bytes, queue.waiting), (0, 0))

    def test_small_body_does_not_wait_behind_a_large_one(self):
        """It stayed unread, and was refused after 0.5 s, although a small body had ended."""
        queue = BodyQueue(1_000_000)
        for number, size_bytes in ((1, 790_000), (2, 65_000), (3, 65_000), (4, 65_000)):
            self.assertIs(queue.offer(number, size_bytes, 0.0), BodyStep.READ)
        for number, size_bytes in ((5, 100_000), (6, 65_000), (7, 70_000)):
            self.assertIs(queue.offer(number, size_bytes, 0.0), BodyStep.WAIT)
        self.assertEqual((queue.close(2, 0.1), queue.close(1, 0.2)), ([6], [5, 7]))

    def test_large_body_beyond_the_bound_keeps_no_small_one_waiting(self):
        """In 64 MiB of memory, a body of 4 MiB kept even requests without a body waiting."""
        queue = BodyQueue(derive_bounds(64 * MIB).body_bytes)
        self.assertIs(queue.offer(1, 4 * MIB, 0.0), BodyStep.READ)
        steps = [queue.offer(number, size, 0.0) for number, size in ((2, 0), (3, 60_000))]
        self.assertEqual(steps, [BodyStep.READ] * 2)
        steps = [queue.offer(number, 60_000, 0.0) for number in range(4, 40)]
        self.assertIn(BodyStep.WAIT, steps)

    def test_body_of_unknown_size_ends_at_the_bound(self):
        queue = BodyQueue(int(2.5 * MIB))
        queue.offer(1, MIB, 0.0)
        queue.offer(2, 0, 0.0)
        self.assertTrue(queue.grow(2, MIB))
        self.assertFalse(queue.grow(2, 1))


class BoundsTest(TestCase):
    def test_all_routers_keep_a_target_below_its_bound_or_have_one_body_each(self):
        for routers in (2, 8, 87, 138):
            shares = TargetShares(32 * MIB)
            while shares.may_send("t", MIB, routers):
                shares.record_sent("t", MIB)
            self.assertLessEqual(shares.max_in_hand_bytes(), max(MIB, 32 * MIB / routers))
            shares.record_ended("t", MIB)

    def test_held_bytes_and_program_stay_below_four_fifths_of_the_memory(self):
        for memory_bytes in (100 * MIB, 152 * MIB, 200 * MIB, 2048 * MIB):
            bounds = derive_bounds(memory_bytes)
            self.assertLess(bounds.total_bytes * 1.45 + 45 * MIB, 0.8 * memory_bytes)
            self.assertGreater(bounds.body_bytes, 3 * MIB)
