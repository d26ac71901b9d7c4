"""Tests of the path of a request, with targets whose answers are scripted byte by byte."""

import asyncio

from loguru import logger

from damaskwind.decisions.fatal_requests.identity import identify_request
from damaskwind.decisions.fatal_requests.suspicion import Suspicion
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.retries.shared_budget import BudgetTerms
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock, read_clock
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
    async def test_answer_is_forwarded_unchanged_and_api_key_is_not_forwarded(self):
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
    async def test_target_that_has_just_left_gets_no_work_but_donates_its_prompt_parts(self):
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
    async def test_youngest_target_is_not_chosen_as_donor(self):
        """The age of a donor counts from its first report, though its sequence number is fixed."""
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
                self.view.targets.merge(record, read_clock() - ages_s[index])
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
    async def test_displaced_target_gets_one_request_until_it_reports_again(self):
        misdirected = [plain(421, b"", (b"x-not-run: 1",))] * 9
        self.targets[0].script = list(misdirected)
        for number in range(9):
            self.assertEqual((await self.call(request_id=b"r%d" % number)).status, 200)
            await asyncio.sleep(0.03)
        self.assertEqual(len(self.targets[0].received), 1)
        self.targets[0].script = []
        self.view.targets.mark_seen("t0", read_clock())
        for number in range(9):
            await self.call(request_id=b"s%d" % number)
        self.assertGreater(len(self.targets[0].received), 1)

    @asyncio_test
    async def test_absurd_headers_are_answered_and_do_not_make_others_count_as_retries(self):
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
    async def test_targets_that_report_no_load_are_not_estimated_to_be_full(self):
        # One router of eight: an estimate of its own sends times eight would fill the eight slots.
        self.view.routers = 8
        self.script(silent(5.0), silent(5.0), silent(5.0))
        calls = []
        for number in range(6):
            calls.append(asyncio.ensure_future(self.call(request_id=b"r%d" % number)))
            await asyncio.sleep(0.02)
        self.assertEqual(len(self.received()), 6)
        await asyncio.gather(*calls, return_exceptions=True)

    @asyncio_test
    async def test_retries_are_shared_by_routers_that_restarted_replicas_have_yet_to_hear(self):
        """Guards against routers that each take the retries of all, as replicas restart."""
        begun_s = read_clock()
        with override_clock(lambda: begun_s - 10.0):
            self.view.handle_news("a", News("epoch", 1, 1, True, (), 50, (), ()))
        self.view.handle_news("a", News("next epoch", 1, 1, True, (), 1, (), ()))
        share = BudgetTerms().slack / 50
        self.assertLessEqual(self.forwarder._budget("pool").allowance(read_clock()), share)

    @asyncio_test
    async def test_late_report_of_an_earlier_target_at_an_address_attracts_no_requests(self):
        self.admit("late", self.view.targets.record_of("t0").address, sequence=500)
        for number in range(12):
            self.assertEqual((await self.call(request_id=b"r%d" % number)).status, 200)
        expected = {request.headers[NAMES.expect_target] for request in self.received()}
        self.assertEqual(expected, {b"t0", b"t1"})

    @asyncio_test
    async def test_request_is_refused_at_once_when_no_target_is_reachable(self):
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
    async def test_unknown_route_and_unknown_key_get_different_statuses(self):
        self.assertEqual((await self.call(path=b"/none")).status, 404)
        self.assertEqual((await self.call(authorization=b"Bearer other")).status, 401)
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_denial_is_logged_with_what_decided_it_and_without_the_key(self):
        """Guards against a proper request that is denied without a trace of the table in force."""
        lines = []
        sink = logger.add(lambda message: lines.append(message.record["extra"]), level="INFO")
        self.addCleanup(logger.remove, sink)
        await self.call(authorization=b"Bearer other")
        denial = next(line for line in lines if "scheme" in line)
        fields = ("status", "scheme", "version", "newest_version")
        self.assertEqual([denial[name] for name in fields], [401, "Bearer", 0, 0])
        self.assertNotIn("other", str(lines))

    @asyncio_test
    async def test_without_configuration_a_request_is_refused_with_retry_after(self):
        self.view.table = None
        answer = await self.call()
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(header(answer.headers, b"retry-after")), 0)

    @asyncio_test
    async def test_request_refused_by_a_target_is_retried_even_if_not_idempotent(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=1))
        full = plain(503, b"", (b"x-not-run: 1",))
        self.targets[0].script = [full]
        self.targets[1].script = [full]
        answer = await self.call()
        self.assertEqual(answer.status, 503)
        self.assertIsNotNone(header(answer.headers, b"retry-after"))
        self.assertEqual(len(self.received()), 2)

    @asyncio_test
    async def test_failure_of_a_non_idempotent_request_is_forwarded_and_not_retried(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=2))
        self.script(plain(500, b"broken"))
        answer = await self.call()
        self.assertEqual((answer.status, answer.body), (500, b"broken"))
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_failure_on_an_idempotent_route_is_retried_at_another_target(self):
        self.share(plain(500, b"broken"))
        self.assertEqual((await self.call()).status, 200)
        self.assertEqual([len(target.received) for target in self.targets], [1, 1])
        self.share(plain(500, b"first"), plain(500, b"second"))
        answer = await self.call(request_id=b"r2")
        self.assertEqual((answer.status, answer.body), (500, b"second"))

    @asyncio_test
    async def test_truncated_answer_is_no_success(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        head = b"HTTP/1.1 200 X\r\nx-request-id: r1\r\ncontent-length: 9\r\n\r\nhal"
        self.script(raw(head, then_close=True))
        self.assertEqual((await self.call()).status, 502)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_malformed_answer_is_no_success(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        self.script(raw(b"garbage without any sense\r\n\r\n"))
        self.assertEqual((await self.call()).status, 502)

    @asyncio_test
    async def test_answer_without_content_length_ends_with_its_connection(self):
        self.script(raw(b"HTTP/1.1 200 X\r\nx-request-id: r1\r\n\r\nall of it", then_close=True))
        answer = await self.call()
        self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    @asyncio_test
    async def test_late_second_answer_reaches_no_caller(self):
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
    async def test_route_timeout_ends_a_request_at_a_silent_target(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, timeout_s=0.3))
        self.script(silent())
        started_s = read_clock()
        answer = await self.call()
        self.assertEqual(answer.status, 504)
        self.assertLess(read_clock() - started_s, 0.6)

    @asyncio_test
    async def test_unreachable_target_is_skipped(self):
        await self.targets[0].stop()
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=1))
        statuses = [(await self.call(request_id=b"r%d" % n)).status for n in range(6)]
        self.assertEqual(statuses, [200] * 6)

    @asyncio_test
    async def test_leaving_target_gets_no_new_requests(self):
        address = self.view.targets.record_of("t0").address
        self.admit("t0", address, TargetPhase.LEAVING, 101)
        for number in range(5):
            await self.call(request_id=b"r%d" % number)
        self.assertEqual(self.targets[0].received, [])
        self.assertEqual(len(self.targets[1].received), 5)

    @asyncio_test
    async def test_disconnect_of_the_caller_ends_the_request_at_the_target(self):
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
            self.assertLess(read_clock(), deadline_s, "timed out waiting")
            await asyncio.sleep(0.01)


