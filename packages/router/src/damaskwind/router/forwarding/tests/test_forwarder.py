"""Tests of the path of a request, against targets whose every byte is scripted."""

import asyncio

from damaskwind.decisions.fatal_requests.identity import identify_request
from damaskwind.decisions.fatal_requests.suspicion import Suspicion
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.runtime.http1.messages import header
from damaskwind.standins.scripted_target import (
    ScriptedTarget,
    cut_stream,
    event,
    plain,
    raw,
    silent,
    stream,
)
from damaskwind.wire.news import News

SERVING = TargetPhase.SERVING
STREAM = {"kind": RouteKind.STREAMING, "is_resumable": True}


class PlainRequestTest(ForwarderTestCase):
    @asyncio_test
    async def test_answer_passes_unchanged_and_key_does_not(self):
        self.script(plain(201, b"made", (b"x-seal: s",)))
        answer = await self.call(x_account=b"forged", x_hold=b"forged", x_urgency=b"0")
        self.assertEqual((answer.status, answer.body), (201, b"made"))
        self.assertEqual(header(answer.headers, b"x-seal"), b"s")
        (got,) = self.received()
        self.assertEqual(got.headers[b"x-account"], b"account")
        self.assertNotIn(b"authorization", got.headers)
        self.assertNotIn(b"x-hold", got.headers)
        self.assertNotIn(b"x-urgency", got.headers)
        self.assertIn(got.headers[b"x-expect-target"], (b"t0", b"t1"))
        self.assertLessEqual(int(got.headers[b"x-deadline-ms"]), 1500)
        self.assertEqual(got.body, b"{}")

    @asyncio_test
    async def test_target_that_has_just_left_gets_no_work_but_gives_its_parts(self):
        self.publish(route(has_prompt_parts=True))
        parts = {"x_prompt_parts": b"shared:100,own:10"}
        self.assertEqual((await self.call(**parts)).status, 200)
        home, other = sorted(self.targets, key=lambda target: not target.received)
        record = self.view.targets.record_of(f"t{self.targets.index(home)}")
        self.view.targets.leave(record.target_id, read_clock())
        self.assertEqual((await self.call(request_id=b"r2", **parts)).status, 200)
        self.assertEqual(len(home.received), 1)
        (got,) = other.received
        self.assertEqual(got.headers[b"x-fetch-from"], str(record.address).encode())

    @asyncio_test
    async def test_donor_was_first_reported_long_ago(self):
        """Ages count from first reports, though a record's sequence then stands still."""
        third = ScriptedTarget(NAMES)
        self.targets.append(third)
        addresses = [self.view.targets.record_of(f"t{index}").address for index in range(2)]
        addresses.append(await third.start())
        self.publish(route(has_prompt_parts=True))
        parts = {"x_prompt_parts": b"shared:100,own:10"}

        async def donor_of_a_call(generation, ages_s):
            for index in range(3):
                self.view.targets.leave(f"{generation - 1}{index}", 0.0)
                record = TargetRecord(
                    f"{generation}{index}", "pool", addresses[index], "domain", SERVING, 1, 8
                )
                self.view.targets.take(record, read_clock() - ages_s[index])
            for index in range(2):
                self.view.targets.leave(f"t{index}", 0.0)
            for target in self.targets:
                target.received.clear()
            await self.call(request_id=b"r%d" % generation, **parts)
            (got,) = self.received()
            return got.headers[b"x-fetch-from"].decode()

        donors = [
            await donor_of_a_call(generation, ages_s)
            for generation, ages_s in enumerate(
                ((60.0, 60.0, 0.0), (60.0, 0.0, 60.0), (0.0, 60.0, 60.0)), start=1
            )
        ]
        for donor, young in zip(donors, reversed(addresses), strict=True):
            self.assertNotEqual(donor, str(young))

    @asyncio_test
    async def test_target_whose_address_is_anothers_gets_one_request_until_it_is_heard_again(self):
        moved = [plain(421, b"", (b"x-not-run: 1",))] * 9
        self.targets[0].script = list(moved)
        for number in range(9):
            self.assertEqual((await self.call(request_id=b"r%d" % number)).status, 200)
            await asyncio.sleep(0.03)
        self.assertEqual(len(self.targets[0].received), 1)
        self.targets[0].script = []
        self.view.targets.hear("t0", read_clock())
        for number in range(9):
            await self.call(request_id=b"s%d" % number)
        self.assertGreater(len(self.targets[0].received), 1)

    @asyncio_test
    async def test_absurd_headers_are_answered_and_do_not_make_others_look_returned(self):
        absurd = (b"nan", b"inf", b"-1e400", b"1e300", b"-5", b"", b"x", b"\xff", b"9" * 400)
        for number, value in enumerate(absurd):
            answer = await self.call(
                request_id=b"a%d" % number,
                x_deadline_ms=value,
                last_event_id=value,
                x_prompt_parts=value,
            )
            self.assertIn(answer.status, (200, 502, 503, 504), value)
        seen = []
        admit = self.forwarder.admissions.admit

        async def watched(call, home):
            outcome = await admit(call, home)
            seen.append(call.entry.came_back)
            return outcome

        self.forwarder.admissions.admit = watched
        self.assertEqual((await self.call(request_id=b"z", x_deadline_ms=b"1900")).status, 200)
        self.assertEqual(seen, [False])

    @asyncio_test
    async def test_targets_that_tell_no_load_are_not_guessed_to_be_full(self):
        # One router of eight: its own sends, times eight, would fill the eight places.
        self.view.routers = 8
        self.script(silent(5.0), silent(5.0), silent(5.0))
        calls = []
        for number in range(6):
            calls.append(asyncio.ensure_future(self.call(request_id=b"r%d" % number)))
            await asyncio.sleep(0.02)
        self.assertEqual(len(self.received()), 6)
        await asyncio.gather(*calls, return_exceptions=True)

    @asyncio_test
    async def test_late_report_of_an_earlier_start_at_an_address_draws_no_requests(self):
        self.admit("late", self.view.targets.record_of("t0").address, sequence=500)
        for number in range(12):
            self.assertEqual((await self.call(request_id=b"r%d" % number)).status, 200)
        expected = {request.headers[NAMES.expect_target] for request in self.received()}
        self.assertEqual(expected, {b"t0", b"t1"})

    @asyncio_test
    async def test_where_no_target_can_be_reached_the_refusal_comes_at_once(self):
        for target in self.targets:
            await target.stop()
        self.assertEqual((await self.call()).status, 503)
        before = self.connections.opened
        answer = await self.call(request_id=b"r2")
        self.assertEqual(answer.status, 503)
        self.assertIsNotNone(header(answer.headers, b"retry-after"))
        self.assertEqual(self.connections.opened, before)
        self.view.targets.leave("t1", read_clock())
        self.assertEqual((await self.call(request_id=b"r3")).status, 503)
        self.assertEqual(self.connections.opened - before, 1)

    @asyncio_test
    async def test_unknown_route_and_key_are_told_apart(self):
        self.assertEqual((await self.call(path=b"/none")).status, 404)
        self.assertEqual((await self.call(authorization=b"Bearer other")).status, 401)
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_without_configuration_a_request_is_refused_with_a_time(self):
        self.view.table = None
        answer = await self.call()
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(header(answer.headers, b"retry-after")), 0)

    @asyncio_test
    async def test_targets_own_refusal_goes_to_the_other_even_where_nothing_may_repeat(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=1))
        full = plain(503, b"", (b"x-not-run: 1",))
        self.targets[0].script = [full]
        self.targets[1].script = [full]
        answer = await self.call()
        self.assertEqual(answer.status, 503)
        self.assertIsNotNone(header(answer.headers, b"retry-after"))
        self.assertEqual(len(self.received()), 2)

    @asyncio_test
    async def test_failure_that_ran_is_passed_on_and_never_sent_again(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=2))
        self.script(plain(500, b"broken"))
        answer = await self.call()
        self.assertEqual((answer.status, answer.body), (500, b"broken"))
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_failure_on_an_idempotent_route_goes_to_another_target(self):
        self.share(plain(500, b"broken"))
        self.assertEqual((await self.call()).status, 200)
        self.assertEqual([len(target.received) for target in self.targets], [1, 1])
        self.share(plain(500, b"first"), plain(500, b"second"))
        answer = await self.call(request_id=b"r2")
        self.assertEqual((answer.status, answer.body), (500, b"second"))

    @asyncio_test
    async def test_cut_answer_is_no_success(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        head = b"HTTP/1.1 200 X\r\nx-request-id: r1\r\ncontent-length: 9\r\n\r\nhal"
        self.script(raw(head, then_close=True))
        self.assertEqual((await self.call()).status, 502)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_bytes_that_are_no_answer_are_no_success(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        self.script(raw(b"garbage without any sense\r\n\r\n"))
        self.assertEqual((await self.call()).status, 502)

    @asyncio_test
    async def test_unframed_answer_ends_with_its_connection(self):
        self.script(raw(b"HTTP/1.1 200 X\r\nx-request-id: r1\r\n\r\nall of it", then_close=True))
        answer = await self.call()
        self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    @asyncio_test
    async def test_late_second_answer_reaches_nobody(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        late = b"HTTP/1.1 200 X\r\nx-request-id: r1\r\ncontent-length: 4\r\n\r\nlate"
        own = b"HTTP/1.1 200 X\r\nx-request-id: r2\r\ncontent-length: 3\r\n\r\nown"
        for target in self.targets:
            target.script = [plain(200, b"one"), raw(late + own)]
        bodies = [(await self.call(request_id=b"r1")).body for _ in range(2)]
        self.assertEqual(bodies[0], b"one")
        for _ in range(4):
            answer = await self.call(request_id=b"r2")
            self.assertIn(answer.body, (b"one", b"own", b"whole"))
            self.assertNotIn(b"late", answer.body)

    @asyncio_test
    async def test_answer_with_another_id_alone_is_no_success(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        other = b"HTTP/1.1 200 X\r\nx-request-id: r9\r\ncontent-length: 5\r\n\r\nother"
        self.script(raw(other, then_close=True))
        self.assertEqual((await self.call()).status, 502)

    @asyncio_test
    async def test_routes_timeout_ends_a_silent_request(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, timeout_s=0.3))
        self.script(silent())
        started_s = read_clock()
        answer = await self.call()
        self.assertEqual(answer.status, 504)
        self.assertLess(read_clock() - started_s, 0.6)

    @asyncio_test
    async def test_target_that_is_not_there_is_passed_over(self):
        await self.targets[0].stop()
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=1))
        statuses = [(await self.call(request_id=b"r%d" % n)).status for n in range(6)]
        self.assertEqual(statuses, [200] * 6)

    @asyncio_test
    async def test_leaving_target_gets_nothing_new(self):
        address = self.view.targets.record_of("t0").address
        self.admit("t0", address, TargetPhase.LEAVING, 101)
        for number in range(5):
            await self.call(request_id=b"r%d" % number)
        self.assertEqual(self.targets[0].received, [])
        self.assertEqual(len(self.targets[1].received), 5)

    @asyncio_test
    async def test_caller_that_leaves_ends_the_targets_work(self):
        self.script(silent())
        connection = await self.connect()
        connection.send(self.request())
        await self.until(lambda: self.received())
        connection.abort()
        await self.until(lambda: any(target.ends for target in self.targets) or self.is_quiet())
        self.assertEqual(self.server.active, 0)

    def is_quiet(self):
        return self.server.active == 0

    async def until(self, condition, limit_s=3.0):
        deadline_s = read_clock() + limit_s
        while not condition():
            self.assertLess(read_clock(), deadline_s, "waited in vain")
            await asyncio.sleep(0.01)


class StreamTest(ForwarderTestCase):
    @asyncio_test
    async def test_stream_passes_event_by_event(self):
        self.publish(route(**STREAM))
        self.script(stream(1, 3, pause_s=0.1))
        connection = await self.connect()
        connection.send(self.request())
        head = await connection.read_head()
        self.assertEqual(head.status, 200)
        started_s = read_clock()
        self.assertEqual(await connection.read_data(), event(1))
        self.assertLess(read_clock() - started_s, 0.08)
        self.assertEqual(await connection.read_body(10_000), event(2) + event(3))

    @asyncio_test
    async def test_cut_stream_goes_on_at_another_target(self):
        self.publish(route(**STREAM))
        self.share(cut_stream(1, 2, tail=b"id: 3\nda"), stream(3, 4))
        answer = await self.call()
        self.assertEqual(answer.body, b"".join(event(n) for n in range(1, 5)))
        after = [request.headers.get(b"last-event-id") for request in self.received()]
        self.assertCountEqual(after, [None, b"2"])
        self.assertEqual([len(target.received) for target in self.targets], [1, 1])

    @asyncio_test
    async def test_events_that_come_twice_are_passed_on_once(self):
        self.publish(route(**STREAM))
        self.share(cut_stream(1, 2), stream(1, 4))
        answer = await self.call()
        self.assertEqual(answer.body, b"".join(event(n) for n in range(1, 5)))

    @asyncio_test
    async def test_cut_stream_that_may_not_repeat_does_not_look_complete(self):
        self.publish(route(RouteKind.STREAMING, is_resumable=False))
        self.script(cut_stream(1, 2))
        connection = await self.connect()
        connection.send(self.request())
        with self.assertRaises(AnswerBrokenError):
            await connection.read_head()
            await connection.read_body(10_000)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_silent_target_is_left_for_another(self):
        self.publish(route(timeout_s=8.0, **STREAM))
        self.share(silent(), stream(1, 2))
        answer = await self.call(x_deadline_ms=b"8000")
        self.assertEqual(answer.body, event(1) + event(2))


class DarkTargetTest(ForwarderTestCase):
    @asyncio_test
    async def test_new_requests_pass_a_target_that_keeps_all_waiting(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=1))
        self.share(silent())
        waiting = asyncio.ensure_future(self.call(x_deadline_ms=b"1500"))
        await asyncio.sleep(0.7)
        dark = next(target for target in self.targets if target.received)
        for number in range(6):
            answer = await self.call(request_id=b"r%d" % number)
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(dark.received), 1)
        self.assertEqual((await waiting).status, 504)

    @asyncio_test
    async def test_repeatable_request_leaves_a_dark_target_before_its_callers_gives_up(self):
        self.publish(route(objective_s=0.4))
        self.share(silent(), plain(200, b"in time"))
        started_s = read_clock()
        answer = await self.call()
        self.assertEqual(answer.body, b"in time")
        self.assertLess(read_clock() - started_s, 1.1)


