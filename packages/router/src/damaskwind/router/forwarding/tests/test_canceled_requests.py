"""Tests that a request which is canceled while its caller waits gets an honest answer.

A cancellation is injected at each point at which the work for a request waits, as that of a
shared future would be, or of the task by something else than the caller.
"""

import asyncio
import json
from unittest.mock import patch

import h11
from loguru import logger

from damaskwind.decisions.held_bytes.bound import HeldBounds
from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.model.exception import DamaskwindError
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.connections import SETTLE_S
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.health_checks import HealthAnswer, HealthChecks
from damaskwind.router.forwarding.target_bodies import TargetBodies
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.router.forwarding.unanswered_requests import UnansweredRequests, unanswered_totals
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.held_bytes import HeldBytes
from damaskwind.runtime.http1.client import AnswerBrokenError, AnswerHead
from damaskwind.runtime.http1.unanswered import UnansweredReason
from damaskwind.standins.scripted_target import plain, raw, silent, stream, unframed

# More points than any of the requests here passes.
MAX_POINTS = 60
CLOSED = 0
MIB = 2**20
BROKEN = raw(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nx", then_close=True)


class _Canceled:
    """Runs a coroutine, and cancels it at its n-th wait; `is_done` tells whether it got there."""

    def __init__(self, work, number, of_task):
        self._work = work
        self._number = number
        self._of_task = of_task
        self.is_done = False

    def __await__(self):
        steps = self._work.__await__()
        raised = None
        for number in range(10 * MAX_POINTS):
            try:
                waited_for = steps.send(None) if raised is None else steps.throw(raised)
            except StopIteration as end:
                return end.value
            raised = None
            if number == self._number:
                self.is_done = True
                if self._of_task:
                    asyncio.current_task().cancel("by the test")
                else:
                    raised = asyncio.CancelledError("by the test")
                    if waited_for is not None:
                        waited_for._asyncio_future_blocking = False
                        waited_for.cancel()
                    continue
            try:
                yield waited_for
            except BaseException as error:
                raised = error


class CancelingTestCase(ForwarderTestCase):
    """Cancels requests at each of their waits, and checks how they end."""

    timeout = 60

    async def start(self):
        await super().start()
        self.point, self.of_task, self.canceled = None, False, None
        self.server.handler = self.handle
        unanswered = UnansweredRequests(self.forwarder._names, self.forwarder.tallies)
        self.server.on_unanswered = unanswered.record
        self.ended = []
        sink = logger.add(self.keep, serialize=True)
        self.addCleanup(logger.remove, sink)

    def keep(self, message):
        record = json.loads(message)["record"]
        if record["message"] == "request ended":
            self.ended.append(record["extra"])

    async def handle(self, exchange):
        work = self.forwarder.handle(exchange)
        self.canceled = _Canceled(work, self.point, self.of_task)
        await self.canceled

    async def outcome(self, number):
        """Return the status of a request that is canceled at its n-th wait, and its sends."""
        self.point, self.canceled = number, None
        for target in self.targets:
            target.received.clear()
        request_id = b"c%d" % number
        try:
            answer = await self.call(path=b"/a/x", request_id=request_id)
            status = answer.status
        except AnswerBrokenError:
            status = CLOSED
        return status, len(self.received())

    async def check(self, *steps, may_cut=False):
        """Cancel a request at each of its waits; return how many there are."""
        reasons = {UnansweredReason.CANCELED} if may_cut else set()
        for number in range(MAX_POINTS):
            self.share(*steps)
            status, sends = await self.outcome(number)
            if not self.canceled.is_done:
                return number
            self.assertLessEqual(
                set(unanswered_totals(self.forwarder.tallies)), reasons, (number, status)
            )
            if status == CLOSED:
                self.assertTrue(may_cut and sends, f"closed at wait {number}")
                continue
            self.assertIn(status, (200, 502, 503), f"at wait {number}")
            if status == 503:
                self.assertEqual(sends, 0, f"sent before wait {number}")
            last = self.ended[-1]
            self.assertNotEqual(last["outcome"], "caller left")
            if status != 200:
                self.assertIn("by the test", last["why"])
            self.assertEqual(self.server.active, 0)
            self.assertEqual(self.forwarder.admissions.unplaced("pool"), 0)
        raise DamaskwindError("the request waits at more points than are tested")

    async def check_both(self, *steps, may_cut=False):
        for self.of_task in (False, True):
            waits = await self.check(*steps, may_cut=may_cut)
            self.assertGreater(waits, 1)


class CanceledRequestsTest(CancelingTestCase):
    @asyncio_test
    async def test_plain_request_is_answered_wherever_it_is_canceled(self):
        """Guards against a request that is lost as something that it waits for is canceled."""
        await self.check_both(plain())

    @asyncio_test
    async def test_retried_request_is_answered_wherever_it_is_canceled(self):
        """Guards against a request that is lost as the shared probe of its target is canceled."""
        await self.check_both(BROKEN, plain())

    @asyncio_test
    async def test_request_that_may_not_be_repeated_is_answered_wherever_it_is_canceled(self):
        """Guards against a promise that a request has not run which may have."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        await self.check_both(plain())

    @asyncio_test
    async def test_stream_is_answered_or_reset_wherever_it_is_canceled(self):
        """Guards against a stream that looks complete as it is canceled, or is not counted."""
        self.publish(route(RouteKind.STREAMING, is_resumable=True))
        await self.check_both(stream(1, 3, pause_s=0.02), may_cut=True)
        totals = unanswered_totals(self.forwarder.tallies)
        self.assertEqual(set(totals), {UnansweredReason.CANCELED})

    @asyncio_test
    async def test_unframed_answer_is_passed_on_or_fails_wherever_it_is_canceled(self):
        """Guards against a request that is lost as the probe of its target's end is canceled."""
        await self.check_both(unframed(b"whole"))


class CanceledHeldRequestsTest(CancelingTestCase):
    """The same where the bytes in hand are bounded, with a body that a thread hashes."""

    def make_memory(self):
        tallies = self.forwarder.tallies
        self.forwarder.bound_target_bodies(TargetBodies(lambda: 1, tallies))
        return HeldBytes(HeldBounds(6 * MIB, 3 * MIB), NAMES, tallies)

    def request(self, path=b"/a/x", request_id=b"r1", body=b"{}", **extra):
        return super().request(path, request_id, body * 50_000, **extra)

    @asyncio_test
    async def test_large_request_is_answered_wherever_it_is_canceled(self):
        """Guards against a canceled request whose bytes stay accounted for."""
        await self.check_both(BROKEN, plain())
        self.assertEqual(self.server.memory.ledger.held_bytes, 0)
        self.assertEqual(self.forwarder.steps.target_bodies.max_in_hand_bytes(), 0)


class CanceledRacesTest(CancelingTestCase):
    """The same where overdue requests are sent to a second target."""

    async def start(self):
        await super().start()
        self.forwarder.target_states.reports_work_time = True
        self.publish(route(objective_s=0.02))

    @asyncio_test
    async def test_request_is_answered_as_all_its_attempts_are_canceled(self):
        """Guards against a request that fails without an outcome as no attempt has one."""
        self.share(silent(), silent())
        calling = asyncio.ensure_future(self.call(request_id=b"c1"))
        while len(self.received()) < 2:
            await asyncio.sleep(0.005)
        attempts = [task for task in asyncio.all_tasks() if _runs(task, "RecordedSends.send")]
        self.assertEqual(len(attempts), 2)
        for task in attempts:
            task.cancel("by the test")
        answer = await calling
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.ended[-1]["why"], "all attempts were canceled")


