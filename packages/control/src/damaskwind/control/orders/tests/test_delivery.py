"""Tests of the decision which orders are sent to targets, and when."""

from random import Random
from unittest import TestCase

from damaskwind.control.orders.delivery import AttemptResult, DeliveryTiming, OrderDelivery
from damaskwind.control.state.command import WantedState
from damaskwind.control.state.order_book import TargetOrder

TIMING = DeliveryTiming(lease_s=1.0, attempt_timeout_s=2.0, max_concurrent_attempts=3)


def order(number, target_id="engine-1", address="127.0.0.1:1"):
    wanted = WantedState("serving", ("damask@1",))
    return TargetOrder(target_id, f"order-{number}", number, "mei", 0.0, wanted, address)


class OrderDeliveryTest(TestCase):
    def setUp(self):
        self.delivery = OrderDelivery(TIMING, Random(1))

    def numbers(self, orders, term, now_s):
        return [each.fencing_number for each in self.delivery.start_due(orders, term, now_s)]

    def test_new_leader_waits_for_the_lease_and_longest_attempt_of_the_previous_one(self):
        self.assertEqual(self.numbers([order(1)], 4, 10.0), [])
        self.assertEqual(self.numbers([order(1)], 4, 12.9), [])
        self.assertEqual(self.numbers([order(1)], 4, 13.0), [1])

    def test_nothing_is_sent_without_a_lease_and_a_lapse_within_a_term_causes_no_wait(self):
        self.assertEqual(self.numbers([order(1)], None, 0.0), [])
        self.numbers([], 4, 0.0)
        self.assertEqual(self.numbers([order(1)], None, 5.0), [])
        self.assertEqual(self.numbers([order(1)], 4, 5.1), [1])

    def test_next_term_waits_again_and_resends_all_orders(self):
        self.numbers([], 4, 0.0)
        self.assertEqual(self.numbers([order(1)], 4, 3.0), [1])
        self.delivery.record_result(order(1), 4, AttemptResult.ACCEPTED, 3.1)
        self.assertEqual(self.numbers([order(1)], 4, 9.0), [])
        self.assertEqual(self.numbers([order(1)], 6, 9.0), [])
        self.assertEqual(self.numbers([order(1)], 6, 12.0), [1])

    def test_one_attempt_at_a_time_then_the_latest_order(self):
        self.numbers([], 4, 0.0)
        self.assertEqual(self.numbers([order(1)], 4, 3.0), [1])
        self.assertEqual(self.numbers([order(2)], 4, 3.1), [])
        self.delivery.record_result(order(1), 4, AttemptResult.ACCEPTED, 3.2)
        self.assertEqual(self.numbers([order(2)], 4, 3.2), [2])
        self.delivery.record_result(order(2), 4, AttemptResult.SUPERSEDED, 3.3)
        self.assertEqual(self.numbers([order(2)], 4, 99.0), [])

    def test_failed_attempts_are_retried_within_the_backoff_limit(self):
        self.numbers([], 4, 0.0)
        now_s = 3.0
        for _ in range(40):
            self.assertEqual(self.numbers([order(1)], 4, now_s), [1])
            self.delivery.record_result(order(1), 4, AttemptResult.FAILED, now_s)
            now_s += TIMING.max_backoff_s

    def test_result_of_an_attempt_of_another_term_is_ignored(self):
        self.numbers([], 4, 0.0)
        self.assertEqual(self.numbers([order(1)], 4, 3.0), [1])
        self.numbers([order(1)], 5, 4.0)
        self.delivery.record_result(order(1), 4, AttemptResult.ACCEPTED, 4.1)
        self.assertEqual(self.numbers([order(1)], 5, 7.0), [1])

    def test_concurrent_attempts_are_bounded_and_orders_without_address_are_not_sent(self):
        self.numbers([], 4, 0.0)
        orders = [order(1, "nowhere", "")]
        orders += [order(number, f"engine-{number}") for number in range(2, 8)]
        self.assertEqual(self.numbers(orders, 4, 3.0), [2, 3, 4])
        self.delivery.record_result(orders[1], 4, AttemptResult.ACCEPTED, 3.1)
        self.assertEqual(self.numbers(orders, 4, 3.1), [5])
