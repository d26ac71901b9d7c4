"""Tests of answers that have neither a length nor chunks and end with their connection."""

import asyncio
import contextlib

from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.connections import SETTLE_S
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.router.forwarding.tests.test_held_bytes import HeldBytesTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.scripted_target import cut_stream, event, plain, stream, unframed

EVENTS = b"content-type: text/event-stream"
THREE_EVENTS = event(1) + event(2) + event(3)


class UnframedTestCase(ForwarderTestCase):
    async def read(self, **extra):
        """Return what a caller gets of an answer, and whether it was complete."""
        connection = await self.connect()
        connection.send(self.request(**extra))
        await connection.read_head()
        pieces = []
        try:
            while (piece := await connection.read_data()) is not None:
                pieces.append(piece)
        except AnswerBrokenError:
            return b"".join(pieces), False
        return b"".join(pieces), True

    def at_exit(self, body, fields=()):
        """Return a step that answers without a frame, after which its target's process exits."""

        async def step(writer, request):
            try:
                await unframed(body, fields)(writer, request)
            finally:
                for target in self.targets:
                    if request in target.received:
                        target.exit()

        return step


class StreamThatMayNotBeResumedTest(UnframedTestCase):
    async def start(self):
        await super().start()
        self.publish(route(RouteKind.STREAMING))

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

    @asyncio_test
    async def test_unframed_stream_without_any_event_does_not_look_complete(self):
        """Guards against a last chunk where a target failed before its first event."""
        for body in (b"", b"\r\n"):
            self.share(unframed(body))
            self.assertFalse((await self.read())[1])

    @asyncio_test
    async def test_framed_stream_without_any_event_is_whole(self):
        self.share(stream(1, 0))
        self.assertEqual(await self.read(), (b"", True))

    @asyncio_test
    async def test_unframed_rest_of_a_stream_may_be_empty(self):
        """Guards against a caller that has all events and is never told the end."""
        self.publish(route(RouteKind.STREAMING, is_resumable=True))
        self.share(cut_stream(1, 3), unframed(b""))
        self.assertEqual(await self.read(), (THREE_EVENTS, True))

    @asyncio_test
    async def test_unframed_stream_without_any_event_comes_from_another_target(self):
        self.publish(route(RouteKind.STREAMING, is_resumable=True))
        self.share(unframed(b""), stream(1, 3))
        self.assertEqual(await self.read(), (THREE_EVENTS, True))


class BlankLinesTest(UnframedTestCase):
    """Line ends between and after events belong to none."""

    async def read_all_routes(self, *steps):
        """Return what comes of a stream on a route that may be resumed, and on one that may not."""
        results = []
        for is_resumable in (False, True):
            self.publish(route(RouteKind.STREAMING, is_resumable=is_resumable))
            for target in self.targets:
                target.received.clear()
            self.share(*steps)
            results.append((*await self.read(), len(self.received())))
        return results

    @asyncio_test
    async def test_blank_lines_after_the_last_event_break_no_stream_off(self):
        """Guards against a whole stream that is reset, or is sent again for nothing."""
        for blank in (b"\n", b"\r\n", b"\r\n\r", b"\n\n\n"):
            whole = THREE_EVENTS + blank
            for step in (unframed(whole), plain(body=whole, fields=(EVENTS,))):
                expected = (whole, True, 1)
                self.assertEqual(await self.read_all_routes(step), [expected] * 2, blank)

    @asyncio_test
    async def test_blank_lines_before_an_event_break_no_stream_off(self):
        whole = b"\n" + event(1) + b"\n\n\n" + event(2)
        self.assertEqual(await self.read_all_routes(unframed(whole)), [(whole, True, 1)] * 2)

    @asyncio_test
    async def test_line_ends_may_be_of_any_kind(self):
        """Guards against a whole stream that is reset for its line ends (WHATWG HTML, 9.2)."""
        for end in (b"\r", b"\r\n", b"\n"):
            whole = THREE_EVENTS.replace(b"\n", end)
            self.assertEqual(await self.read_all_routes(unframed(whole)), [(whole, True, 1)] * 2)

    @asyncio_test
    async def test_lone_line_end_of_a_field_is_no_end_of_its_event(self):
        for end in (b"\r", b"\r\n", b"\n", b"\r\n\r"):
            cut = event(1) + b"id: 2" + end
            results = await self.read_all_routes(unframed(cut), unframed(cut))
            self.assertEqual([is_complete for _, is_complete, _ in results], [False] * 2)


