"""Tests of streams that are cut at each byte of their head and of their first events."""

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, route
from damaskwind.router.forwarding.tests.cut_heads import (
    ANSWERS,
    BODY,
    MAY_HAVE_RUN,
    CutHeadsTestCase,
)
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.cut_answers import CutEnd, cut_after
from damaskwind.standins.scripted_target import stream


class StreamsTest(CutHeadsTestCase):
    @asyncio_test
    async def test_stream_that_is_cut_at_any_byte_is_not_whole(self):
        self.publish(route(RouteKind.STREAMING))
        statuses = await self.ask_cut(ANSWERS[:5])
        self.assertLessEqual({status for status, *_ in statuses}, MAY_HAVE_RUN)

    @asyncio_test
    async def test_stream_that_goes_on_elsewhere_is_whole(self):
        """Guards against events that are lost or repeated where the first answer was cut."""

        async def go_on(writer, request):
            after = int(request.headers.get(NAMES.resume_after, b"0"))
            await stream(after + 1, 2)(writer, request)

        self.publish(route(RouteKind.STREAMING, is_resumable=True))
        for answer in ANSWERS[:3:2]:
            for size in range(len(answer.data)):
                cut = cut_after(answer.data[:size], CutEnd.CLOSE)
                self.assertEqual(await self.ask(cut, go_on, go_on), (200, BODY), size)
