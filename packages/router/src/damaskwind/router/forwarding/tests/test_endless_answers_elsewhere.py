"""Tests of bytes without end that are no answer, beside the path to the router's own targets."""

import asyncio

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.peer_calls import CALL_ERRORS, call_peer
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.router.forwarding.tests.test_cut_heads_relayed import BehindRouterTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.endless_target import EndlessPart, send_endless
from damaskwind.standins.scripted_target import ScriptedTarget, plain, unframed

MIB = 2**20
# What a sender may send until it is reset: the bound of a body, 16 MiB, and what lies in buffers.
MAX_SENT_BYTES = 40 * MIB
ENDLESS_S = 8.0
PARTS = tuple(EndlessPart)
# What a stream passes on to its caller as it comes, which bounds it by its reading.
PASSED_ON = (
    EndlessPart.SMALL_EVENTS,
    EndlessPart.SMALL_CHUNKS,
    EndlessPart.UNFRAMED_BODY,
    EndlessPart.CHUNKED_BODY,
)
# An answer that is whole before the bytes without end.
WHOLE = (EndlessPart.AFTER_ANSWER,)


class SenderTestCase(ForwarderTestCase):
    """Counts what is sent without end, up to a bound."""

    timeout = 110

    async def start(self):
        await super().start()
        self.sent_bytes = 0

    def endless(self, part):
        self.sent_bytes = 0
        return send_endless(part, on_sent=self.add)

    def add(self, size_bytes):
        """Count what was sent; a sender that was never reset stops at the bound."""
        self.sent_bytes += size_bytes
        if self.sent_bytes > MAX_SENT_BYTES:
            raise ConnectionAbortedError("too much was read")

    async def require_reset(self, *senders):
        """Wait until no sender is read any more; return what was sent."""
        async with asyncio.timeout(ENDLESS_S):
            while any(sender.in_progress() for sender in senders):
                await asyncio.sleep(0.01)
        return self.sent_bytes


class EndlessAnswersThroughAnotherRouterTest(SenderTestCase, BehindRouterTestCase):
    @asyncio_test
    async def test_target_behind_another_router_is_reset_within_the_bound(self):
        """Guards against a router that keeps all that it reads for another one."""
        sent = {}
        for kind in (RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING):
            self.publish(route(kind, timeout_s=30.0, objective_s=5.0, gap_objective_s=5.0))
            passed_on = PASSED_ON if kind is RouteKind.STREAMING else ()
            for part in (part for part in PARTS if part not in passed_on):
                self.forwarder._budgets.clear()
                self.share(self.endless(part), plain())
                reading = asyncio.ensure_future(self.read(b"r1"))
                await asyncio.sleep(0.05)
                self.assertEqual((await self.call(request_id=b"r2")).body, b"whole")
                self.assertEqual(await reading, part in WHOLE, (kind, part))
                sent[kind.value, part.value] = await self.require_reset(*self.targets)
        self.assertLess(max(sent.values()), MAX_SENT_BYTES, sent)

    async def read(self, request_id):
        """Make one call; return whether its answer looked like a whole success."""
        connection = await self.connect()
        connection.send(self.request(request_id=request_id, x_deadline_ms=b"8000"))
        try:
            head = await connection.read_head()
            while await connection.read_data() is not None:
                pass
        except AnswerBrokenError:
            return False
        return head.status == 200


class EndlessHealthAnswersTest(SenderTestCase):
    @asyncio_test
    async def test_health_answer_without_end_is_reset_and_proves_nothing(self):
        for part in (part for part in PARTS if part not in WHOLE):
            self.forwarder._budgets.clear()
            for target in self.targets:
                target.health_step = self.endless(part)
            self.share(unframed(b"whole"), unframed(b"whole"))
            asking = asyncio.ensure_future(self.call())
            await asyncio.sleep(0.05)
            self.publish(route(RouteKind.NON_IDEMPOTENT))
            self.assertGreaterEqual((await asking).status, 500, part)
            self.assertLess(self.sent_bytes, MAX_SENT_BYTES, part)


class EndlessAnswersOfOtherProcessesTest(SenderTestCase):
    @asyncio_test
    async def test_call_to_another_process_is_ended_within_the_bound(self):
        """Guards against a process at an address used again that floods its callers."""
        other = ScriptedTarget(NAMES)
        address = await other.start()
        self.addCleanup(lambda: other._server.close())
        sent = {}
        for part in PARTS:
            other.script = [self.endless(part)]
            calling = call_peer(self.connections, address, b"/reach", b"", ENDLESS_S)
            if part in WHOLE:
                await calling
            else:
                with self.assertRaises(CALL_ERRORS):
                    await calling
            sent[part.value] = await self.require_reset(other)
        self.assertLess(max(sent.values()), MAX_SENT_BYTES, sent)