class StreamTest(ForwarderTestCase):
    @asyncio_test
    async def test_stream_is_forwarded_event_by_event(self):
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
    async def test_truncated_stream_resumes_at_another_target(self):
        self.publish(route(**STREAM))
        self.share(cut_stream(1, 2, tail=b"id: 3\nda"), stream(3, 4))
        answer = await self.call()
        self.assertEqual(answer.body, b"".join(event(n) for n in range(1, 5)))
        after = [request.headers.get(b"last-event-id") for request in self.received()]
        self.assertCountEqual(after, [None, b"2"])
        self.assertEqual([len(target.received) for target in self.targets], [1, 1])

    @asyncio_test
    async def test_duplicate_events_are_forwarded_once(self):
        self.publish(route(**STREAM))
        self.share(cut_stream(1, 2), stream(1, 4))
        answer = await self.call()
        self.assertEqual(answer.body, b"".join(event(n) for n in range(1, 5)))

    @asyncio_test
    async def test_truncated_stream_that_is_not_resumable_does_not_look_complete(self):
        self.publish(route(RouteKind.STREAMING, is_resumable=False))
        self.script(cut_stream(1, 2))
        connection = await self.connect()
        connection.send(self.request())
        with self.assertRaises(AnswerBrokenError):
            await connection.read_head()
            await connection.read_body(10_000)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_request_at_a_silent_target_is_rerouted(self):
        self.publish(route(timeout_s=8.0, **STREAM))
        self.share(silent(), stream(1, 2))
        answer = await self.call(x_deadline_ms=b"8000")
        self.assertEqual(answer.body, event(1) + event(2))


class UnresponsiveTargetTest(ForwarderTestCase):
    @asyncio_test
    async def test_new_requests_avoid_an_unresponsive_target(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT, max_attempts=1))
        self.share(silent())
        waiting = asyncio.ensure_future(self.call(x_deadline_ms=b"1500"))
        await asyncio.sleep(0.7)
        unresponsive = next(target for target in self.targets if target.received)
        for number in range(6):
            answer = await self.call(request_id=b"r%d" % number)
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(unresponsive.received), 1)
        self.assertEqual((await waiting).status, 504)

    @asyncio_test
    async def test_repeatable_request_leaves_an_unresponsive_target_before_its_deadline(self):
        self.publish(route(objective_s=0.4))
        self.share(silent(), plain(200, b"in time"))
        started_s = read_clock()
        answer = await self.call()
        self.assertEqual(answer.body, b"in time")
        self.assertLess(read_clock() - started_s, 1.1)


