"""Tests of the speeds that targets report, from the header to the decisions."""

from damaskwind.decisions.load.held_requests import TargetLoad
from damaskwind.decisions.load.work_speed import DISTRUST_LATE_ANSWERS
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import load_field, plain
from damaskwind.wire.news import News

BORN_MS = 1_790_000_000_000


class TargetSpeedsTest(ForwarderTestCase):
    def candidates(self):
        states = self.forwarder.target_states
        records = states.serving_or_draining("pool").values()
        return {item.target_id: item for item in states.candidates(records, read_clock(), True)}

    def work_time(self, target_id):
        return self.forwarder.target_states.work_time(target_id, read_clock())

    def report(self, target_id, percent):
        states = self.forwarder.target_states
        states.record_speed(states.view.targets.record_of(target_id), TargetLoad(1, 0, 8, percent))

    def restart(self, target_id):
        stored = self.view.targets.record_of(target_id)
        record = stored._replace(born_ms=BORN_MS, sequence=0)
        self.view.handle_news("replica", News("e", 1, 1, True, (), 1, (record,), ()))
        return stored

    @asyncio_test
    async def test_report_with_four_figures_counts_as_load_and_speed(self):
        self.script(plain(fields=(load_field(self.targets[0].names, 5, 2, 8, 250),)))
        await self.call()
        used = next(f"t{n}" for n in (0, 1) if self.targets[n].received)
        # One of the seven was this router's own request, which has ended.
        self.assertEqual(self.candidates()[used].load, 6)
        self.assertGreater(self.work_time(used), 2.0)

    @asyncio_test
    async def test_report_without_the_fourth_figure_changes_no_decision(self):
        self.script(plain(fields=(load_field(self.targets[0].names, 5, 2, 8),)))
        await self.call()
        self.assertEqual({item.start_s for item in self.candidates().values()}, {None})
        self.assertEqual({self.work_time("t0"), self.work_time("t1")}, {1.0})

    @asyncio_test
    async def test_figure_of_an_earlier_incarnation_never_counts(self):
        self.report("t0", 250)
        former = self.restart("t0")
        self.assertEqual(self.work_time("t0"), 1.0)
        self.forwarder.target_states.record_speed(former, TargetLoad(1, 0, 8, 250))
        self.assertEqual(self.work_time("t0"), 1.0)

    @asyncio_test
    async def test_figure_in_a_misdirected_answer_never_counts(self):
        self.script(plain(421, b"", (load_field(self.targets[0].names, 5, 2, 8, 250),)))
        await self.call()
        self.assertEqual({self.work_time("t0"), self.work_time("t1")}, {1.0})
        self.assertEqual({item.start_s for item in self.candidates().values()}, {None})

    @asyncio_test
    async def test_late_answer_of_a_target_known_to_be_slow_does_not_eject_it(self):
        states, now_s = self.forwarder.target_states, read_clock()
        self.report("t0", 250)
        for _ in range(20):
            states.record_answer_started("pool", "t1", 0.2, now_s)
        for _ in range(4):
            states.record_answer_started("pool", "t0", 1.5, now_s)
        self.assertFalse(self.candidates()["t0"].is_slow)

    @asyncio_test
    async def test_claim_to_be_fast_is_ignored_while_answers_are_late(self):
        speeds = self.forwarder.target_states.target_speeds
        record = self.view.targets.record_of("t0")
        self.report("t0", 25)
        self.assertLess(self.work_time("t0"), 0.5)
        for _ in range(DISTRUST_LATE_ANSWERS):
            speeds.record_started(record, 0.4, 2.0, read_clock())
        self.report("t0", 25)
        self.assertEqual(self.work_time("t0"), 1.0)

    @asyncio_test
    async def test_slow_home_keeps_its_key_only_while_reading_elsewhere_costs_more(self):
        self.publish(route(RouteKind.STREAMING, has_prompt_parts=True))
        self.script(*[plain() for _ in range(4)])
        parts = b"shared:%d,own:1"
        await self.call(x_prompt_parts=parts % 100)
        home = next(n for n in (0, 1) if self.targets[n].received)
        self.report(f"t{1 - home}", 100)
        self.report(f"t{home}", 1000)
        await self.call(request_id=b"r2", x_prompt_parts=parts % 100_000)
        self.assertEqual(len(self.targets[home].received), 2)
        await self.call(request_id=b"r3", x_prompt_parts=parts % 100)
        self.assertEqual(len(self.targets[1 - home].received), 1)
