"""Tests of unframed answers of targets whose process has ended, which nobody heard of.

The word of an end comes by the network: it may be lost or come late, and what stands before a
target may go on accepting connections for it.
"""

import asyncio

from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.health_checks import HealthChecks
from damaskwind.router.forwarding.tests.bench import NAMES, route
from damaskwind.router.forwarding.tests.test_unframed_answers import EVENTS, UnframedTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import ConnectFailedError
from damaskwind.standins.scripted_target import ScriptedEndError, event, plain, unframed

TWO_EVENTS = event(1) + event(2)


def late_answer(status):
    """Return the bytes of a refusal of a request that was sent earlier."""
    return (
        b"HTTP/1.1 %d X\r\nx-request-id: r7\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n" % status
    )


async def late_refusal(writer, request):
    """Write what was on its way before the process ended, and nothing else."""
    writer.write(late_answer(503))
    await asyncio.sleep(60.0)


async def late_misdirection_then_health(writer, request):
    """Write a late answer, then that to the health check."""
    writer.write(late_answer(421))
    named = NAMES.instance_id + b": " + request.headers[NAMES.expect_target]
    await plain(body=b"", fields=(named,))(writer, request)


class UnheardEndTestCase(UnframedTestCase):
    """One target serves, whose process ends with an unframed answer."""

    async def start(self):
        await super().start()
        address = self.view.targets.record_of("t1").address
        self.admit("t1", address, TargetPhase.LEAVING, 101)
        self.target = self.targets[0]
        self.publish(route(RouteKind.STREAMING))

    def ending_process(self, body=TWO_EVENTS, is_accepting=False):
        """Return a step whose process ends; of its other connections nothing is heard.

        With `is_accepting`, something before it accepts new connections and says nothing.
        """

        async def step(writer, request):
            self.target.is_alive = False
            if not is_accepting:
                self.target._server.close()
            await unframed(body, (EVENTS,))(writer, request)

        return step

    async def open_connection(self):
        """Let a request wait at the target on a connection of its own."""
        waiting = asyncio.Event()

        async def hold(writer, request):
            waiting.set()
            await asyncio.sleep(60.0)

        self.share(hold)
        other = asyncio.ensure_future(self.call(request_id=b"r2"))
        self.addCleanup(other.cancel)
        await waiting.wait()

    async def pool_connection(self, count=2):
        """Leave connections to the target that no request uses."""

        async def answer_together(writer, request):
            await asyncio.sleep(0.05)
            await plain()(writer, request)

        self.share(*[answer_together] * count)
        calls = [self.call(request_id=b"r%d" % (number + 2)) for number in range(count)]
        await asyncio.gather(*calls)

    def questions_under_way(self):
        """Return how many questions the router remembers."""
        return len(self.forwarder.sender.answer_ends._questions)

    def end_life(self):
        """Register the target in another life, with another process at another address."""
        record = self.view.targets.record_of("t0")
        address = self.view.targets.record_of("t1").address
        following = record._replace(born_ms=record.born_ms + 1, address=address)
        self.view.targets.merge(following, read_clock())