class PartitionedDomainTest(ForwarderTestCase):
    async def start(self):
        await super().start()
        # Nothing listens at these ports: three targets of a partitioned failure domain.
        for number, port in enumerate((1, 2, 3)):
            self.admit(f"far{number}", Address("127.0.0.1", port), domain="far")

    @asyncio_test
    async def test_one_unreachable_target_makes_its_failure_domain_doubtful(self):
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
        return [table.level(digest).ends for digest in table.digests()]

    @asyncio_test
    async def test_reset_by_a_running_target_puts_no_request_under_suspicion(self):
        self.script(cut_stream(1, 2), cut_stream(1, 2))
        self.publish(route(**STREAM))
        with self.assertRaises(AnswerBrokenError):
            await self.call()
        self.assertEqual(len(self.received()), 2)
        self.assertEqual(self.known(), [])

    @asyncio_test
    async def test_exit_of_a_leaving_target_puts_no_request_under_suspicion(self):
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
    async def test_crash_puts_requests_in_flight_under_suspicion_until_they_complete(self):
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
    async def test_suspected_request_that_a_full_target_refuses_is_retried(self):
        """Guard against refusing a suspected request for good because one target was full.

        A request during which two targets had crashed must still be retried after a refusal:
        only an attempt whose connection was lost may have crashed its target.
        """
        digest = identify_request(b"POST", b"host", b"/a/x", b"account", b"{}")
        relay = self.view.suspicions
        for _ in range(2):
            relay.record_target_end([(digest, relay.table.level(digest))])
        self.share(plain(503, b"", (b"x-not-run: 1",)), plain(200))
        self.assertEqual((await self.call()).status, 200)
        self.assertEqual(len(self.received()), 2)

    @asyncio_test
    async def test_fatal_request_is_refused_at_once_without_retry_after(self):
        digest = identify_request(b"POST", b"host", b"/a/x", b"account", b"{}")
        relay = self.view.suspicions
        for _ in range(3):
            relay.record_target_end([(digest, relay.table.level(digest))])
        answer = await self.call()
        self.assertEqual((answer.status, header(answer.headers, b"retry-after")), (503, None))
        self.assertEqual(self.received(), [])
        self.assertEqual((await self.call(path=b"/a/y")).status, 200)

    @asyncio_test
    async def test_crashed_target_behind_a_resetting_proxy_counts_as_crashed(self):
        """Guard against taking a crashed target for a running one behind a proxy.

        The proxy in front of a crashed target accepts the probe's connection and then resets it.
        Nine crashes were once attributed to no request, since each target seemed to answer.
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
    async def test_canceled_probe_leaves_no_connection_open(self):
        address = self.view.targets.record_of("t0").address
        probing = asyncio.ensure_future(self.connections.probe("t0", address))
        while not self.targets[0].connections:
            await asyncio.sleep(0.001)
        probing.cancel()
        await asyncio.gather(probing, return_exceptions=True)
        await asyncio.sleep(0.05)
        self.assertIn("closed", self.targets[0].ends)

    @asyncio_test
    async def test_target_that_is_gone_when_probed_is_not_probed_again(self):
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
    async def test_temporary_lack_of_reachable_targets_makes_no_request_fatal(self):
        """Guard against holding a common request fatal after a second without reachable targets.

        A proxy in front of the targets accepts and resets each connection, so that every send
        broke at a target that did not answer, after one that had reached it. Hundreds of callers
        were then refused without a Retry-After.
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
    async def test_recently_completed_request_is_not_suspected(self):
        """Guard against holding a common request fatal for crashes that another request caused.

        It was in flight at three targets that crashed within 1.3 s, and no copy of it completed
        in between. All copies were then refused for 40 s, though the request had been served all
        the time before.
        """
        digest = identify_request(b"POST", b"host", b"/a/x", b"account", b"{}")
        self.assertEqual((await self.call()).status, 200)
        relay = self.view.suspicions
        for _ in range(3):
            relay.record_target_end([(digest, relay.table.level(digest))])
        suspicion = Suspicion(digest, 0, 3, 0.1)
        relay.handle_news("a", News("epoch", 1, 1, True, (), 1, (), (), suspicions=(suspicion,)))
        self.assertEqual((await self.call(request_id=b"r2")).status, 200)
        self.assertEqual(relay.table.level(digest).cleared, 1)
