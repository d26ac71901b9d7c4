"""Tests of ids of events, which are passed on as they are."""

from twisted.trial.unittest import TestCase

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.event_position import EventPosition
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.scripted_target import stream_pieces

STREAM = {"kind": RouteKind.STREAMING, "is_resumable": True}
# Numbers that a float can't hold, numbers written in other ways, and ids that are no numbers.
IDS = (
    b"0",
    b"007",
    b"9007199254740993",
    b"7146812345678901010",
    b"123456789012345678901234567890",
    b"9" * 5000,
    b"1e3",
    b"+5",
    b"-1",
    b"12.50",
    b"1526919030474-9",
    b"a b,c",
    b"\xc3\xa9",
    b"inf",
    b"x" * 300,
)


def events(ids):
    """Return events with these ids and pieces that tell them apart."""
    return [b"id: %s\ndata: piece %d\n\n" % (item, at) for at, item in enumerate(ids)]


class EventIdTest(ForwarderTestCase):
    async def start(self):
        await super().start()
        self.publish(route(**STREAM))

    def resumed_after(self):
        """Return the position that each target was asked to go on after."""
        return {request.headers.get(b"last-event-id") for request in self.received()}

    @asyncio_test
    async def test_id_that_a_caller_sends_reaches_the_target_byte_for_byte(self):
        """Guards against ids that are read as numbers and written anew."""
        for number, value in enumerate(IDS):
            self.script(stream_pieces([]))
            await self.call(request_id=b"r%d" % number, last_event_id=value)
            (got,) = self.received()
            self.assertEqual(got.headers.get(b"last-event-id"), value)
            for target in self.targets:
                target.received.clear()

    @asyncio_test
    async def test_stream_goes_on_after_the_bytes_of_its_last_event_id(self):
        """Guards against a stream that begins anew since its ids are no numbers."""
        for kind in ("1526919030474-%d", "%d", "900719925474099%d", "00%d", "chat/%d"):
            ids = [(kind % number).encode() for number in range(1, 6)]
            whole = events(ids)
            self.share(stream_pieces(whole[:3], is_cut=True), stream_pieces(whole[3:]))
            answer = await self.call(request_id=ids[0])
            self.assertEqual(answer.body, b"".join(whole))
            self.assertEqual(self.resumed_after(), {None, ids[2]})
            for target in self.targets:
                target.received.clear()

    @asyncio_test
    async def test_events_that_a_target_repeats_are_sent_once(self):
        """Guards against pieces that come twice where a target ignores the position."""
        for first in (1, 3):
            whole = events([b"7-%d" % number for number in range(1, 6)])
            repeated = stream_pieces(whole[first - 1 :])
            self.share(stream_pieces(whole[:3], is_cut=True), repeated)
            answer = await self.call(request_id=b"from-%d" % first)
            self.assertEqual(answer.body, b"".join(whole))

    async def assert_breaks_off(self, pieces):
        """Assert that a stream which is cut after these pieces is not begun anew."""
        self.share(stream_pieces(pieces, is_cut=True), stream_pieces(pieces))
        with self.assertRaises(AnswerBrokenError):
            await self.call()
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_stream_without_ids_is_broken_off_and_not_begun_anew(self):
        """Guards against pieces that come twice in one answer."""
        await self.assert_breaks_off([b"data: 1\n\n", b"data: 2\n\n"])

    @asyncio_test
    async def test_stream_whose_last_id_cannot_be_sent_is_broken_off(self):
        """Guards against a position that is cut short or left out without a word."""
        await self.assert_breaks_off(events([b"1", b"x" * 9000]))

    @asyncio_test
    async def test_stream_whose_last_id_is_empty_is_broken_off(self):
        """Guards against taking an id that was reset for no id."""
        await self.assert_breaks_off([*events([b"1"]), b"id\ndata: 2\n\n"])

    @asyncio_test
    async def test_comments_do_not_keep_a_stream_from_beginning_elsewhere(self):
        """Guards against breaking a stream off of which nothing but signs of life was sent."""
        alive, whole = b": alive\n\n", events([b"1", b"2"])
        self.share(stream_pieces([alive], is_cut=True), stream_pieces(whole))
        answer = await self.call()
        self.assertEqual(answer.body, alive + b"".join(whole))


class EventPositionTest(TestCase):
    def sent(self, *attempts):
        """Return the places of the events that pass, of attempts that are given by ids."""
        position = EventPosition()
        passed = []
        for ids in attempts:
            position.begin_attempt()
            passed.append([at for at, event in enumerate(events(ids)) if position.passes(event)])
        return passed, position

    def test_numbers_are_compared_whatever_their_length(self):
        """Guards against an order of texts, by which 10 comes before 9."""
        low, high = b"9" * 30, b"1" + b"0" * 30
        passed, position = self.sent([low], [low, high])
        self.assertEqual((passed, position.last_id), ([[0], [1]], high))

    def test_repeated_ids_of_one_attempt_pass(self):
        """Guards against dropping pieces of a target that gives several events one id."""
        passed, _ = self.sent([b"a", b"a", b"b", b"a"])
        self.assertEqual(passed, [[0, 1, 2, 3]])

    def test_attempt_that_ends_before_the_last_event_is_behind(self):
        """Guards against a stream that ends as complete although a target repeated its start."""
        passed, position = self.sent([b"a", b"b", b"c"], [b"a", b"b"])
        self.assertEqual((passed[1], position.is_behind), ([], True))