class TargetGoneAtTheEndTest(UnframedTestCase):
    """The end of a connection that a kernel closed looks like the end of an answer."""

    @asyncio_test
    async def test_stream_does_not_look_complete(self):
        """Guards against a last chunk after a stream whose target crashed between two events."""
        self.publish(route(RouteKind.STREAMING))
        self.share(self.at_exit(event(1) + event(2)))
        self.assertEqual(await self.read(), (event(1) + event(2), False))

    @asyncio_test
    async def test_stream_that_may_be_resumed_goes_on_elsewhere(self):
        self.publish(route(RouteKind.STREAMING, is_resumable=True))
        self.share(self.at_exit(event(1) + event(2)), stream(3, 3))
        self.assertEqual(await self.read(), (THREE_EVENTS, True))
        resumed = {request.headers.get(NAMES.resume_after) for request in self.received()}
        self.assertEqual(resumed, {None, b"2"})

    @asyncio_test
    async def test_answer_that_may_be_repeated_comes_from_another_target(self):
        self.share(self.at_exit(b"who"), plain(body=b"whole"))
        self.assertEqual((await self.call()).body, b"whole")
        self.assertEqual(len(self.received()), 2)

    @asyncio_test
    async def test_answer_that_may_not_be_repeated_is_refused_as_maybe_run(self):
        """Guards against a cut body that is passed on with a length that fits it."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        self.share(self.at_exit(b"who"))
        self.assertEqual((await self.call()).status, 502)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_request_that_ends_its_target_inside_an_event_is_suspected(self):
        """Guards against a fatal request that ends one target after the other unnoticed."""
        self.publish(route(RouteKind.STREAMING))
        crashed = []
        self.forwarder.crash_detector.on_crashed.append(lambda target, _: crashed.append(target))
        for number, body in enumerate((event(1), event(1) + b"id: 2")):
            self.share(self.at_exit(body))
            self.assertFalse((await self.read())[1])
            await asyncio.sleep(0.1)
            self.assertEqual(len(crashed), number + 1, body)

    def leave(self, request):
        """Make the target that got a request known as leaving."""
        for number, target in enumerate(self.targets):
            record = self.view.targets.record_of(f"t{number}")
            if request in target.received:
                self.admit(f"t{number}", record.address, TargetPhase.LEAVING, 101)

    def leaving_and(self, step):
        """Return a step whose target is known as leaving before it answers."""

        async def leave_and_answer(writer, request):
            self.leave(request)
            await step(writer, request)

        return leave_and_answer

    def both_ways_of_leaving(self, body, then):
        """Return a step of a target that says it leaves, and one of a target known to."""
        fields = (EVENTS,) if body.startswith(b"id:") else ()
        said = (*fields, NAMES.leaving + b": 1")
        return then(body, said), self.leaving_and(then(body, fields))

    @asyncio_test
    async def test_stream_of_a_leaving_target_that_is_killed_does_not_look_complete(self):
        """Guards against a last chunk after 36 of 60 events, as its target was leaving."""
        self.publish(route(RouteKind.STREAMING))
        for step in self.both_ways_of_leaving(event(1) + event(2), self.at_exit):
            self.share(step)
            self.assertEqual(await self.read(), (event(1) + event(2), False))

    @asyncio_test
    async def test_stream_of_a_leaving_target_that_is_killed_goes_on_elsewhere(self):
        self.publish(route(RouteKind.STREAMING, is_resumable=True))
        self.share(self.leaving_and(self.at_exit(event(1) + event(2))), stream(3, 3))
        self.assertEqual(await self.read(), (THREE_EVENTS, True))

    @asyncio_test
    async def test_answer_of_a_leaving_target_that_is_killed_is_refused_as_maybe_run(self):
        """Guards against a cut body that is passed on with a length that fits it."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        for step in self.both_ways_of_leaving(b"who", self.at_exit):
            self.share(step)
            self.assertEqual((await self.call()).status, 502)

    @asyncio_test
    async def test_leaving_target_that_runs_on_has_ended_its_answer(self):
        """Guards against whole answers that are called cut in a release."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        for step in self.both_ways_of_leaving(b"whole", unframed):
            self.share(step)
            self.assertEqual((await self.call()).body, b"whole")

    @asyncio_test
    async def test_whole_stream_of_a_leaving_target_that_exits_is_ended_elsewhere(self):
        """Guards against a caller that has all events and is never told the end."""
        self.publish(route(RouteKind.STREAMING, is_resumable=True))
        self.share(self.leaving_and(self.at_exit(THREE_EVENTS)), unframed(b""))
        self.assertEqual(await self.read(), (THREE_EVENTS, True))


class HeldTargetGoneTest(HeldBytesTestCase, TargetGoneAtTheEndTest):
    """The same where held bytes are accounted for."""

    @asyncio_test
    async def test_large_answer_stays_accounted_for_until_it_is_judged(self):
        """Guards against bytes that count as released while they are still held, or for good."""
        held_bytes = []
        body = bytes(500_000)
        has_outlived = self.forwarder.sender.answer_ends.has_outlived

        async def observe(target, request_id):
            held_bytes.append(self.memory.ledger.held_bytes)
            return await has_outlived(target, request_id)

        self.forwarder.sender.answer_ends.has_outlived = observe
        self.share(self.at_exit(body), unframed(body))
        self.assertEqual((await self.call()).body, body)
        self.assertEqual(len(held_bytes), 2)
        self.assertGreaterEqual(min(held_bytes), len(body))
        await self.until(lambda: not self.memory.ledger.held_bytes)


class EndCheckTest(UnframedTestCase):
    """What the check of an end costs, with one target that serves and stays."""

    async def start(self):
        await super().start()
        address = self.view.targets.record_of("t1").address
        self.admit("t1", address, TargetPhase.LEAVING, 101)
        self.target = self.targets[0]
        self.ended_s = []

    def questions(self):
        return sum(self.forwarder.tallies.totals("unframed_end_questions").values())

    def found(self):
        totals = self.forwarder.tallies.totals("unframed_end_checks")
        return {dict(labels)["found"]: count for labels, count in totals.items()}

    def ending_after(self, pause_s, body=b"whole"):
        """Return a step whose connection ends some time after its body."""

        async def step(writer, request):
            with contextlib.suppress(ConnectionError):
                await unframed(body)(writer, request)
            await asyncio.sleep(pause_s)
            self.ended_s.append(read_clock())
            raise ConnectionError("scripted end")

        return step

    @asyncio_test
    async def test_events_are_not_delayed_and_the_end_is_by_little(self):
        """Guards against an event that waits for the check of the end."""
        self.publish(route(RouteKind.STREAMING))
        self.share(self.ending_after(0.2, THREE_EVENTS))
        connection = await self.connect()
        connection.send(self.request())
        await connection.read_head()
        self.assertEqual(await connection.read_data(), THREE_EVENTS)
        self.assertEqual(self.ended_s, [])
        self.assertIsNone(await connection.read_data())
        waited_s = read_clock() - self.ended_s[0]
        self.assertGreater(waited_s, SETTLE_S * 0.9)
        self.assertLess(waited_s, 0.2)

    @asyncio_test
    async def test_target_that_is_asked_beside_an_open_connection_has_ended_its_answer(self):
        """Guards against whole answers that are called cut, and against several questions."""
        held = asyncio.Event()

        async def hold(writer, request):
            await held.wait()
            await plain()(writer, request)

        self.share(hold, unframed(b"whole"))
        other = asyncio.ensure_future(self.call(request_id=b"r2"))
        await asyncio.sleep(0.05)
        self.assertEqual((await self.call()).body, b"whole")
        self.assertEqual((self.questions(), self.found()), (1, {"alive": 1}))
        held.set()
        await other

    @asyncio_test
    async def test_connection_that_closes_just_after_the_end_is_no_proof(self):
        """Guards against a look at connections while a crashed process still loses them."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        held = asyncio.Event()

        async def hold(writer, request):
            await held.wait()

        async def end_before_exit(writer, request):
            asyncio.get_running_loop().call_later(SETTLE_S / 2, self.target.exit)
            await unframed(b"who")(writer, request)

        self.share(hold, end_before_exit)
        other = asyncio.ensure_future(self.call(request_id=b"r2"))
        await asyncio.sleep(0.05)
        self.assertEqual((await self.call()).status, 502)
        self.assertEqual(self.found().get("alive", 0), 0)
        held.set()
        self.assertEqual((await other).status, 502)

    @asyncio_test
    async def test_ends_at_once_share_a_question(self):
        """Guards against a burst of connections when many answers end together."""
        self.share(*[self.ending_after(0.1)] * 6)
        answers = await asyncio.gather(*(self.call(request_id=b"r%d" % n) for n in range(6)))
        self.assertEqual([answer.body for answer in answers], [b"whole"] * 6)
        self.assertLessEqual(self.questions(), 2)
        self.assertLessEqual(self.target.connections, 6 + 2)

    @asyncio_test
    async def test_connection_of_a_question_is_used_by_the_next_request(self):
        """Guards against two new connections for each unframed answer."""
        self.share(*[unframed(b"whole")] * 10)
        for number in range(10):
            await self.call(request_id=b"r%d" % number)
        self.assertEqual((self.questions(), self.target.connections), (10, 11))
        self.assertEqual(self.found(), {"alive": 10})

    @asyncio_test
    async def test_target_that_restarted_meanwhile_is_no_proof(self):
        """Guards against a new process that vouches for the answer of the one that crashed."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        record = self.view.targets.record_of("t0")

        async def restart(writer, request):
            self.view.targets.merge(record._replace(born_ms=record.born_ms + 1), read_clock())
            await unframed(b"who")(writer, request)

        self.share(restart)
        self.assertEqual((await self.call()).status, 502)
