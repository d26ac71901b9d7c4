"""Tests of a router that sends requests to engines by the tokens that they need."""

import asyncio

from damaskwind.decisions.load.held_requests import SUM_TTL_S, target_digest
from damaskwind.decisions.load.token_sums import TokenAggregator, TokenSum, TokenSums
from damaskwind.decisions.routing.table import RouteTable
from damaskwind.model.traffic_configuration import EngineProfile, RouteKind, TrafficService
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import header
from damaskwind.standins.scripted_target import cut_stream, event, plain, silent, stream

PROFILE = EngineProfile(8, 10_000)
TARGETS = ("t0", "t1")
PARTS = b"shared:1000,own:100"
FITTING = {"x_prompt_parts": PARTS, "x_token_usage": b"1100,400"}
TOO_LARGE = {"x_prompt_parts": PARTS, "x_token_usage": b"9700,400"}
MAX_REFUSAL_S = 0.010


class EngineTestCase(ForwarderTestCase):
    """Two engines whose memory holds 10,000 tokens each."""

    async def start(self):
        await super().start()
        self.use_profile(PROFILE)

    def use_profile(self, profile, **changes):
        self.publish(route(has_prompt_parts=True, objective_s=1.0, **changes))
        services = (TrafficService("pool", engine=profile),)
        self.view.table = RouteTable(self.view.table.configuration._replace(services=services))

    def receive_sums(self, *tokens, age_s=0.0):
        sums = tuple(
            TokenSum(target_digest(name), held) for name, held in zip(TARGETS, tokens, strict=True)
        )
        for callback in self.view.on_token_sums:
            callback("replica", TokenSums(sums, 1, age_s))

    async def send(self, request_id=b"r1", **headers):
        """Make one call; return the ids of the targets that got it, and its answer."""
        for target in self.targets:
            target.received.clear()
        answer = await self.call(request_id=request_id, **(headers or FITTING))
        got = [f"t{index}" for index, target in enumerate(self.targets) if target.received]
        return got, answer

    def metrics(self):
        return self.forwarder.tallies.render()


