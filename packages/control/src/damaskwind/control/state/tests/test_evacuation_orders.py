"""Tests of evacuation orders and of the state that stores them."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from damaskwind.control.state.evacuation_orders import (
    EvacuationOrders,
    OrderOutcome,
    decode_order_result,
    order_command,
)
from damaskwind.control.state.fleet_state import FleetState
from damaskwind.control.state.published_configuration import publish_command


def apply_order(orders, failure_domain, is_evacuated, base_revision):
    command = order_command(failure_domain, is_evacuated, base_revision)
    return decode_order_result(orders.apply(command))


class EvacuationOrdersTest(unittest.TestCase):
    def test_delayed_proposal_does_not_undo_a_later_order(self):
        orders = EvacuationOrders()
        delayed = order_command("a", True, 0)
        evacuated = apply_order(orders, "a", True, 0)
        lifted = apply_order(orders, "a", False, evacuated.revision)
        result = decode_order_result(orders.apply(delayed))
        self.assertEqual(result.outcome, OrderOutcome.OTHER_BASE)
        self.assertEqual(result.revision, lifted.revision)
        self.assertEqual(orders.evacuations().failure_domains, ())

    def test_repeated_orders_change_nothing(self):
        orders = EvacuationOrders()
        self.assertEqual(apply_order(orders, "a", False, 0).outcome, OrderOutcome.UNCHANGED)
        apply_order(orders, "a", True, 0)
        self.assertEqual(apply_order(orders, "a", True, 0).outcome, OrderOutcome.UNCHANGED)
        self.assertEqual(orders.evacuations().revision, 1)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20))
    def test_restored_state_is_equal_and_applies_orders_alike(self, given_orders):
        state, restored = FleetState(), FleetState()
        state.apply(1, publish_command(3, b"{}"))
        for domain, is_evacuated in given_orders:
            apply_order(
                state.orders, domain, is_evacuated, state.orders.last_order(domain).revision
            )
        restored.restore(state.snapshot())
        self.assertEqual(restored.snapshot(), state.snapshot())
        for each in (state, restored):
            apply_order(
                each.orders,
                "a",
                not each.orders.last_order("a").is_evacuated,
                each.orders.last_order("a").revision,
            )
        self.assertEqual(restored.orders.evacuations(), state.orders.evacuations())

    def test_snapshot_without_orders_is_restored(self):
        restored = FleetState()
        restored.restore(msgspec.msgpack.encode((7, b"")))
        self.assertEqual(restored.configuration.version, 7)
        self.assertEqual(restored.orders.evacuations().revision, 0)
