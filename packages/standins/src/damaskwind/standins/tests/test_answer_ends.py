"""Tests of how a target frames its answers and breaks them off."""

import asyncio
from collections import Counter
from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.answer_ends import (
    AnswerEnd,
    AnswerEnds,
    labeled_event,
    labels,
    write_body,
    write_events,
)
from damaskwind.standins.scripted_target import ScriptedEndError

EVENTS = [labeled_event(number, "v1.1", "i-1/2") for number in (1, 2, 3)]
TEXT = b"".join(EVENTS)
PIECES = 200


class DrawTest(TestCase):
    def test_shares_are_kept(self):
        random, ends = Random(7), AnswerEnds(unframed_share=0.5, broken_share=0.2)
        drawn = Counter(ends.draw(random) for _ in range(2000))
        self.assertLess(abs(drawn[AnswerEnd.FRAMED] / 2000 - 0.5), 0.05)
        self.assertLess(abs(drawn[AnswerEnd.BROKEN] / 2000 - 0.1), 0.03)

    def test_nothing_is_drawn_while_all_are_framed(self):
        """Guards against other plays of the seeds that were recorded before."""
        random = Random(7)
        state = random.getstate()
        self.assertIs(AnswerEnds().draw(random), AnswerEnd.FRAMED)
        self.assertEqual(random.getstate(), state)


class WriteTest(TestCase):
    async def written(self, write):
        """Return the bytes that `write` sends, and whether it asks for the connection's end."""
        received, is_ended = [], []

        async def serve(reader, writer):
            try:
                await write(writer)
            except ScriptedEndError:
                is_ended.append(True)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        received.append(await reader.read())
        writer.close()
        server.close()
        return b"".join(received), bool(is_ended)

    async def stream(self, end, random):
        return await self.written(lambda writer: write_events(writer, EVENTS, end, random))

    @asyncio_test
    async def test_framed_stream_keeps_its_connection(self):
        text, is_ended = await self.stream(AnswerEnd.FRAMED, Random(7))
        self.assertTrue(text.endswith(b"0\r\n\r\n"))
        self.assertFalse(is_ended)

    @asyncio_test
    async def test_unframed_stream_is_whole_and_ends_its_connection(self):
        self.assertEqual(await self.stream(AnswerEnd.UNFRAMED, Random(7)), (TEXT, True))

    @asyncio_test
    async def test_broken_stream_always_ends_inside_an_event(self):
        """Guards against breaks that can't be told from an end between two events."""
        random, sizes = Random(7), set()
        for _ in range(PIECES):
            text, is_ended = await self.stream(AnswerEnd.BROKEN, random)
            self.assertTrue(is_ended and TEXT.startswith(text))
            self.assertFalse(text.endswith(b"\n\n"))
            sizes.add(len(text))
        self.assertIn(len(EVENTS[0]) - 1, sizes)

    @asyncio_test
    async def test_broken_body_is_not_whole(self):
        for end, is_whole in ((AnswerEnd.UNFRAMED, True), (AnswerEnd.BROKEN, False)):
            text, is_ended = await self.written(
                lambda writer, end=end: write_body(writer, b"head ", b"body", end, Random(7))
            )
            self.assertTrue(is_ended and b"head body".startswith(text))
            self.assertEqual(text == b"head body", is_whole)


class LabelsTest(TestCase):
    def test_labels_are_those_of_the_event(self):
        self.assertEqual(labels(EVENTS[1].removesuffix(b"\n\n")), (2, "v1.1", "i-1/2"))
