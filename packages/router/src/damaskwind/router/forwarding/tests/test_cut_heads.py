"""Tests of answers that are cut at each byte, to requests that may run once."""

import asyncio

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, route
from damaskwind.router.forwarding.tests.cut_heads import (
    ANSWERS,
    BODY,
    ID_FIELD,
    MAY_HAVE_RUN,
    PAUSES_S,
    CutHeadsTestCase,
)
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.cut_answers import CutEnd, cut_after, framed_answers, in_packets
from damaskwind.standins.scripted_target import plain, raw


class RequestsThatRunOnceTest(CutHeadsTestCase):
    async def start(self):
        await super().start()
        self.publish(route(RouteKind.NON_IDEMPOTENT))

    @asyncio_test
    async def test_answer_that_is_cut_at_any_byte_is_neither_whole_nor_sent_again(self):
        statuses = await self.ask_cut()
        self.assertEqual({(status, sends) for status, _, sends in statuses}, {(502, 1)})
        self.assertGreater(statuses.total(), 2000)

    @asyncio_test
    async def test_answer_that_is_cut_after_a_pause_is_not_whole(self):
        """Guards against a 503, which tells that the request did not run."""
        for pause_s in PAUSES_S:
            for end in CutEnd:
                steps = [
                    cut_after(ANSWERS[number].data[:size], end, pause_s)
                    for number in (0, 2)
                    for size in (0, 9, 17, 30, ANSWERS[number].head_bytes - 1)
                ]
                # A reset after a long silence shows a target that can't be reached.
                await self.renew()
                self.share(*steps)
                answers = await asyncio.gather(*(self.call() for _ in steps))
                self.assertLessEqual({answer.status for answer in answers}, MAY_HAVE_RUN)
                self.assertEqual(len(self.received()), len(steps))

    @asyncio_test
    async def test_head_in_many_packets_is_whole_only_with_its_end(self):
        for answer in ANSWERS:
            self.assertEqual(await self.ask(in_packets(answer.data)), (200, BODY), answer.name)
            for size in range(0, len(answer.data), 3):
                cut = cut_after(answer.data[:size], CutEnd.CLOSE, is_split=True)
                self.assertEqual((await self.ask(cut))[0], 502, answer.name)

    @asyncio_test
    async def test_head_without_a_frame_is_not_whole_before_its_empty_line(self):
        """Guards against a head that is cut before the field with its frame."""
        fields = (b"content-type: text/plain", b"connection: close", b"x-a: b")
        for version in (b"1.1", b"1.0"):
            lines = (b"HTTP/" + version + b" 200 OK", ID_FIELD, *fields)
            head = b"\r\n".join(lines) + b"\r\n\r\n"
            for size in range(len(head)):
                for end in CutEnd:
                    self.assertEqual((await self.ask(cut_after(head[:size], end)))[0], 502)

    @asyncio_test
    async def test_frame_that_contradicts_itself_is_not_whole(self):
        for frame in (
            b"content-length: 5\r\ncontent-length: 17",
            b"content-length: 5, 17",
            b"content-length: x",
            b"content-length:",
            b"content-length: -5",
            b"content-length: 1e1",
            b"transfer-encoding:",
            b"transfer-encoding: gzip",
        ):
            head = b"HTTP/1.1 200 OK\r\n%s\r\n%s\r\n\r\n" % (ID_FIELD, frame)
            for data in (head, head + b"whole", head + b"whole, and more"):
                for then_close in (True, False):
                    self.assertEqual((await self.ask(raw(data, then_close)))[0], 502, frame)

    @asyncio_test
    async def test_second_answer_on_a_kept_connection_is_not_whole_if_it_is_cut(self):
        self.leave_one_target()
        for answer in ANSWERS[:3]:
            for size in range(len(answer.data)):
                for end in CutEnd:
                    self.assertEqual(await self.ask(plain()), (200, b"whole"))
                    opened = self.connections.opened
                    cut = cut_after(answer.data[:size], end)
                    self.assertEqual((await self.ask(cut))[0], 502)
                    self.assertEqual(self.connections.opened, opened)

    @asyncio_test
    async def test_late_answer_to_an_earlier_request_that_is_cut_is_not_whole(self):
        """Guards against the own answer read from the middle of another one, and the reverse."""
        self.leave_one_target()
        for late in framed_answers(NAMES.request_id + b": r0", b"late")[:4]:
            data = late.data + ANSWERS[0].data
            for size in range(len(data)):
                await self.ask(plain())
                status, _ = await self.ask(cut_after(data[:size], CutEnd.CLOSE))
                self.assertEqual(status, 502)
            await self.ask(plain())
            self.assertEqual(await self.ask(raw(data)), (200, BODY))
