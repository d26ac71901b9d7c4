"""Tests of orders to empty failure domains, and of the state that holds them."""

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
    def test_proposal_that_was_held_back_undoes_no_later_order(self):
        orders = EvacuationOrders()
        late = order_command("a", True, 0)
        emptied = apply_order(orders, "a", True, 0)
        taken_back = apply_order(orders, "a", False, emptied.revision)
        result = decode_order_result(orders.apply(late))
        self.assertEqual(result.outcome, OrderOutcome.OTHER_BASE)
        self.assertEqual(result.revision, taken_back.revision)
        self.assertEqual(orders.evacuations().failure_domains, ())

    def test_repeats_change_nothing(self):
        orders = EvacuationOrders()
        self.assertEqual(apply_order(orders, "a", False, 0).outcome, OrderOutcome.UNCHANGED)
        apply_order(orders, "a", True, 0)
        self.assertEqual(apply_order(orders, "a", True, 0).outcome, OrderOutcome.UNCHANGED)
        self.assertEqual(orders.evacuations().revision, 1)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20))
    def test_snapshot_holds_all_and_goes_on_as_before(self, given_orders):
        state, restored = FleetState(), FleetState()
        state.apply(1, publish_command(3, b"{}"))
        for domain, is_evacuated in given_orders:
            apply_order(
                state.orders, domain, is_evacuated, state.orders.last_order(domain).revision
            )
        restored.restore(state.snapshot())
        self.assertEqual(restored.snapshot(), state.snapshot())
        for one in (state, restored):
            apply_order(
                one.orders,
                "a",
                not one.orders.last_order("a").is_evacuated,
                one.orders.last_order("a").revision,
            )
        self.assertEqual(restored.orders.evacuations(), state.orders.evacuations())

    def test_snapshot_of_before_there_were_orders_is_read(self):
        restored = FleetState()
        restored.restore(msgspec.msgpack.encode((7, b"")))
        self.assertEqual(restored.configuration.version, 7)
        self.assertEqual(restored.orders.evacuations().revision, 0)
