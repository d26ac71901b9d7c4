"""Tests of a router that grants slots of brittle targets and hears no replica."""

from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.decisions.admission.slot_owners import LIST_TTL_S, Granter, NewsOrigin
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.router.forwarding import slot_permits
from damaskwind.router.forwarding.slot_granting import SlotGranting
from damaskwind.router.forwarding.slot_permits import SlotPermits
from damaskwind.router.forwarding.tests.test_slot_granting import pass_steps
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.clock import override_clock
from damaskwind.runtime.http1.client import ConnectFailedError


class SilentRoutersTest(TestCase):
    """A router that grants slots, and another one that does not answer; no socket is opened."""

    timeout = 10

    def setUp(self):
        self.now_s = 100.0
        self.enterContext(override_clock(lambda: self.now_s))
        own_peer, other = PeerEndpoint("h", "k", "d"), PeerEndpoint("h2", "k2", "d")
        view = SimpleNamespace(own_peer=own_peer, targets=None)
        self.granting = SlotGranting(view, lambda service: 0.0)
        self.permits = SlotPermits(self.granting, "r", "h", Random(1))
        origin = NewsOrigin(leads=True, is_current=True)
        granters = [Granter(own_peer, 60.0), Granter(other, 60.0)]
        self.granting.owners.update(origin, granters, self.now_s)
        self.error = TimeoutError()
        patcher = patch.object(slot_permits, "call_peer", self.call)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.addCleanup(lambda: to_deferred(self.permits.stop()))

    async def call(self, *args):
        raise self.error

    async def count_granted(self):
        """Hear no replica, ask the other router; return of how many targets slots are granted."""
        self.now_s += LIST_TTL_S + 1.0
        self.permits._check_others()
        await pass_steps(5)
        owners = self.granting.owners
        return sum(owners.may_grant(f"t{number}", 0.0, self.now_s) for number in range(20))

    @asyncio_test
    async def test_router_goes_on_granting_if_the_other_one_has_ended(self):
        self.error = ConnectFailedError("refused")
        self.error.__cause__ = ConnectionRefusedError()
        self.assertGreater(await self.count_granted(), 0)

    @asyncio_test
    async def test_router_that_is_cut_off_from_all_grants_no_slots(self):
        """Guards against two routers that grant the slots of one target at the same time."""
        self.assertEqual(await self.count_granted(), 0)