class UnheardEndTest(UnheardEndTestCase):
    @asyncio_test
    async def test_connection_whose_end_was_lost_is_no_proof(self):
        """Guards against 12 of 1,300 streams that look complete where links lose packets."""
        await self.open_connection()
        self.share(self.ending_process())
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_pooled_connection_whose_end_was_lost_is_no_proof(self):
        await self.pool_connection()
        self.share(self.ending_process())
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_new_connection_to_what_stands_before_a_target_is_no_proof(self):
        """Guards against a proxy or a full queue that accepts for a process that has ended."""
        self.share(self.ending_process(is_accepting=True))
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_plain_answer_beside_a_connection_whose_end_was_lost_is_not_passed_on(self):
        """Guards against a cut body that is passed on with a length that fits it."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        await self.open_connection()
        self.share(self.ending_process(b"who"))
        self.assertEqual((await self.call()).status, 502)

    @asyncio_test
    async def test_answer_to_a_question_from_before_the_end_is_no_proof(self):
        """Guards against a word that was on its way as its process ended."""
        self.share(unframed(TWO_EVENTS, (EVENTS,)), self.ending_process())
        self.target.answers_health_after_s = 0.1
        first = asyncio.ensure_future(self.read())
        await asyncio.sleep(0.06)
        second = await self.read()
        self.assertEqual((await first)[1], True)
        self.assertEqual(second, (TWO_EVENTS, False))

    @asyncio_test
    async def test_end_is_believed_though_the_first_question_is_lost(self):
        """Guards against whole answers that are called cut as one packet was lost."""
        await self.pool_connection()
        self.target.unanswered_health_checks = 1
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, True))

    @asyncio_test
    async def test_full_target_that_refuses_the_question_is_alive(self):
        """Guards against whole answers that are called cut as their target is full."""
        self.target.refuses_health_checks = True
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, True))

    @asyncio_test
    async def test_other_target_at_the_address_is_no_proof(self):
        """Guards against a new process at the address that vouches for the one before."""
        self.target.named_id = b"t7"
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_question_to_an_earlier_life_counts_for_that_one_alone(self):
        """Guards against a whole answer that is called cut as the life before it was gone."""
        self.target.answers_health_after_s = 0.3
        self.share(unframed(TWO_EVENTS, (EVENTS,)), unframed(TWO_EVENTS, (EVENTS,)))
        first = asyncio.ensure_future(self.read())
        await asyncio.sleep(0.1)
        self.target.named_id = b"t7"
        self.end_life()
        begun_s = read_clock()
        self.assertEqual(await self.read(), (TWO_EVENTS, True))
        self.assertLess(read_clock() - begun_s, 0.15)
        self.assertEqual((await first)[1], False)

    @asyncio_test
    async def test_late_refusal_of_another_request_is_no_proof(self):
        """Guards against an answer that was on its way as its process ended, read as its word."""
        await self.pool_connection()
        self.target.health_step = late_refusal
        self.share(self.ending_process())
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_late_answer_of_another_target_to_another_request_is_no_word_against_it(self):
        """Guards against a whole answer that is called cut for what came late."""
        await self.pool_connection()
        self.target.health_step = late_misdirection_then_health
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, True))

    @asyncio_test
    async def test_end_is_believed_though_the_first_question_fails_unexpectedly(self):
        """Guards against a whole answer that is lost with an unforeseen error of a question."""
        send = HealthChecks.send
        failures = [RuntimeError("scripted")]

        async def fail_once(*args):
            if failures:
                raise failures.pop()
            return await send(*args)

        self.patch(HealthChecks, "send", fail_once)
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, True))

    @asyncio_test
    async def test_question_goes_on_though_a_caller_of_it_has_left(self):
        """Guards against ends that are called cut as a caller that shares their question leaves."""
        self.target.answers_health_after_s = 0.2
        self.share(*[unframed(TWO_EVENTS, (EVENTS,))] * 2)
        leaving = await self.connect()
        leaving.send(self.request(request_id=b"r2"))
        await leaving.read_head()
        staying = asyncio.ensure_future(self.read())
        await asyncio.sleep(0.1)
        leaving.abort()
        self.assertEqual(await staying, (TWO_EVENTS, True))
        self.assertEqual(self.questions_under_way(), 0)

    @asyncio_test
    async def test_question_that_waits_for_a_slot_stays_in_its_queue(self):
        """Guards against whole answers that are called cut as their target is busy."""
        self.target.answers_health_after_s = 0.7
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, True))

    @asyncio_test
    async def test_end_does_not_wait_for_long_behind_a_question_that_is_lost(self):
        """Guards against ends that come 0.4 s late, as the question before them was lost."""
        await self.pool_connection()
        self.target.unanswered_health_checks = 1
        self.share(*[unframed(TWO_EVENTS, (EVENTS,))] * 2)
        first = asyncio.ensure_future(self.read())
        await asyncio.sleep(0.1)
        begun_s = read_clock()
        self.assertEqual(await self.read(), (TWO_EVENTS, True))
        self.assertLess(read_clock() - begun_s, 0.25)
        self.assertEqual(await first, (TWO_EVENTS, True))

    @asyncio_test
    async def test_question_is_asked_at_a_target_that_takes_no_more_connections(self):
        """Guards against whole answers that are called cut at a target's connection limit."""
        await self.pool_connection(3)
        self.target.health_step = self.closing_once
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        connect = self.connections.connect

        async def reset(address, timeout_s):
            raise ConnectFailedError("ConnectionResetError")

        self.connections.connect = reset
        self.assertEqual(await self.read(), (TWO_EVENTS, True))
        self.connections.connect = connect

    async def closing_once(self, writer, request):
        """Close the connection of the next health check, as it was idle for too long."""
        self.target.health_step = None
        raise ScriptedEndError("scripted end")

    @asyncio_test
    async def test_end_that_waits_for_its_proof_is_not_held_beyond_the_deadline(self):
        """Guards against callers that wait longer than they asked for."""
        self.target.answers_health_after_s = 60.0
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        begun_s = read_clock()
        self.assertEqual(await self.read(x_deadline_ms=b"300"), (TWO_EVENTS, False))
        self.assertLess(read_clock() - begun_s, 0.45)

    @asyncio_test
    async def test_target_back_under_its_id_is_no_proof_once_a_connection_was_reset(self):
        """Guards against a new life that vouches for the one before, not yet reported."""
        record = self.view.targets.record_of("t0")
        self.view.targets.merge(record._replace(born_ms=5, sequence=101), read_clock())
        self.target.health_step = self.closing_once
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, False))

    @asyncio_test
    async def test_reset_of_a_question_is_no_word_against_a_target_whose_id_names_its_life(self):
        """Guards against whole answers that are called cut at a target's connection limit."""
        self.target.health_step = self.closing_once
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, True))

    @asyncio_test
    async def test_older_connection_is_proof_at_a_target_that_may_be_back_under_its_id(self):
        record = self.view.targets.record_of("t0")
        self.view.targets.merge(record._replace(born_ms=5, sequence=101), read_clock())
        await self.pool_connection(3)
        self.target.health_step = self.closing_once
        self.share(unframed(TWO_EVENTS, (EVENTS,)))
        self.assertEqual(await self.read(), (TWO_EVENTS, True))

    @asyncio_test
    async def test_ends_at_a_target_that_resets_its_connections_share_their_questions(self):
        """Guards against hundreds of new connections a second where many answers end at once."""
        self.target.health_step = self.closing

        async def ending_in_turn(writer, request):
            await asyncio.sleep(0.1 + 0.007 * int(request.headers[b"x-request-id"][1:]))
            await unframed(TWO_EVENTS, (EVENTS,))(writer, request)

        self.share(*[ending_in_turn] * 10)
        reads = await asyncio.gather(*(self.read(request_id=b"r%d" % n) for n in range(10)))
        self.assertEqual(reads, [(TWO_EVENTS, False)] * 10)
        self.assertLessEqual(self.target.health_checks, 25)

    async def closing(self, writer, request):
        """Close the connection of a health check."""
        raise ScriptedEndError("scripted end")
