"""Tests of the bound on held bytes, with callers and targets that read slowly or stop."""

import asyncio
import socket
from unittest.mock import Mock

from twisted.trial.unittest import TestCase

from damaskwind.decisions.held_bytes.bound import HeldBounds
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.process import ForwardingRouter
from damaskwind.router.forwarding.settings import ForwardingSettings
from damaskwind.router.forwarding.target_bodies import TargetBodies
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.held_bytes import GivenUpError, HeldBytes
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.tallies import Tallies
from damaskwind.standins.scripted_target import plain, raw, silent

MIB = 2**20
BOUNDS = HeldBounds(6 * MIB, 3 * MIB)


class HeldBytesTestCase(ForwarderTestCase):
    def make_memory(self):
        self.tallies = Tallies()
        self.memory = HeldBytes(BOUNDS, NAMES, self.tallies)
        bodies = TargetBodies(lambda: self.view.routers, self.tallies)
        self.forwarder.bound_target_bodies(bodies)
        return self.memory

    def bound_target_bodies(self, routers):
        """Bound the bodies at targets as with many routers; the retry budget stays that of one."""
        bodies = TargetBodies(lambda: routers, self.tallies)
        self.forwarder.bound_target_bodies(bodies)

    async def open(self, body=b"{}", size_bytes=None, path="/a/x"):
        """Send a request whose caller has a small receive buffer; return its streams."""
        handle = socket.socket()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        handle.setblocking(False)
        await asyncio.get_running_loop().sock_connect(handle, ("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(sock=handle, limit=4096)
        # A reader or writer that is no longer referenced ends its connection.
        self.addCleanup(lambda: (reader, writer.transport.abort()))
        head = f"POST {path} HTTP/1.1\r\nhost: host\r\nx-request-id: r1\r\n"
        head += f"x-deadline-ms: 5000\r\ncontent-length: {size_bytes or len(body)}\r\n\r\n"
        writer.write(head.replace("x-dead", "authorization: Bearer key\r\nx-dead").encode() + body)
        return reader, writer

    async def read_end(self, reader):
        """Return all that comes within a second of silence, and whether a reset ended it."""
        received = []
        try:
            while data := await asyncio.wait_for(reader.read(65536), 1.0):
                received.append(data)
        except ConnectionResetError:
            return b"".join(received), True
        except TimeoutError:
            pass
        return b"".join(received), False

    async def until(self, condition, limit_s=4.0):
        deadline_s = read_clock() + limit_s
        while not condition():
            self.assertLess(read_clock(), deadline_s)
            await asyncio.sleep(0.01)

    def given_up(self):
        return sum(self.tallies.totals("answers_given_up").values())


class HeldAnswersTest(HeldBytesTestCase):
    @asyncio_test
    async def test_callers_that_never_read_are_reset_and_the_bound_holds(self):
        """Without the bound, 12 answers of 2 MB were held at once."""
        self.share(*[plain(200, bytes(2 * MIB))] * 12)
        readers = [(await self.open())[0] for _ in range(12)]
        peak_bytes = 0
        while self.given_up() < 9:
            peak_bytes = max(peak_bytes, self.memory.ledger.held_bytes)
            await asyncio.sleep(0.001)
        self.assertLessEqual(peak_bytes, BOUNDS.total_bytes)
        self.assertEqual((await self.call(request_id=b"r2")).body, b"whole")
        ends = await asyncio.gather(*map(self.read_end, readers))
        for received, was_reset in ends:
            head, _, body = received.partition(b"\r\n\r\n")
            self.assertTrue(head.startswith((b"HTTP/1.1 200", b"HTTP/1.1 502")) or was_reset)
            # A cut answer ends with a reset, never as if complete.
            self.assertTrue(was_reset or len(body) == 2 * MIB or b" 502 " in head)
        self.assertGreater(sum(len(received) > 2 * MIB for received, _ in ends), 0)
        await self.until(lambda: not self.memory.ledger.held_bytes)

    @asyncio_test
    async def test_answer_that_has_not_begun_is_replaced_by_502(self):
        self.script(plain(200, bytes(7 * MIB)))
        reader, _ = await self.open()
        received = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        self.assertIn(b" 502 ", received)
        await self.until(lambda: not self.memory.ledger.held_bytes)

    @asyncio_test
    async def test_answer_given_up_in_its_last_step_is_not_reported_as_delivered(self):
        """The task had nothing left to wait for, so that its cancellation had no effect."""
        memory = HeldBytes(HeldBounds(MIB, MIB), NAMES, Tallies())
        request = memory.open(Mock(has_begun=True), [])

        async def handle():
            async with request:
                request.hold(2 * MIB)

        with self.assertRaises(GivenUpError):
            await asyncio.ensure_future(handle())

    @asyncio_test
    async def test_second_send_of_a_large_body_counts_at_its_target(self):
        """It was sent whatever that target already held, and not counted there."""
        self.bound_target_bodies(routers=138)
        self.forwarder.target_states.reports_work_time = True
        self.script(silent())
        bodies = self.forwarder.steps.target_bodies
        await self.open(bytes(MIB))
        await self.until(lambda: len(self.received()) == 2)
        seen = [bodies.may_send(target_id, MIB) for target_id in ("t0", "t1")]
        self.assertEqual(seen, [False, False])

    @asyncio_test
    async def test_second_send_of_a_large_body_avoids_a_target_without_room(self):
        self.bound_target_bodies(routers=138)
        self.script(silent())
        for count in (1, 2):
            self.forwarder.target_states.reports_work_time = count == 2
            await self.open(bytes(MIB))
            await self.until(lambda count=count: len(self.received()) == count)
        await asyncio.sleep(0.5)
        self.assertEqual([len(target.received) for target in self.targets], [1, 1])

    @asyncio_test
    async def test_stream_of_a_slow_caller_is_read_to_its_end_from_the_target(self):
        """A target cuts off an answer that stays unread."""
        self.publish(route(kind=RouteKind.STREAMING))
        target_done = []

        async def step(writer, request):
            writer.write(b"HTTP/1.1 200 X\r\nx-request-id: r1\r\ncontent-length: 4000000\r\n\r\n")
            for _ in range(400):
                writer.write(bytes(10_000))
                await writer.drain()
            target_done.append(True)

        self.script(step)
        reader, _ = await self.open()
        await self.until(lambda: target_done and self.memory.ledger.held_bytes > 3_700_000)
        received, was_reset = await self.read_end_of_length(reader, 4_000_000)
        self.assertEqual((received, was_reset), (4_000_000, False))
        await self.until(lambda: not self.memory.ledger.held_bytes)

    async def read_end_of_length(self, reader, size_bytes):
        await reader.readuntil(b"\r\n\r\n")
        return len(await asyncio.wait_for(reader.readexactly(size_bytes), 5.0)), False

    def start_event(self, size_bytes):
        """Return a step that sends the start of an event, and then nothing more."""

        async def step(writer, request):
            writer.write(b"HTTP/1.1 200 X\r\nx-request-id: r1\r\ncontent-length: 9000000\r\n\r\n")
            for _ in range(size_bytes // 50_000):
                writer.write(bytes(50_000))
                await writer.drain()
            await asyncio.sleep(10.0)

        return step

    @asyncio_test
    async def test_events_that_never_end_are_held_and_given_up(self):
        """The start of an event was buffered without being counted."""
        kind = {"kind": RouteKind.STREAMING, "is_resumable": True}
        self.publish(route(**kind, timeout_s=6.0, max_attempts=1))
        self.share(*[self.start_event(1_000_000)] * 7)
        readers = [(await self.open())[0] for _ in range(7)]
        await self.until(self.given_up)
        self.assertLessEqual(self.memory.ledger.held_bytes, BOUNDS.total_bytes)
        ends = await asyncio.gather(*map(self.read_end, readers))
        self.assertEqual(sum(was_reset for _, was_reset in ends), self.given_up())
        await self.until(lambda: not self.memory.ledger.held_bytes)

    @asyncio_test
    async def test_event_of_over_its_bound_is_broken_off_and_released(self):
        """Guards against an event that stays in the account after it was dropped."""
        self.publish(route(kind=RouteKind.STREAMING, is_resumable=True))
        self.script(self.start_event(7_000_000))
        reader, _ = await self.open()
        self.assertTrue((await self.read_end(reader))[1])
        self.assertEqual(self.given_up(), 0)
        await self.until(lambda: not self.memory.ledger.held_bytes)

    @asyncio_test
    async def test_stop_waits_for_an_answer_that_is_still_being_read(self):
        """The answer was written off once the transport had it, and cut off by the exit."""
        self.script(plain(200, bytes(4 * MIB)))
        reader, _ = await self.open()
        await self.until(lambda: self.memory.ledger.held_bytes > 3 * MIB)
        self.server.close_after_answers()
        await self.server.stop_listening()
        self.assertFalse(await self.server.wait_until_idle(0.2))
        reading = asyncio.ensure_future(self.read_end_of_length(reader, 4 * MIB))
        self.assertTrue(await self.server.wait_until_idle(4.0))
        self.assertEqual(await reading, (4 * MIB, False))


class HeldBodiesTest(HeldBytesTestCase):
    @asyncio_test
    async def test_body_beyond_the_bound_waits_unread_and_is_then_refused_as_not_run(self):
        _, first = await self.open(b"x", 2 * MIB)
        await self.until(lambda: self.memory.bodies.held_bytes)
        begun_s = read_clock()
        reader, _ = await self.open(bytes(MIB), 2 * MIB)
        await self.until(lambda: self.memory.bodies.waiting)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
        self.assertIn(b" 503 ", head)
        self.assertIn(b"retry-after", head)
        self.assertLess(read_clock() - begun_s, 0.8)
        self.assertEqual((self.received(), self.memory.bodies.waiting), ([], 0))
        first.write(bytes(2 * MIB - 1))
        await self.until(lambda: self.received())

    @asyncio_test
    async def test_body_that_waited_is_read_when_another_is_cut_off_in_the_middle(self):
        _, first = await self.open(b"x", 2 * MIB)
        await self.until(lambda: self.memory.bodies.held_bytes)
        reader, _ = await self.open(bytes(2 * MIB))
        await self.until(lambda: self.memory.bodies.waiting)
        first.transport.abort()
        self.assertIn(b" 200 ", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0))
        self.assertEqual([len(request.body) for request in self.received()], [2 * MIB])
        await self.until(lambda: not self.memory.ledger.held_bytes)
        self.assertEqual((self.memory.bodies.held_bytes, self.server.reading), (0, 0))

    @asyncio_test
    async def test_caller_that_stops_in_the_middle_of_its_body_keeps_no_other_waiting(self):
        """It kept its place until the idle timeout of 15 s."""
        stopped, _ = await self.open(b"x", 2 * MIB)
        await asyncio.sleep(2.1)
        reader, _ = await self.open(bytes(2 * MIB))
        self.assertIn(b" 200 ", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0))
        self.assertIn(b" 408 ", await asyncio.wait_for(stopped.readuntil(b"\r\n\r\n"), 2.0))
        await self.until(lambda: not self.memory.ledger.held_bytes)
        self.assertEqual((self.memory.bodies.held_bytes, self.server.reading), (0, 0))

    @asyncio_test
    async def test_caller_that_still_sends_its_body_gets_the_answer_408(self):
        """A reset overtook it, since the connection was closed with unread bytes."""
        slow, writer = await self.open(b"x", 2 * MIB)
        await asyncio.sleep(2.1)
        await self.open(bytes(2 * MIB))
        await self.until(lambda: len(self.received()) == 1)
        for _ in range(3):
            writer.write(b"x")
            await asyncio.sleep(0.05)
        self.assertIn(b" 408 ", await asyncio.wait_for(slow.readuntil(b"\r\n\r\n"), 2.0))

    @asyncio_test
    async def test_body_is_released_when_its_answer_is_here(self):
        """A caller that read its answer slowly kept the room of its large body until the end."""
        self.share(plain(200, bytes(MIB)))
        slow = await self.open(bytes(2 * MIB))
        await self.until(lambda: self.memory.ledger.held_bytes and self.received())
        reader, _ = await self.open(bytes(2 * MIB))
        self.assertIn(b" 200 ", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0))
        self.assertEqual(self.memory.bodies.held_bytes, 0)
        self.assertGreater(self.memory.ledger.held_bytes, 800_000)
        slow[1].transport.abort()
        await self.until(lambda: not self.memory.ledger.held_bytes)

    @asyncio_test
    async def test_body_of_unknown_length_is_refused_where_it_exceeds_the_bound(self):
        _, first = await self.open(b"x", 2 * MIB)
        await self.until(lambda: self.memory.bodies.held_bytes)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"POST /a/x HTTP/1.1\r\nhost: host\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(b"200000\r\n" + bytes(2 * MIB))
        self.assertIn(b" 503 ", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0))
        writer.close()
        first.transport.abort()
        await self.until(lambda: not self.memory.ledger.held_bytes)
        self.assertEqual((self.received(), self.server.reading), ([], 0))

    @asyncio_test
    async def test_target_that_reads_a_body_slowly_holds_up_no_other_request(self):
        target = self.targets[0]
        self.view.targets.leave("t1", read_clock())
        kept = []

        async def keep(*streams):
            # A stream that is no longer referenced ends its connection.
            kept.append(streams)
            await asyncio.sleep(9)

        stuck = await asyncio.start_server(keep, "127.0.0.1", 0)
        self.addCleanup(stuck.close)
        self.admit("t2", Address(*stuck.sockets[0].getsockname()[:2]))
        self.view.targets.leave("t0", read_clock())
        slow = await self.open(bytes(2 * MIB))
        await self.until(lambda: self.forwarder.steps.target_bodies.max_in_hand_bytes())
        self.admit("t3", self.view.targets.record_of("t0").address)
        for number in range(8):
            await self.call(request_id=b"r%d" % (number + 2))
        self.assertTrue(target.received)
        self.assertLess(self.memory.ledger.held_bytes, 2.1 * MIB)
        slow[1].transport.abort()
        await self.until(lambda: not self.memory.ledger.held_bytes)
        self.assertEqual(self.forwarder.steps.target_bodies.max_in_hand_bytes(), 0)

    @asyncio_test
    async def test_second_large_body_waits_for_its_target_and_is_refused_as_not_run(self):
        """Many routers together could exceed a target's memory."""
        self.view.routers = 138
        self.view.targets.leave("t1", read_clock())
        self.script(silent())
        await self.open(bytes(MIB))
        await self.until(lambda: self.received())
        reader, _ = await self.open(bytes(MIB))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
        self.assertIn(b" 503 ", head)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_retry_may_go_to_a_target_that_had_no_room_before(self):
        """A target that was passed over counted as tried: the retry found none."""
        passed_over = []

        def may_send(target_id, size_bytes):
            passed_over.append(target_id)
            return target_id != passed_over[0] or bool(self.received())

        self.forwarder.steps.target_bodies.may_send = may_send
        self.share(raw(b"", then_close=True))
        reader, _ = await self.open(bytes(MIB))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
        self.assertIn(b" 200 ", head)

    @asyncio_test
    async def test_second_large_body_goes_to_a_target_without_one(self):
        self.view.routers = 138
        self.script(silent())
        for count in (1, 2):
            await self.open(bytes(MIB))
            await self.until(lambda count=count: len(self.received()) == count)
        self.assertEqual([len(target.received) for target in self.targets], [1, 1])


