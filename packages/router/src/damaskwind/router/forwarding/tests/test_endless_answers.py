"""Tests of targets that send without end, in a head, a body or an event."""

import asyncio
import threading
import time
from itertools import count

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.endless_target import EndlessPart, send_endless
from damaskwind.standins.scripted_target import ScriptedTarget, plain, stream

MIB = 2**20
# What a target may send of one event before it is reset: the bound of an event, and what lies in
# the buffers of both sockets and of both programs, of which the kernel's grow to 6 MB each.
MAX_SENT_BYTES = 16 * MIB
# For the reset to arrive at the target.
RESET_S = 5.0
MAX_TURN_S = 0.05
# For how long a target floods while the turns of the loop are measured.
FLOOD_S = 1.5
STREAMS = (EndlessPart.EVENT, EndlessPart.UNFRAMED_EVENT, EndlessPart.EMPTY_LINES)
HEADS = (
    EndlessPart.STATUS_LINE,
    EndlessPart.FIELD_LINE,
    EndlessPart.FIELDS,
    EndlessPart.CONTINUE,
    EndlessPart.EARLY_HINTS,
)


class LoopTurns:
    """The longest turn of the event loop, in processor time of its thread.

    Processor time leaves out what the machine spends on other processes.
    """

    def __init__(self):
        self.max_s = 0.0
        self._task = asyncio.ensure_future(self._watch())

    async def _watch(self):
        while True:
            begun_s = time.thread_time()
            await asyncio.sleep(0)
            self.max_s = max(self.max_s, time.thread_time() - begun_s)

    def stop(self):
        self._task.cancel()
        return self.max_s


