"""Tests that every step of a request's path respects the signals of a target."""

import asyncio

from damaskwind.decisions.fatal_requests.suspicion import SuspicionLevel
from damaskwind.decisions.load.held_requests import LoadSource
from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.decisions.target_signals.answer_signals import AnswerSignals
from damaskwind.model.evacuations import Evacuations
from damaskwind.router.forwarding.crash_detector import BrokenSend
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import header
from damaskwind.standins.scripted_target import plain, stream

NOT_RUN = b"x-not-run: 1"
ASKS_FOR_PAUSE = plain(503, b"", (NOT_RUN, b"retry-after: 3"))
IS_FULL = plain(503, b"", (NOT_RUN,))
ANNOUNCES_LEAVING = plain(200, b"whole", (b"x-leaving: 1",))
PARTS = {"x_prompt_parts": b"shared:100,own:10"}


class TargetSignalsTest(ForwarderTestCase):
    def signal(self, index, signals):
        self.forwarder.target_states.record_signals(
            self.view.targets.record_of(f"t{index}"), signals
        )

    def pause(self, *indexes, rest_s=3.0):
        for index in indexes:
            self.signal(index, AnswerSignals(rest_s))

    def retry_after_s(self, answer):
        self.assertEqual(answer.status, 503)
        return float(header(answer.headers, b"retry-after"))

    @asyncio_test
    async def test_pause_of_all_targets_refuses_requests_at_once_until_the_first_ends(self):
        self.share(ASKS_FOR_PAUSE, plain(503, b"", (NOT_RUN, b"retry-after: 1.5")))
        self.retry_after_s(await self.call())
        self.assertEqual(len(self.received()), 2)
        begun_s = read_clock()
        retries_s = [
            self.retry_after_s(await self.call(request_id=b"r%d" % n)) for n in range(2, 12)
        ]
        self.assertLess(read_clock() - begun_s, 0.5)
        self.assertEqual(len(self.received()), 2)
        self.assertTrue(all(1.0 < retry_s < 1.8 for retry_s in retries_s), retries_s)
        self.assertGreater(len(set(retries_s)), 5)

    @asyncio_test
    async def test_full_target_is_the_last_choice_but_still_a_choice(self):
        self.pause(0)
        self.share(IS_FULL)
        self.retry_after_s(await self.call())
        self.assertEqual((await self.call(request_id=b"r2")).status, 200)
        self.assertEqual(len(self.targets[0].received), 0)

    @asyncio_test
    async def test_pause_requested_during_connection_setup_withholds_the_request(self):
        acquire = self.connections.acquire
        first_s = []

        async def slow_take(target_id, *rest):
            connection = await acquire(target_id, *rest)
            if not first_s:
                first_s.append(read_clock())
                self.pause(int(target_id[1:]))
            return connection

        self.connections.acquire = slow_take
        answer = await self.call()
        self.assertEqual(answer.status, 200)
        (got,) = self.received()
        paused = next(n for n in (0, 1) if not self.targets[n].received)
        self.assertNotEqual(got.headers[b"x-expect-target"], b"t%d" % paused)
        self.assertEqual(self.forwarder.tallies.totals("attempts")[(("end", "withheld"),)], 1)

    @asyncio_test
    async def test_withheld_request_is_refused_when_no_other_target_is_left(self):
        acquire = self.connections.acquire

        async def slow_take(target_id, *rest):
            connection = await acquire(target_id, *rest)
            self.pause(0, 1)
            return connection

        self.connections.acquire = slow_take
        self.assertGreater(self.retry_after_s(await self.call()), 2.0)
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_queued_requests_are_refused_when_all_targets_pause(self):
        admissions = self.forwarder.admissions
        pool = admissions._pool("pool")
        pool._pool_window.limit = 0.0
        calls = [asyncio.ensure_future(self.call(request_id=b"w%d" % n)) for n in range(3)]
        await asyncio.sleep(0.03)
        waiting = admissions.queued()
        self.pause(0, 1)
        begun_s = read_clock()
        answers = await asyncio.gather(*calls)
        self.assertLess(read_clock() - begun_s, 0.2)
        self.assertGreater(waiting, 0)
        for answer in answers:
            self.retry_after_s(answer)
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_pause_does_not_count_as_rejection_for_the_throttle(self):
        self.share(ASKS_FOR_PAUSE)
        self.assertEqual((await self.call()).status, 200)
        (count,) = self.forwarder.throttles.recent_counts()
        self.assertEqual((count.stats.turned_away, count.stats.answered), (0, 1))

    @asyncio_test
    async def test_paused_engine_gets_no_prompt_but_its_parts_are_copied(self):
        self.publish(route(has_prompt_parts=True))
        await self.call(**PARTS)
        home = next(n for n in (0, 1) if self.targets[n].received)
        self.pause(home)
        self.assertEqual((await self.call(request_id=b"r2", **PARTS)).status, 200)
        (got,) = self.targets[1 - home].received
        address = str(self.view.targets.record_of(f"t{home}").address)
        self.assertEqual(got.headers[b"x-fetch-from"], address.encode())

    @asyncio_test
    async def test_no_request_is_sent_with_one_domain_evacuated_and_the_others_paused(self):
        self.view.targets.merge(
            self.view.targets.record_of("t1")._replace(target_id="t2", failure_domain="other"),
            read_clock(),
        )
        self.view.evacuations = Evacuations(1, ("other",))
        self.pause(0, 1)
        self.assertGreater(self.retry_after_s(await self.call()), 2.0)
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_leaving_signal_outweighs_heartbeats_that_report_serving(self):
        self.share(ANNOUNCES_LEAVING)
        await self.call()
        left = next(n for n in (0, 1) if self.targets[n].received)
        address = self.view.targets.record_of(f"t{left}").address
        self.admit(f"t{left}", address, sequence=200)
        for number in range(6):
            self.assertEqual((await self.call(request_id=b"s%d" % number)).status, 200)
        self.assertEqual(len(self.targets[left].received), 1)

    @asyncio_test
    async def test_leaving_signal_in_the_head_of_a_stream_counts_before_its_end(self):
        self.publish(route(has_prompt_parts=True))
        self.share(stream(1, 2, 0.3, (b"x-leaving: 1",)))
        first = asyncio.ensure_future(self.call(**PARTS))
        await asyncio.sleep(0.1)
        left = next(n for n in (0, 1) if self.targets[n].received)
        await self.call(request_id=b"r2", **PARTS)
        self.assertEqual(len(self.targets[left].received), 1)
        self.assertEqual((await first).status, 200)

    @asyncio_test
    async def test_signal_of_another_target_at_the_address_is_ignored(self):
        misdirected = plain(421, b"", (NOT_RUN, b"x-leaving: 1", b"retry-after: 9"))
        self.share(misdirected)
        self.assertEqual((await self.call()).status, 200)
        self.assertEqual(len(self.forwarder.target_states.signals), 0)

    @asyncio_test
    async def test_load_of_another_target_at_the_address_is_ignored(self):
        misdirected = plain(421, b"", (NOT_RUN, b"x-target-load: 7,0,8"))
        self.targets[0].script = self.targets[1].script = [misdirected]
        await self.call()
        loads = self.forwarder.target_states.loads
        sources = {loads.basis(f"t{n}", read_clock(), False).source for n in (0, 1)}
        self.assertEqual(sources, {LoadSource.ESTIMATE})

    @asyncio_test
    async def test_signal_is_kept_when_its_target_is_forgotten_and_reports_again(self):
        record = self.view.targets.record_of("t0")
        self.signal(0, AnswerSignals(is_leaving=True))
        self.forwarder.target_states.forget("t0")
        for number in range(4):
            await self.call(request_id=b"s%d" % number)
        self.assertEqual(self.targets[0].received, [])
        self.view.targets.merge(record._replace(born_ms=1_790_000_000_000), read_clock())
        for number in range(8):
            await self.call(request_id=b"n%d" % number)
        self.assertGreater(len(self.targets[0].received), 0)

    @asyncio_test
    async def test_exit_after_a_leaving_signal_puts_no_request_under_suspicion(self):
        target = self.view.targets.record_of("t0")
        self.assertIs(target.phase, TargetPhase.SERVING)
        self.signal(0, AnswerSignals(is_leaving=True))
        await self.targets[0].stop()
        broken = []
        self.forwarder.crash_detector.on_crashed.append(lambda *ended: broken.append(ended))
        self.assertFalse(
            await self.forwarder.crash_detector.probe(
                target, BrokenSend(b"d", SuspicionLevel(), b"r")
            )
        )
        self.assertEqual(broken, [])