class PipelinedRequestsTest(HeldBytesTestCase):
    @asyncio_test
    async def test_what_a_caller_sends_ahead_of_its_answer_is_left_unread(self):
        """It was kept in the parser's buffer, which nothing bounded or counted."""
        self.script(silent())
        _, writer = await self.open()
        await self.until(lambda: self.received())
        writer.write(bytes(8 * MIB))
        await asyncio.sleep(0.3)
        (connection,) = self.server.connections
        self.assertLess(connection._parser.unparsed_bytes, MIB)

    @asyncio_test
    async def test_requests_sent_ahead_are_answered(self):
        reader, writer = await self.open(bytes(MIB))
        head = b"POST /a/x HTTP/1.1\r\nhost: host\r\nx-request-id: r%d\r\nx-deadline-ms: 5000\r\n"
        head += b"authorization: Bearer key\r\ncontent-length: 200000\r\n\r\n"
        for number in range(2, 6):
            writer.write(head % number + bytes(200_000))
        for _ in range(5):
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
            self.assertIn(b" 200 ", head)
        await self.until(lambda: not self.memory.ledger.held_bytes)


SWITCHES = (
    {},
    {"memory_bytes": 300 * MIB},
    {"has_contention": True},
    {"has_contention": True, "memory_bytes": 152 * MIB},
)


