"""Tests of the ends of events, with streams that arrive in pieces of any size."""

from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.router.forwarding.events import EventBoundary, EventSplitter

STREAMS = 20_000
SEED = 1


def make_stream(random):
    """Return a stream with line ends of one kind and some blank lines."""
    end = random.choice([b"\n", b"\r\n", b"\r"])
    blank = [b"", b"", end, end + end]
    events = [
        b"id: %d%sdata: x%s%s%s" % (number, end, end, end, random.choice(blank))
        for number in range(random.randint(1, 3))
    ]
    return random.choice([b"", end]) + b"".join(events)


def pieces(data, random):
    while data:
        size_bytes = random.randint(1, 6)
        yield data[:size_bytes]
        data = data[size_bytes:]


class EventEndsTest(TestCase):
    def read(self, data, random):
        """Return the bytes that pass in complete events, and the open bytes by the boundary."""
        splitter, boundary, passed, open_bytes = EventSplitter(), EventBoundary(), b"", 0
        for piece in pieces(data, random):
            passed += b"".join(splitter.feed(piece))
            open_bytes = boundary.feed(piece)
        self.assertEqual(passed + splitter.partial, data)
        self.assertEqual(bool(splitter.partial), bool(open_bytes), data)
        return passed, open_bytes

    def test_whole_stream_is_whole_however_it_arrives(self):
        """Guards against a whole stream that is reset since a piece ended inside a line end."""
        random = Random(SEED)
        for _ in range(STREAMS):
            stream = make_stream(random)
            self.assertEqual(self.read(stream, random), (stream, 0))

    def test_splitter_and_boundary_agree_on_each_cut(self):
        """Guards against a cut stream that is complete on one kind of route only."""
        random = Random(SEED)
        for _ in range(STREAMS):
            stream = make_stream(random)
            self.read(stream[: random.randint(0, len(stream))], random)