class CutDomainTest(ForwarderTestCase):
    async def start(self):
        await super().start()
        # Nobody listens there: three targets of a failure domain that is cut off.
        for number, port in enumerate((1, 2, 3)):
            self.admit(f"far{number}", Address("127.0.0.1", port), domain="far")

    @asyncio_test
    async def test_one_unreachable_target_speaks_for_its_failure_domain(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=1))
        for number in range(12):
            self.forwarder.target_states.forget("far0")
            self.forwarder.target_states.forget("far1")
            self.forwarder.target_states.forget("far2")
            answer = await self.call(request_id=b"r%d" % number)
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.received()), 12)


class FatalRequestTest(ForwarderTestCase):
    def known(self):
        table = self.view.suspicions.table
        return [table.known(digest).ends for digest in table.digests()]

    @asyncio_test
    async def test_a_reset_by_a_target_that_goes_on_is_held_against_no_request(self):
        self.script(cut_stream(1, 2), cut_stream(1, 2))
        self.publish(route(**STREAM))
        with self.assertRaises(AnswerBrokenError):
            await self.call()
        self.assertEqual(len(self.received()), 2)
        self.assertEqual(self.known(), [])

    @asyncio_test
    async def test_the_exit_of_a_target_that_is_leaving_is_held_against_no_request(self):
        self.targets[0].script = [silent(0.2)]
        self.view.targets.leave("t1", read_clock())
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        self.admit("t0", await self._address(), TargetPhase.LEAVING, 101)
        await self.targets[0].stop()
        self.assertEqual((await calling).status, 502)
        self.assertEqual(self.known(), [])

    async def _address(self):
        return self.view.targets.record_of("t0").address

    @asyncio_test
    async def test_a_target_that_ends_is_held_against_what_was_in_hand_until_that_ends_well(self):
        ended = self.targets[0]
        ended.script, self.targets[1].script = [silent()], [plain()]
        self.view.targets.leave("t1", read_clock())
        self.publish(route(max_attempts=1))
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        await ended.stop()
        self.assertEqual((await calling).status, 502)
        await asyncio.sleep(0.05)
        self.assertEqual(self.known(), [1])
        other = ScriptedTarget(NAMES)
        self.targets.append(other)
        self.admit("t2", await other.start())
        self.assertEqual((await self.call(request_id=b"r2")).status, 200)
        self.assertEqual(self.known(), [0])

    @asyncio_test
    async def test_a_suspect_that_a_target_had_no_place_for_is_taken_elsewhere(self):
        """A request in hand where two targets had ended was refused for good by one full target.

        Whether the last send may be followed by another was asked of every outcome, where only
        a lost one may have ended its target.
        """
        digest = identify_request(b"POST", b"host", b"/a/x", b"account", b"{}")
        relay = self.view.suspicions
        for _ in range(2):
            relay.record_target_end([(digest, relay.table.known(digest))])
        self.share(plain(503, b"", (b"x-not-run: 1",)), plain(200))
        self.assertEqual((await self.call()).status, 200)
        self.assertEqual(len(self.received()), 2)

    @asyncio_test
    async def test_what_is_held_fatal_is_refused_at_once_without_a_time_to_come_back(self):
        digest = identify_request(b"POST", b"host", b"/a/x", b"account", b"{}")
        relay = self.view.suspicions
        for _ in range(3):
            relay.record_target_end([(digest, relay.table.known(digest))])
        answer = await self.call()
        self.assertEqual((answer.status, header(answer.headers, b"retry-after")), (503, None))
        self.assertEqual(self.received(), [])
        self.assertEqual((await self.call(path=b"/a/y")).status, 200)

    @asyncio_test
    async def test_an_ended_target_behind_what_takes_and_resets_connections_counts_as_ended(self):
        """Nine ends of targets were held against no request: each was seen to "answer".

        What stood before the targets took the connection that was to tell, and reset it.
        """

        async def reset(reader, writer):
            writer.transport.abort()

        ended = self.targets[0]
        ended.script = [silent()]
        self.view.targets.leave("t1", read_clock())
        self.publish(route(max_attempts=1))
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        port = self.view.targets.record_of("t0").address.port
        await ended.stop()
        proxy = await asyncio.start_server(reset, "127.0.0.1", port)
        self.addCleanup(proxy.close)
        self.assertEqual((await calling).status, 502)
        await asyncio.sleep(0.1)
        self.assertEqual(self.known(), [1])

    @asyncio_test
    async def test_a_look_that_is_given_up_leaves_no_connection_open(self):
        address = self.view.targets.record_of("t0").address
        looking = asyncio.ensure_future(self.connections.probe("t0", address))
        while not self.targets[0].connections:
            await asyncio.sleep(0.001)
        looking.cancel()
        await asyncio.gather(looking, return_exceptions=True)
        await asyncio.sleep(0.05)
        self.assertIn("closed", self.targets[0].ends)

    @asyncio_test
    async def test_a_target_that_is_gone_by_the_look_is_not_tried_again(self):
        self.targets[0].script = [silent()]
        self.view.targets.leave("t1", read_clock())
        self.publish(route(max_attempts=1))
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        self.view.targets.leave("t0", read_clock())
        await self.targets[0].stop()
        await calling
        await asyncio.sleep(0.1)
        self.assertFalse(self.connections.is_unreachable("t0"))
        self.assertEqual(self.known(), [])

    @asyncio_test
    async def test_targets_that_all_refuse_for_a_while_make_no_request_fatal(self):
        """A request that all callers make was held fatal after a second in which none was let in.

        What stood before the targets took each connection and reset it, so that each send
        broke at a target that did not answer, after a send that had; hundreds of callers
        were then refused without a time to come back.
        """

        async def reset(reader, writer):
            writer.transport.abort()

        self.targets[0].script = [silent()]
        self.view.targets.leave("t1", read_clock())
        self.publish(route(max_attempts=1))
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        port = self.view.targets.record_of("t0").address.port
        await self.targets[0].stop()
        proxy = await asyncio.start_server(reset, "127.0.0.1", port)
        self.addCleanup(proxy.close)
        await calling
        for number in range(8):
            await self.call(request_id=b"r%d" % number)
            await asyncio.sleep(0.05)
        self.assertEqual(self.known(), [1])

    @asyncio_test
    async def test_a_request_that_ended_well_a_moment_ago_is_not_suspected(self):
        """A request that all callers made was in hand at three targets that another one ended.

        They ended within 1.3 s, no copy ended well between them, and none was let in after
        that: 40 s of a soak were refused, where the request had been served all the time before.
        """
        digest = identify_request(b"POST", b"host", b"/a/x", b"account", b"{}")
        self.assertEqual((await self.call()).status, 200)
        relay = self.view.suspicions
        for _ in range(3):
            relay.record_target_end([(digest, relay.table.known(digest))])
        told = Suspicion(digest, 0, 3, 0.1)
        relay.take_news("a", News("epoch", 1, 1, True, (), 1, (), (), suspicions=(told,)))
        self.assertEqual((await self.call(request_id=b"r2")).status, 200)
        self.assertEqual(relay.table.known(digest).cleared, 1)
