"""Tests of who grants the slots of brittle targets while routers come, end and fall silent.

Guards against two routers that grant the slots of one target at the same time.
"""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskwind.decisions.admission.slot_owners import (
    LIST_TTL_S,
    SWITCH_S,
    Granter,
    NewsOrigin,
    SlotOwners,
)
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint

TARGETS = [f"t{number}" for number in range(6)]
ROUTERS = [PeerEndpoint(f"h{number}", f"k{number}") for number in range(5)]
LEADER, OTHER = NewsOrigin(True, True), NewsOrigin(False, True)
# Silent routers are dropped by the replicas after this time.
SUBSCRIBER_TTL_S = 4.0
STEP_S = 0.25
# What a router granted has ended by this time after it.
GRANT_S = 0.5


class _Fleet:
    """Routers that hear the leader's list every second, each `lag` steps after the whole second."""

    def __init__(self, lags):
        self.lags = lags
        self.now_s = 100.0
        self.owners = [SlotOwners(item.key, 0.0) for item in ROUTERS]
        self.joined_s = dict.fromkeys(range(len(ROUTERS) - 1), 0.0)
        self.heard_s = dict.fromkeys(range(len(ROUTERS)), self.now_s)
        self.silent, self.ended = set(), set()
        self.granted_s = {}

    def step(self):
        """Advance, tell lists, and check who grants; return the number of targets granted."""
        self.now_s += STEP_S
        for number, owners in enumerate(self.owners):
            if number in self.silent | self.ended or number not in self.joined_s:
                continue
            if int(self.now_s / STEP_S) % 4 == self.lags[number]:
                self.heard_s[number] = self.now_s
                owners.update(LEADER, self.named(), self.now_s)
            owners.update(OTHER, None, self.now_s)
        return sum(self.check(target_id) for target_id in TARGETS)

    def named(self):
        return [
            Granter(ROUTERS[number], self.now_s - joined_s)
            for number, joined_s in self.joined_s.items()
            if self.now_s - self.heard_s[number] <= SUBSCRIBER_TTL_S
        ]

    def check(self, target_id):
        granting = [
            number
            for number, owners in enumerate(self.owners)
            if number not in self.ended and owners.may_grant(target_id, 0.0, self.now_s)
        ]
        former, granted_s = self.granted_s.get(target_id, (None, 0.0))
        for number in granting:
            if former not in (None, number):
                assert self.now_s - granted_s >= GRANT_S, (target_id, former, granting)
            self.granted_s[target_id] = (number, self.now_s)
        assert len(granting) <= 1, (target_id, granting)
        return len(granting)


class OneOwnerTest(TestCase):
    @settings(deadline=None, max_examples=100)
    @given(
        st.lists(st.integers(0, 3), min_size=5, max_size=5),
        st.lists(
            st.tuples(st.sampled_from(["join", "silence", "end"]), st.integers(0, 24)),
            max_size=4,
        ),
    )
    def test_one_router_grants_a_target_while_lists_travel(self, lags, events):
        fleet = _Fleet(lags)
        for _ in range(16):
            fleet.step()
        for number, (event, pause) in enumerate(events):
            if event == "join" and 4 not in fleet.joined_s:
                fleet.joined_s[4] = fleet.heard_s[4] = fleet.now_s
            elif event == "silence":
                fleet.silent.add(number)
            elif event == "end":
                fleet.ended.add(number)
                for owners in fleet.owners:
                    owners.record_ended(ROUTERS[number], fleet.now_s)
            for _ in range(pause):
                fleet.step()
        for _ in range(60):
            granted = fleet.step()
        if len(fleet.silent | fleet.ended) < len(fleet.joined_s):
            self.assertEqual(granted, len(TARGETS))


class SilenceTest(TestCase):
    """Guards against a router without replicas that goes on beside the one that replaced it."""

    def setUp(self):
        self.owners = SlotOwners("k0", 0.0)
        self.owners.update(LEADER, [Granter(item, 60.0) for item in ROUTERS[:2]], 0.0)
        self.target_id = next(
            name for name in TARGETS if self.owners.owner_of(name, 0.0) == ROUTERS[0]
        )

    def test_silent_router_asks_the_next_one_until_none_hears_a_replica(self):
        now_s = LIST_TTL_S
        self.assertTrue(self.owners.is_silent(now_s))
        self.assertEqual(self.owners.owner_of(self.target_id, now_s), ROUTERS[1])
        self.owners.record_alone(now_s)
        self.assertTrue(self.owners.may_grant(self.target_id, 0.0, now_s))

    def test_suspended_router_does_not_trust_its_list(self):
        now_s = 100.0
        self.owners.record_alone(now_s)
        self.assertFalse(self.owners.may_grant(self.target_id, 0.0, now_s, woken_s=now_s))

    def test_router_that_has_just_started_waits(self):
        owners = SlotOwners("k0", 0.0)
        owners.update(LEADER, [Granter(ROUTERS[0], 0.1), Granter(ROUTERS[1], 0.1)], 0.1)
        self.assertFalse(owners.may_grant(self.target_id, -60.0, 0.2))
        owners.update(LEADER, None, 0.1 + SWITCH_S)
        self.assertTrue(owners.may_grant(self.target_id, -60.0, 0.1 + SWITCH_S))

    def test_no_list_no_owner(self):
        self.assertEqual(SlotOwners("k", 0.0).owner_of("t", 1.0), NO_PEER)