def _runs(task, name):
    return task.get_coro().__qualname__ == name


def late(step):
    """Take a step once the connection counts as accepted by the target."""

    async def delayed(writer, request):
        await asyncio.sleep(2 * SETTLE_S)
        await step(writer, request)

    return delayed


class SharedWorkTest(CancelingTestCase):
    """Requests that wait for the same work, whose first caller leaves."""

    others = 2

    async def handle(self, exchange):
        await self.forwarder.handle(exchange)

    async def slow_probe(self, *_):
        self.probes += 1
        await asyncio.sleep(0.3)
        return True

    async def check_shared(self, step):
        """Let requests share probes, and the caller of the first one leave meanwhile."""
        self.probes = 0
        self.connections.probe = self.slow_probe
        self.targets[0].answers_health_after_s = 0.3
        self.share(*([step] * (1 + self.others)))
        # All of them are sent to the same target first.
        address = self.view.targets.record_of("t1").address
        self.admit("t1", address, TargetPhase.LEAVING, 200)
        leaving = await self.connect()
        leaving.send(self.request(request_id=b"c1"))
        staying = [
            asyncio.ensure_future(self.call(request_id=b"s%d" % number))
            for number in range(self.others)
        ]
        while not self.probes and not self.targets[0].health_checks:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.received()), 1 + self.others)
        self.admit("t2", address)
        leaving.abort()
        answers = await asyncio.gather(*staying)
        while len(self.ended) <= self.others:
            await asyncio.sleep(0.005)
        first = next(item for item in self.ended if item["request"] == "c1")
        self.assertEqual(first["outcome"], "caller left")
        self.assertEqual(unanswered_totals(self.forwarder.tallies), {})
        self.assertEqual([answer.status for answer in answers], [200] * self.others)

    @asyncio_test
    async def test_probe_of_a_broken_target_outlives_the_caller_that_asked_for_it(self):
        """Guards against a request that is lost as another one's caller leaves."""
        await self.check_shared(late(BROKEN))

    @asyncio_test
    async def test_question_at_the_end_of_an_unframed_answer_outlives_its_caller(self):
        """Guards against an answer that is lost as another one's caller leaves."""
        self.patch(HealthChecks, "send", lambda _, target, *__: self.slow_health_check(target))
        await self.check_shared(unframed(b"whole"))
        self.assertLessEqual(self.probes, 2)

    async def slow_health_check(self, target):
        await self.slow_probe()
        named = (NAMES.instance_id, target.target_id.encode())
        return HealthAnswer(AnswerHead(200, [named]), read_clock())


class FailedRequestsTest(CancelingTestCase):
    @asyncio_test
    async def test_answer_that_cannot_be_written_is_answered_as_failed(self):
        """Guards against a reset, or a 500 as if of the target, for an answer that ran."""
        self.point = MAX_POINTS
        failure = h11.LocalProtocolError("refused")
        with patch.object(Delivery, "send_whole", side_effect=failure):
            answer = await self.call(request_id=b"c1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(unanswered_totals(self.forwarder.tallies), {})
        self.assertIn("refused", self.ended[-1]["why"])
