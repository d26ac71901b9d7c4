"""Tests of the routers that wait for slots of a brittle target at the one that grants them."""

import asyncio
from itertools import product
from types import SimpleNamespace

from twisted.trial.unittest import TestCase

from damaskwind.decisions.admission.slot_owners import Granter, NewsOrigin
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.slot_granting import SlotGranting
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock

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
