"""Tests of answers in progress while what is known of their target changes.

Guards against connections to sound targets that are closed while an answer is in progress.
"""

import asyncio

from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.scripted_target import stream
from damaskwind.wire.news import News

EVENTS, PAUSE_S = 12, 0.05


class AnswersInProgressTest(ForwarderTestCase):
    """Begins a stream that may not be resumed, and changes its target before its end."""

    async def begin(self):
        """Return a call in progress and the record of its target."""
        self.publish(route(RouteKind.STREAMING, is_resumable=False, timeout_s=5.0))
        self.script(stream(1, EVENTS, PAUSE_S))
        calling = asyncio.ensure_future(self.call(x_deadline_ms=b"5000"))
        while not self.received():
            await asyncio.sleep(0.01)
        await asyncio.sleep(2 * PAUSE_S)
        number = next(index for index, target in enumerate(self.targets) if target.received)
        return calling, self.view.targets.record_of(f"t{number}")

    def hear(self, *records):
        """Apply a replica's update of these records."""
        self.view.handle_news("replica", News("e", 1, 1, True, (), 1, records, ()))

    async def check_whole(self, calling):
        answer = await calling
        self.assertEqual((answer.status, answer.body.count(b"data:")), (200, EVENTS))
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_answer_of_a_leaving_target_is_whole(self):
        calling, record = await self.begin()
        self.hear(record._replace(phase=TargetPhase.LEAVING, sequence=101))
        await self.check_whole(calling)

    @asyncio_test
    async def test_answer_of_a_target_that_is_gone_is_whole(self):
        calling, record = await self.begin()
        self.hear(record._replace(phase=TargetPhase.GONE, sequence=101))
        await self.check_whole(calling)

    @asyncio_test
    async def test_answer_of_a_target_whose_address_moves_is_whole(self):
        calling, record = await self.begin()
        self.hear(record._replace(address=Address("127.0.0.1", 9), sequence=101))
        await self.check_whole(calling)

    @asyncio_test
    async def test_answer_of_a_target_that_is_unreachable_by_new_connections_is_whole(self):
        calling, record = await self.begin()
        self.connections.watch(record.target_id, record.address)
        await self.check_whole(calling)

    @asyncio_test
    async def test_answer_of_a_target_whose_kernel_is_silent_goes_on_after_it(self):
        calling, record = await self.begin()
        for connection in self.connections._established[record.target_id]:
            connection.on_unacknowledged()
        self.assertTrue(self.connections.is_unreachable(record.target_id))
        await self.check_whole(calling)
        self.assertFalse(self.connections.is_unreachable(record.target_id))
