"""Tests of the bound on the bytes of all answers that are being read."""

import asyncio

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.answers_in_hand import AnswersInHand
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.endless_target import EndlessPart, send_endless
from damaskwind.standins.scripted_target import plain

MIB = 2**20
BOUND_BYTES = 4 * MIB
# Sent at once, so that together they exceed the bound before any exceeds that of one answer.
REQUESTS = 8


class AnswersInHandTest(ForwarderTestCase):
    timeout = 60

    async def start(self):
        await super().start()
        self.answers = AnswersInHand(BOUND_BYTES, self.forwarder.tallies)
        self.connections.answers = self.answers
        self.peak_bytes = 0

    def allow(self, kind, **changes):
        terms = {"timeout_s": 30.0, "objective_s": 5.0, "gap_objective_s": 5.0, **changes}
        self.publish(route(kind=kind, max_attempts=1, **terms))

    async def read(self, number):
        """Make one call; return its status, and the body if it came to its end."""
        connection = await self.connect()
        request_id = b"r%d" % number
        connection.send(self.request(request_id=request_id, x_deadline_ms=b"30000"))
        try:
            head = await connection.read_head()
            return head.status, await connection.read_body(64 * MIB)
        except AnswerBrokenError:
            return 0, b""

    async def read_all(self, requests=REQUESTS):
        """Make calls at once, with the peak of the bytes in hand; return how they ended."""
        calling = asyncio.gather(*map(self.read, range(requests)))
        self.addCleanup(calling.cancel)
        deadline_s = read_clock() + 25.0
        while not calling.done():
            self.assertLess(read_clock(), deadline_s)
            self.peak_bytes = max(self.peak_bytes, self.answers.held_bytes)
            await asyncio.sleep(0)
        return calling.result()

    def given_up(self):
        return sum(self.forwarder.tallies.totals("answers_given_up").values())

    @asyncio_test
    async def test_bodies_without_end_are_given_up_together(self):
        """Guards against several answers of 16 MB each that fill the memory of a router."""
        self.allow(RouteKind.IDEMPOTENT)
        self.share(*[send_endless(EndlessPart.UNFRAMED_BODY)] * REQUESTS)
        ends = await self.read_all()
        self.assertEqual(ends, [(502, b"")] * REQUESTS)
        self.assertLessEqual(self.peak_bytes, BOUND_BYTES)
        self.assertGreaterEqual(self.given_up(), REQUESTS - 1)
        self.assertEqual(self.answers.held_bytes, 0)
        self.assertEqual(await self.read(REQUESTS), (200, b"whole"))

    @asyncio_test
    async def test_starts_of_events_are_counted_together(self):
        """Guards against events of just under their bound that fill the memory together."""
        self.allow(RouteKind.STREAMING, is_resumable=True)

        async def step(writer, request):
            request_id = request.headers[request.id_header]
            writer.write(b"HTTP/1.1 200 X\r\nx-request-id: " + request_id + b"\r\n")
            writer.write(b"content-length: 1000003\r\n\r\n" + b"x" * 1_000_000)
            await asyncio.sleep(1.0)
            writer.write(b"x\n\n")

        self.share(*[step] * REQUESTS)
        ends = await self.read_all()
        whole = sum(end == (200, b"x" * 1_000_001 + b"\n\n") for end in ends)
        self.assertEqual(whole + self.given_up(), REQUESTS)
        self.assertGreaterEqual(whole, 2)
        self.assertGreaterEqual(self.given_up(), 3)
        self.assertLessEqual(self.peak_bytes, BOUND_BYTES)
        self.assertEqual(self.answers.held_bytes, 0)

    @asyncio_test
    async def test_answers_within_the_bound_are_delivered(self):
        """Guards against a bound that counts what was passed on."""
        self.allow(RouteKind.IDEMPOTENT)
        body = b"x" * (3 * MIB)
        for number in range(4):
            self.share(plain(200, body))
            self.assertEqual(await self.read(number), (200, body))
            self.assertEqual(self.answers.held_bytes, 0)
        self.allow(RouteKind.STREAMING)
        body = b"x" * (12 * MIB)
        self.share(plain(200, body, (b"content-type: application/octet-stream",)))
        self.assertEqual(await self.read(9), (200, body))
        self.assertEqual((self.answers.held_bytes, self.given_up()), (0, 0))
