"""Tests of the grants for the slots of brittle targets.

Guards against more grants than a target has slots, and against slots that nobody gets back.
"""

from collections import Counter
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.admission.slot_grants import (
    GRANT_TTL_S,
    REFUSED_HOLD_S,
    REGAIN_INTERVAL_S,
    SlotGrants,
)

SLOTS = 3


class SlotGrantsTest(TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["grant", "end", "renew", "refuse"]),
                st.integers(0, 5),
                st.floats(0.0, 1.0),
            )
        )
    )
    def test_never_more_grants_than_slots(self, steps):
        grants, now_s, expires_s = SlotGrants(), 0.0, {}
        for step, number, pause_s in steps:
            now_s += pause_s
            expires_s = {key: at_s for key, at_s in expires_s.items() if at_s > now_s}
            chosen = sorted(expires_s)[number : number + 1]
            if step == "grant":
                new = grants.grant("a", SLOTS, f"r{number}", number, now_s)
                expires_s |= dict.fromkeys(new, now_s + GRANT_TTL_S)
            elif step == "end":
                grants.end(chosen)
                expires_s = {key: at_s for key, at_s in expires_s.items() if key not in chosen}
            elif step == "renew":
                grants.renew(chosen, now_s)
                expires_s |= dict.fromkeys(chosen, now_s + GRANT_TTL_S)
            else:
                grants.record_refusal("a", now_s)
            self.assertLessEqual(len(expires_s), SLOTS)
            self.assertGreaterEqual(grants.in_use("a"), len(expires_s))
        grants.drop_expired(now_s + GRANT_TTL_S + 0.1)
        self.assertEqual(grants.in_use("a"), 0)

    def test_target_that_refused_gets_less_for_a_while(self):
        grants = SlotGrants()
        held = grants.grant("a", SLOTS, "r", SLOTS, 0.0)
        self.assertEqual(grants.holders("a"), Counter(r=SLOTS))
        grants.record_refusal("a", 0.0)
        grants.end(held)
        self.assertEqual(grants.grant("a", SLOTS, "r", 1, 0.5 * REFUSED_HOLD_S), ())
        held = grants.grant("a", SLOTS, "r", SLOTS, REFUSED_HOLD_S)
        self.assertEqual(len(held), SLOTS - 1)
        grants.end(held)
        self.assertEqual(len(grants.grant("a", SLOTS, "r", SLOTS, REGAIN_INTERVAL_S)), SLOTS)