class SwitchTest(TestCase):
    def router(self, **switch):
        address = Address("127.0.0.1", 1)
        settings = ForwardingSettings("r", "domain", address, address, (), 1, **switch)
        return ForwardingRouter(settings, lambda body: None, HeaderNames())

    def test_bytes_are_bounded_on_every_deployment_and_at_every_address(self):
        """Guards against a deployment, or an address, where clients fill the memory."""
        for switch in SWITCHES:
            router = self.router(**switch)
            servers = (router._callers, router._ready, router._metrics._server)
            for server in (*servers, router.view.relay._server):
                self.assertIs(server.memory, router.held_bytes)
            has_contention = switch.get("has_contention", False)
            bodies = router.forwarder.steps.target_bodies
            self.assertEqual(bodies is not None, has_contention)

    def test_answers_that_are_read_are_bounded_on_every_deployment(self):
        """Guards against a deployment on which a target without end fills the memory."""
        bounds = []
        for switch in SWITCHES:
            router = self.router(**switch)
            self.assertIs(router.connections.answers, router.answers)
            self.assertIs(router.peers.connections.answers, router.answers)
            sizes = (router.held_bytes.ledger.bound_bytes, router.answers.bound_bytes)
            bounds.append(tuple(size // MIB for size in sizes))
        self.assertEqual(bounds, [(128, 8), (128, 8), (128, 8), (49, 8)])

    @asyncio_test
    async def test_without_the_switch_connections_keep_their_buffers_and_write_at_once(self):
        accounts = []

        async def handle(exchange):
            accounts.append(exchange.account)
            (connection,) = server.connections
            limits.append(connection._transport.get_write_buffer_limits())
            outboxes.append(connection._output._outbox)
            exchange.begin(200, [])
            exchange.write(bytes(MIB))
            exchange.finish()

        limits, outboxes = [], []
        server = HttpServer(handle, ServerLimits())
        port = server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual((accounts, outboxes, limits), ([None], [None], [(16_384, 65_536)]))
        self.assertEqual((server.memory, server.reading), (None, 0))
        writer.close()
        await server.stop_listening()
        server.abort()
        await asyncio.sleep(0.05)
