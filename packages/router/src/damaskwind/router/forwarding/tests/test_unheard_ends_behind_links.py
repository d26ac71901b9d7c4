"""Tests of unframed answers of targets that end behind a link, as the targets of the soak do.

A link is a proxy: it accepts connections whether its target runs or not, and tells of an end when
it gets to it.
"""

from twisted.internet import reactor

from damaskwind.router.forwarding.tests.bench import NAMES
from damaskwind.router.forwarding.tests.test_unheard_ends import TWO_EVENTS, UnheardEndTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.faulty_network import FaultyNetwork
from damaskwind.standins.impairment import Impairment, LinkImpairment
from damaskwind.standins.scripted_target import ScriptedTarget, unframed

BLACKHOLE = Impairment(blackhole=True)


class LinkedTestCase(UnheardEndTestCase):
    """The target serves behind a link."""

    async def start(self):
        await super().start()
        self.network = FaultyNetwork(reactor)
        address = self.view.targets.record_of("t0").address
        self.link = self.network.add_link("t0", "tcp", address)
        self.admit("t0", self.link.address, sequence=101)

    async def finish(self):
        await super().finish()
        await self.network.stop()


class UnheardEndBehindLinkTest(LinkedTestCase):
    @asyncio_test
    async def test_connection_that_is_half_open_is_no_proof(self):
        """Guards against a target that ends while its link is half open (soak seed 314576266)."""
        await self.open_connection()
        self.link.half_open()
        self.share(self.ending_process())
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_connection_whose_end_the_link_tells_later_is_no_proof(self):
        """Guards against a link that is slow or busy and tells of one end before the others."""
        await self.open_connection()
        other = self.link.connections[0]
        other.to_caller.pauseProducing()

        async def exit_process(writer, request):
            try:
                await unframed(TWO_EVENTS)(writer, request)
            finally:
                self.target.exit()

        self.share(exit_process)
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_new_connection_that_the_link_does_not_get_to_is_no_proof(self):
        """Guards against a link that accepts and finds out later that nothing listens there."""

        async def exit_process(writer, request):
            self.link.impair(LinkImpairment(to_target=BLACKHOLE))
            await self.ending_process()(writer, request)

        self.share(exit_process)
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_next_process_that_listens_behind_the_link_is_no_proof(self):
        """Guards against a target that says it leaves, ends and is replaced (seed 958460398)."""
        following = ScriptedTarget(NAMES)
        following.named_id = b"t7"
        self.targets.append(following)
        address = await following.start()

        async def exit_process(writer, request):
            self.link.target = address
            await self.ending_process()(writer, request)

        self.share(exit_process)
        self.assertEqual(await self.read(), (TWO_EVENTS, False))
