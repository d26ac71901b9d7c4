"""Tests of how a router treats a target that has restarted under the same id."""

import asyncio

from damaskwind.decisions.load.held_requests import TargetLoad
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.target_states import SendResult
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import plain, silent, stream
from damaskwind.wire.news import News

BORN_MS = 1_790_000_000_000


class RestartedTargetTest(ForwarderTestCase):
    """Two targets that report their start time; `restart` applies a replica's update of one."""

    async def start(self):
        await super().start()
        for number in range(len(self.targets)):
            self.restart(number, BORN_MS, sequence=100)

    def restart(self, number, born_ms, sequence=0):
        stored = self.view.targets.record_of(f"t{number}")
        record = stored._replace(born_ms=born_ms, sequence=sequence)
        self.view.handle_news("replica", News("e", 1, 1, True, (), 1, (record,), ()))
        return record

    @asyncio_test
    async def test_state_of_the_former_incarnation_is_dropped(self):
        target_states, now_s = self.forwarder.target_states, read_clock()
        record = self.view.targets.record_of("t0")
        target_states.loads.observe_report("t0", TargetLoad(8, 4, 8), now_s)
        target_states.loads.record_sent("t0")
        target_states.record_ended(record, SendResult(False, was_refused=True), now_s)
        for _ in range(20):
            target_states.record_sent(record, now_s)
            target_states.record_ended(record, SendResult(False), now_s)
            target_states.record_answer_started("pool", "t0", 9.0, now_s)
        target_states.record_ended(record, SendResult(True, is_displaced=True), now_s)

        def candidate():
            records = list(target_states.serving_or_draining("pool").values())
            found = target_states.candidates(records, read_clock(), True)
            return next(item for item in found if item.target_id == "t0")

        self.assertTrue(candidate().is_doubtful)
        self.restart(0, BORN_MS + 1)
        self.assertFalse(candidate().is_doubtful)
        self.assertFalse(candidate().is_slow)
        self.assertFalse(candidate().has_known_load)
        self.assertEqual(target_states.loads.own_in_flight("t0"), 0)
        self.assertLess(candidate().age_s, 1.0)

    @asyncio_test
    async def test_pooled_connection_to_the_former_incarnation_is_not_used(self):
        self.script(plain(), plain())
        await self.call()
        used = next(target for target in self.targets if target.received)
        self.restart(self.targets.index(used), BORN_MS + 1)
        self.assertEqual((await self.call(request_id=b"r2")).status, 200)
        await asyncio.sleep(0.05)
        self.assertIn("closed", used.ends)

    @asyncio_test
    async def test_request_at_the_former_incarnation_is_rerouted_at_once(self):
        self.publish(route(RouteKind.STREAMING, is_resumable=True, objective_s=2.0))
        self.share(silent(), stream(1, 2))
        calling = asyncio.ensure_future(self.call())
        while not self.received():
            await asyncio.sleep(0.01)
        used = next(target for target in self.targets if target.received)
        # The connection has to be older than the new incarnation.
        await asyncio.sleep(1.1)
        begun_s = read_clock()
        self.restart(self.targets.index(used), BORN_MS + 1)
        self.assertEqual((await calling).status, 200)
        self.assertLess(read_clock() - begun_s, 0.3)

    @asyncio_test
    async def test_non_idempotent_request_is_not_retried(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        self.script(silent())
        calling = asyncio.ensure_future(self.call())
        while not self.received():
            await asyncio.sleep(0.01)
        used = next(target for target in self.targets if target.received)
        await asyncio.sleep(1.1)
        self.restart(self.targets.index(used), BORN_MS + 1)
        self.assertEqual((await calling).status, 502)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_late_update_of_the_former_incarnation_is_ignored(self):
        self.restart(0, BORN_MS + 5)
        self.script(plain(), plain())
        await self.call()
        self.restart(0, BORN_MS, sequence=900)
        self.assertEqual(self.view.targets.record_of("t0").born_ms, BORN_MS + 5)
        self.assertEqual((await self.call(request_id=b"r2")).status, 200)
        self.assertNotIn("closed", [end for target in self.targets for end in target.ends])
