"""Tests of answers that have neither a length nor chunks and end with their connection."""

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.scripted_target import event, unframed

THREE_EVENTS = event(1) + event(2) + event(3)


class StreamThatMayNotBeResumedTest(ForwarderTestCase):
    async def start(self):
        await super().start()
        self.publish(route(RouteKind.STREAMING))

    async def read(self):
        """Return what a caller gets of a stream, and whether the answer was complete."""
        connection = await self.connect()
        connection.send(self.request())
        await connection.read_head()
        pieces = []
        try:
            while (piece := await connection.read_data()) is not None:
                pieces.append(piece)
        except AnswerBrokenError:
            return b"".join(pieces), False
        return b"".join(pieces), True

    @asyncio_test
    async def test_unframed_stream_that_ends_inside_an_event_does_not_look_complete(self):
        """Guards against a last chunk after a stream that its target broke off."""
        looked_complete = []
        for size_bytes in range(len(event(1)) + 1, len(THREE_EVENTS)):
            cut = THREE_EVENTS[:size_bytes]
            if cut == event(1) + event(2):
                continue
            self.share(unframed(cut))
            got, is_complete = await self.read()
            self.assertTrue(cut.startswith(got))
            if is_complete:
                looked_complete.append(size_bytes)
        self.assertEqual(looked_complete, [])

    @asyncio_test
    async def test_unframed_stream_that_ends_after_an_event_is_whole(self):
        self.share(unframed(THREE_EVENTS))
        self.assertEqual(await self.read(), (THREE_EVENTS, True))