class EngineMemoryTest(EngineTestCase):
    has_contention = True

    @asyncio_test
    async def test_request_that_never_fits_is_refused_at_once_without_retry_after(self):
        connection = await self.connect()
        await self.call(connection, **FITTING)
        for target in self.targets:
            target.received.clear()
        took_s = []
        for number in range(3):
            begun_s = read_clock()
            answer = await self.call(connection, request_id=b"r2%d" % number, **TOO_LARGE)
            took_s.append(read_clock() - begun_s)
        self.assertEqual((answer.status, header(answer.headers, b"retry-after")), (503, None))
        self.assertEqual(
            answer.body, b"The request needs 10100 tokens; an engine of its service holds 10000.\n"
        )
        self.assertEqual(self.received(), [])
        # The fastest of three: the machine that runs the tests may be busy.
        self.assertLess(min(took_s), MAX_REFUSAL_S)
        self.assertIn(b'engine_memory_total{decision="never fits"} 3.0', self.metrics())

    @asyncio_test
    async def test_full_engine_is_passed_over(self):
        (home,), _ = await self.send()
        other = next(name for name in TARGETS if name != home)
        full = {home: 9_990, other: 10}
        self.receive_sums(*(full[name] for name in TARGETS))
        self.assertEqual((await self.send(b"r2"))[0], [other])
        self.assertIn(b'engine_memory_total{decision="avoids full"} 1.0', self.metrics())

    @asyncio_test
    async def test_request_that_fits_nowhere_waits_until_memory_is_free(self):
        self.receive_sums(9_990, 9_990)
        waiting = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.15)
        self.assertFalse(waiting.done())
        self.assertEqual(self.received(), [])
        self.receive_sums(100, 100)
        self.assertEqual((await waiting)[1].status, 200)

    @asyncio_test
    async def test_request_that_fits_nowhere_after_its_probes_waits(self):
        # Guards against a refusal without a wait of what lost its room within the probes' time.
        self.receive_sums(100, 100)

        async def probe(call, placement):
            self.receive_sums(9_990, 9_990)
            return True

        self.forwarder.steps.probes.refresh = probe
        waiting = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.15)
        self.assertFalse(waiting.done())
        self.receive_sums(100, 100)
        self.assertEqual((await waiting)[1].status, 200)

    @asyncio_test
    async def test_request_that_waited_in_vain_is_refused_as_not_run(self):
        self.receive_sums(9_990, 9_990)
        got, answer = await self.send()
        self.assertEqual((got, answer.status), ([], 503))
        self.assertIsNotNone(header(answer.headers, b"retry-after"))

    @asyncio_test
    async def test_answer_that_has_begun_continues_though_no_engine_has_room(self):
        # Guards against a stream that is cut off since what is left of it would have to wait.
        self.use_profile(PROFILE, kind=RouteKind.STREAMING, is_resumable=True)

        async def cut_with_memory_full(writer, request):
            self.receive_sums(9_990, 9_990)
            await cut_stream(1, 2)(writer, request)

        self.share(cut_with_memory_full, stream(3, 4))
        got, answer = await self.send()
        self.assertEqual(answer.body, b"".join(event(number) for number in range(1, 5)))
        self.assertEqual(len(got), 2)

    @asyncio_test
    async def test_old_or_implausible_sums_are_not_used(self):
        # Guards against a router that waits on figures of a dead replica or of a faulty router.
        self.receive_sums(9_990, 9_990, age_s=SUM_TTL_S + 0.1)
        self.assertEqual((await self.send())[1].status, 200)
        self.receive_sums(10**9, 10**9)
        self.assertEqual((await self.send(b"r2"))[1].status, 200)

    @asyncio_test
    async def test_malformed_figures_count_as_the_mean_of_the_route(self):
        await self.send()
        for usage in (b"x,y", b"-5,1", None):
            with self.subTest(usage=usage):
                headers = {"x_prompt_parts": b"shared,own", "x_token_usage": usage}
                got, answer = await self.send(b"r2", **headers)
                self.assertEqual((len(got), answer.status), (1, 200))
        self.use_profile(EngineProfile(8, 1_000))
        _, answer = await self.send(b"r3", x_prompt_parts=b"shared,own")
        self.assertIn(b"needs 1500 tokens", answer.body)

    @asyncio_test
    async def test_hint_without_a_bound_does_not_exclude_a_request(self):
        # Guards against a final refusal by twice a hint, while the engines are empty.
        got, answer = await self.send(x_prompt_parts=PARTS, x_length_hint=b"5000")
        self.assertEqual((len(got), answer.status), (1, 200))
        prompt = b"shared:1000,own:9100"
        _, answer = await self.send(b"r2", x_prompt_parts=prompt, x_length_hint=b"5000")
        self.assertEqual((answer.status, header(answer.headers, b"retry-after")), (503, None))

    @asyncio_test
    async def test_profile_of_the_configuration_in_force_counts(self):
        self.assertEqual((await self.send(b"r1", **TOO_LARGE))[1].status, 503)
        self.use_profile(EngineProfile(8, 20_000))
        self.assertEqual((await self.send(b"r2", **TOO_LARGE))[1].status, 200)
        self.use_profile(None)
        # Without engine profiles no sums are asked for.
        self.assertIsNone(self.view.held_tokens("replica"))
        self.receive_sums(9_990, 9_990)
        self.assertEqual((await self.send(b"r3", **TOO_LARGE))[1].status, 200)

    @asyncio_test
    async def test_request_without_prompt_parts_is_counted_by_replicas(self):
        # Guards against memory that other routers can't see: such requests are not in the counts.
        self.script(silent())
        calling = asyncio.ensure_future(self.send(x_token_usage=b"1100,400"))
        await asyncio.sleep(0.1)
        requests = {item.target: item.held for item in self.view.held_counts("replica")}
        sums = TokenAggregator()
        self.assertEqual(sums.report("r", self.view.held_tokens("replica"), requests, 0.0), 0)
        self.assertEqual([item.unshared_tokens for item in sums.total(0.1).targets], [1_500])
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)

    @asyncio_test
    async def test_held_tokens_are_reported_until_the_request_ends_or_its_engine_restarts(self):
        self.script(silent())
        calling = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.1)
        (held,) = self.view.held_tokens("replica")
        self.assertEqual((held.unshared_tokens, held.prefill_tokens), (500, 1_100))
        self.assertEqual(self.forwarder.memory.held_tokens(), 1_500.0)
        for name in TARGETS:
            self.forwarder.memory.forget(name)
        self.assertEqual(self.view.held_tokens("replica"), ())
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)


class SwitchedOffTest(EngineTestCase):
    """Without contention, engine profiles and token headers change nothing."""

    @asyncio_test
    async def test_nothing_is_counted_refused_or_reported(self):
        self.script(plain(), plain())
        self.receive_sums(9_990, 9_990)
        self.assertEqual((await self.send(b"r1", **TOO_LARGE))[1].status, 200)
        self.assertIsNone(self.forwarder.memory)
        self.assertIsNone(self.view.held_tokens("replica"))
        self.assertNotIn(b"engine_memory", self.metrics())