class FloodingThread:
    """A target that answers without end from a thread of its own, so that it floods.

    In the loop of the router it would send only as much in each turn as it is given.
    """

    def __init__(self, part):
        self.address = None
        self._loop = asyncio.new_event_loop()
        self._target = ScriptedTarget(NAMES, default=send_endless(part))
        self._thread = threading.Thread(target=self._run)
        self._started = threading.Event()
        self._thread.start()
        self._started.wait()

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self.address = self._loop.run_until_complete(self._target.start())
        self._started.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._target.stop())
        self._loop.close()

    def in_progress(self):
        return self._target.in_progress()

    def stop(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


class EndlessAnswersTestCase(ForwarderTestCase):
    timeout = 60
    kind = RouteKind.STREAMING
    is_resumable = True
    max_attempts = 2

    async def start(self):
        await super().start()
        self.sent_bytes = 0
        self.sequences = count(200)
        self.publish(
            route(
                kind=self.kind,
                is_resumable=self.is_resumable,
                max_attempts=self.max_attempts,
                timeout_s=30.0,
                objective_s=5.0,
                gap_objective_s=5.0,
            )
        )

    def flood(self, part, then=None):
        """Have the first request answered without end, and the later ones by `then`."""

        def add(size_bytes):
            self.sent_bytes += size_bytes

        self.share(send_endless(part, on_sent=add), *([then] if then else ()))

    async def read(self, request_id=b"r1"):
        """Make one call; return the status, the body, and whether it came to its end."""
        connection = await self.connect()
        connection.send(self.request(request_id=request_id, x_deadline_ms=b"30000"))
        head = await connection.read_head()
        body = bytearray()
        try:
            while (data := await connection.read_data()) is not None:
                body += data
        except AnswerBrokenError:
            return head.status, bytes(body), False
        return head.status, bytes(body), True

    async def read_bounded(self):
        """Make a call, and return its result, once its target was reset within the bound."""
        calling = asyncio.ensure_future(self.read())
        self.addCleanup(calling.cancel)
        while not calling.done():
            self.assertLess(self.sent_bytes, MAX_SENT_BYTES)
            await asyncio.sleep(0.001)
        await self.require_reset()
        return calling.result()

    async def longest_turn(self, part):
        """Return the processor time of the longest turn while a target floods with a part."""
        flooding = FloodingThread(part)
        self.admit("t0", flooding.address, sequence=next(self.sequences))
        self.view.targets.leave("t1", read_clock())
        turns = LoopTurns()
        calling = asyncio.ensure_future(self.read())
        await asyncio.wait([calling], timeout=FLOOD_S)
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
        max_s = turns.stop()
        flooding.stop()
        return max_s

    def too_long(self):
        """Return how many answers were counted as too long, by the part that was."""
        totals = self.forwarder.tallies.totals("answers_too_long")
        return {dict(labels)["part"]: number for labels, number in totals.items()}

    async def require_reset(self):
        """Wait until no target sends any more."""
        deadline_s = read_clock() + RESET_S
        while any(target.in_progress() for target in self.targets):
            self.assertLess(read_clock(), deadline_s)
            await asyncio.sleep(0.01)


class ResumableStreamTest(EndlessAnswersTestCase):
    @asyncio_test
    async def test_event_without_end_is_taken_up_by_another_target(self):
        """Guards against an event that is held without a bound until the deadline."""
        for part in (EndlessPart.EVENT, EndlessPart.UNFRAMED_EVENT):
            self.sent_bytes = 0
            self.flood(part, stream(2, 3))
            status, body, is_whole = await self.read_bounded()
            self.assertEqual((status, is_whole), (200, True))
            self.assertTrue(body.endswith(b"id: 3\ndata: piece 3\n\n"))
            self.assertNotIn(b"xxx", body)
        self.assertEqual(self.too_long(), {"event": 2})

    @asyncio_test
    async def test_empty_lines_without_end_are_not_passed_on_for_ever(self):
        """Guards against a stream that brings nothing but line ends until the deadline."""
        self.flood(EndlessPart.EMPTY_LINES, stream(2, 3))
        status, body, is_whole = await self.read_bounded()
        self.assertEqual((status, is_whole), (200, True))
        self.assertTrue(body.endswith(b"id: 3\ndata: piece 3\n\n"))
        self.assertEqual(self.too_long(), {"run of empty lines": 1})

    @asyncio_test
    async def test_no_turn_of_the_loop_is_late_while_events_have_no_end(self):
        """Guards against the copy of all that is held for each piece of an event."""
        for part in (*STREAMS, EndlessPart.SMALL_EVENTS):
            self.assertLess(await self.longest_turn(part), MAX_TURN_S, part)


class LastAttemptTest(EndlessAnswersTestCase):
    max_attempts = 1

    @asyncio_test
    async def test_stream_that_can_go_on_nowhere_is_broken_off(self):
        """Guards against a broken stream that looks complete, or that never ends."""
        self.flood(EndlessPart.EVENT)
        status, body, is_whole = await self.read_bounded()
        self.assertEqual((status, is_whole), (200, False))
        self.assertEqual(body, b"id: 1\ndata: piece 1\n\n")


class PlainStreamTest(EndlessAnswersTestCase):
    is_resumable = False

    @asyncio_test
    async def test_event_without_end_is_broken_off(self):
        """Guards against an event that is passed on until the deadline, or looks complete."""
        for part in (EndlessPart.EVENT, EndlessPart.UNFRAMED_EVENT, EndlessPart.EMPTY_LINES):
            self.sent_bytes = 0
            self.flood(part)
            status, body, is_whole = await self.read_bounded()
            self.assertEqual((status, is_whole), (200, False))
            self.assertLess(len(body), 2 * MIB)

    @asyncio_test
    async def test_body_that_has_no_events_is_passed_on(self):
        """Guards against a download that is taken for an event without end."""
        body = b"x" * (3 * MIB)
        self.share(plain(200, body, (b"content-type: application/octet-stream",)))
        self.assertEqual(await self.read(), (200, body, True))

    @asyncio_test
    async def test_target_of_a_caller_that_reads_nothing_is_left_unread(self):
        """Guards against bytes that are read without end for a caller that takes none."""
        self.flood(EndlessPart.UNFRAMED_BODY)
        connection = await self.connect()
        connection.send(self.request(x_deadline_ms=b"30000"))
        await connection.read_head()
        connection._transport.pause_reading()
        before_bytes = -1
        while before_bytes != self.sent_bytes:
            before_bytes = self.sent_bytes
            self.assertLess(self.sent_bytes, 2 * MAX_SENT_BYTES)
            await asyncio.sleep(0.5)
        # It goes on as soon as its caller reads.
        connection._transport.resume_reading()
        received = 0
        while received < MAX_SENT_BYTES:
            received += len(await connection.read_data())


class HeadTest(EndlessAnswersTestCase):
    kind = RouteKind.IDEMPOTENT
    is_resumable = False

    @asyncio_test
    async def test_head_without_end_is_answered_elsewhere(self):
        """Guards against heads and informational answers that are read until the deadline."""
        for part in HEADS:
            self.sent_bytes = 0
            self.flood(part)
            self.assertEqual(await self.read_bounded(), (200, b"whole", True), part)

    @asyncio_test
    async def test_chunk_size_and_body_without_end_are_answered_elsewhere(self):
        """Guards against plain answers that are read until the deadline."""
        for part in (EndlessPart.CHUNK_SIZE, EndlessPart.AFTER_ANSWER):
            self.sent_bytes = 0
            self.flood(part)
            status, _, is_whole = await self.read_bounded()
            self.assertEqual((status, is_whole), (200, True), part)

    @asyncio_test
    async def test_no_turn_of_the_loop_is_late_while_a_head_has_no_end(self):
        """Guards against others that are refused while informational answers are read."""
        for part in (*HEADS, EndlessPart.CHUNK_SIZE, EndlessPart.SMALL_CHUNKS):
            self.assertLess(await self.longest_turn(part), MAX_TURN_S, part)
