"""Tests of the routers that wait for slots of a brittle target at the one that grants them."""

import asyncio
from itertools import product
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.decisions.admission.slot_owners import LIST_TTL_S, Granter, NewsOrigin
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.model.targets import Address
from damaskwind.router.forwarding import slot_permits
from damaskwind.router.forwarding.slot_granting import SlotGranting
from damaskwind.router.forwarding.slot_permits import SlotPermits
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.clock import override_clock, read_clock
from damaskwind.runtime.http1.client import ConnectFailedError

TARGET = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 1, 2)


async def pass_steps(count):
    """Let other tasks run so many times."""
    for _ in range(count):
        await asyncio.sleep(0)


class WaitingTest(TestCase):
    timeout = 10

    def setUp(self):
        own_peer = PeerEndpoint("h", "k", "d")
        targets = SimpleNamespace(record_of={TARGET.target_id: TARGET}.get)
        view = SimpleNamespace(own_peer=own_peer, targets=targets)
        self.granting = SlotGranting(view, lambda service: 0.0)
        origin = NewsOrigin(leads=True, is_current=True)
        self.granting.owners.update(origin, [Granter(own_peer, 60.0)], read_clock())

    def wait(self, holder):
        return asyncio.ensure_future(self.granting.wait(TARGET, holder, 0.5))

    @asyncio_test
    async def test_router_that_comes_while_others_are_served_is_not_forgotten(self):
        """Guards against a free slot that nobody gets until a question times out."""
        for steps in product(range(3), repeat=3):
            held = self.granting.take(TARGET, "r", 2)
            served = [self.wait("r1"), self.wait("r2")]
            await pass_steps(3)
            for number, count in zip(held, steps, strict=False):
                self.granting.end((number,))
                await pass_steps(count)
            last, begun_s = self.wait("r3"), read_clock()
            await pass_steps(steps[-1])
            for waiting in served:
                self.granting.end(await waiting)
            self.granting.end(await last)
            self.assertLess(read_clock() - begun_s, 0.25, steps)

    @asyncio_test
    async def test_slot_of_a_router_that_left_goes_to_the_next(self):
        """Guards against a slot that is granted to nobody until its lease ends."""
        held = self.granting.take(TARGET, "r", 2)
        first, second = self.wait("r1"), self.wait("r2")
        await asyncio.sleep(0)
        self.granting.end(held[:1])
        first.cancel()
        self.assertEqual(len(await second), 1)
        self.assertEqual(self.granting.grants.in_use(TARGET.target_id), 2)


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
