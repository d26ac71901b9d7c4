"""Tests of the speeds that targets report, from the header to the decisions."""

from functools import partial
from random import Random

from damaskwind.decisions.load.held_requests import TargetLoad
from damaskwind.decisions.load.probe_budget import ProbeBudget
from damaskwind.decisions.load.work_speed import DISTRUST_LATE_ANSWERS
from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.decisions.placement.affinity import AffinityPolicy, choose_target
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import load_field, plain, silent
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


class SpeedProbesTest(ForwarderTestCase):
    """Requests whose home is expected to start late; both targets answer health checks."""

    async def start(self):
        await super().start()
        self.publish(route(RouteKind.STREAMING, has_prompt_parts=True, objective_s=0.1))
        self.probes = self.forwarder.steps.probes
        for _ in range(200):
            self.probes.budget.count_send()
        states = self.forwarder.target_states
        for target_id in ("t0", "t1"):
            record = states.view.targets.record_of(target_id)
            states.record_speed(record, TargetLoad(1, 0, 8, 100))
        self.answers = {b"GET": self.health(100, 100), b"POST": plain()}
        for number, target in enumerate(self.targets):
            target._default = partial(self.answer, number)
            target.health_path = None

    def health(self, *percents):
        names = self.targets[0].names
        return [
            plain(fields=(names.instance_id + b": t%d" % n, load_field(names, 1, 0, 8, percent)))
            for n, percent in enumerate(percents)
        ]

    async def answer(self, number, writer, request):
        step = self.answers[request.method]
        await (step if callable(step) else step[number])(writer, request)

    def methods(self):
        return sorted(request.method for request in self.received())

    async def send(self):
        answer = await self.call(x_prompt_parts=b"shared:100,own:1")
        self.assertEqual(answer.status, 200)
        posts = [request for request in self.received() if request.method == b"POST"]
        self.assertEqual(len(posts), 1)
        return int(posts[0].headers[b"x-expect-target"][1:])

    @asyncio_test
    async def test_request_avoids_the_target_that_a_probe_finds_slow(self):
        placed = self.forwarder.target_states.candidates(
            self.forwarder.target_states.serving("pool"), read_clock(), True
        )
        home = int(choose_target(placed, b"shared", "domain", AffinityPolicy(), Random(1))[0][0][1])
        self.answers[b"GET"] = self.health(*(1000 if n == home else 100 for n in (0, 1)))
        self.assertEqual(await self.send(), 1 - home)
        self.assertEqual(self.methods(), [b"GET", b"GET", b"POST"])
        self.assertEqual(self.received()[0].target, b"/health")

    @asyncio_test
    async def test_hanging_probe_costs_no_request_and_little_time(self):
        self.answers[b"GET"] = silent()
        begun_s = read_clock()
        await self.send()
        self.assertLess(read_clock() - begun_s, 0.2)
        counts = self.forwarder.tallies.totals("speed_probes")
        self.assertEqual(counts, {(("answered", "false"),): 2})

    @asyncio_test
    async def test_malformed_health_path_costs_no_request(self):
        """A path that can't be sent as it is configured must not end the request in an error."""
        for path in ("", "health check", "/\u2713"):
            self.probes.budget = ProbeBudget()
            for _ in range(200):
                self.probes.budget.count_send()
            self.view.health_path = lambda service, path=path: path
            for target in self.targets:
                target.received.clear()
            await self.send()
            self.assertEqual(self.methods(), [b"GET", b"GET", b"POST"])

    @asyncio_test
    async def test_answer_of_another_target_or_of_one_that_left_does_not_count(self):
        self.answers[b"GET"] = list(reversed(self.health(1000, 1000)))
        await self.send()
        self.assertEqual({self.work_time("t0"), self.work_time("t1")}, {1.0})
        record = self.view.targets.record_of("t0")
        self.admit("t0", record.address, TargetPhase.LEAVING, 101)
        states = self.forwarder.target_states
        self.assertFalse(states.record_probe(record, TargetLoad(1, 0, 8, 1000)))

    @asyncio_test
    async def test_spent_budget_sends_no_probe(self):
        self.probes.budget = ProbeBudget()
        await self.send()
        self.assertEqual(self.methods(), [b"POST"])

    def work_time(self, target_id):
        return self.forwarder.target_states.work_time(target_id, read_clock())
