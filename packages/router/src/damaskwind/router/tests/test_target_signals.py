"""Tests that targets which ask for a pause or announce leaving get no new requests."""

import asyncio
import json

import treq
from twisted.trial.unittest import TestCase

from damaskwind.decisions.target_signals.answer_signals import AnswerSignals
from damaskwind.router.tests.bench import ACCOUNT_KEY, OPERATOR_KEY, TestBench
from damaskwind.runtime.bridge import asyncio_test, to_future

CHAT_PATH = "/v1/chat/completions"
CALL_PATH = "/services/edge-api/status"
REST_S = 1.5


class TargetSignalsTest(TestCase):
    timeout = 25

    async def bench(self, **options):
        bench = TestBench()
        self.addCleanup(lambda: bench.stopped())
        return await bench.start(**options)

    async def ask(self, bench, path, method="GET", key=ACCOUNT_KEY, **options):
        headers = {"authorization": f"Bearer {key}"}
        response = await to_future(
            treq.request(method, bench.url + path, headers=headers, persistent=False, **options)
        )
        return response, await to_future(response.content())

    async def chat(self, bench, text="which laptops are due?"):
        messages = [{"role": "user", "content": text}]
        fields = {"model": "damask", "messages": messages, "max_tokens": 2}
        return (await self.ask(bench, CHAT_PATH, "POST", json=fields))[0]

    async def call(self, bench):
        return (await self.ask(bench, CALL_PATH))[0]

    async def check_one_pauses(self, bench, targets, ask):
        """Let one target ask for a pause; others serve all requests until it ends."""
        pausing = targets[0]
        pausing.requested_pause_s = REST_S
        statuses = [(await ask(bench)).code for _ in range(30)]
        self.assertEqual(set(statuses), {200})
        self.assertEqual(pausing.oracle.events["refused"], 1)
        pausing.requested_pause_s = 0.0
        await asyncio.sleep(REST_S)
        for _ in range(30):
            await ask(bench)
        self.assertGreater(pausing.oracle.events["run"], 0)

    async def check_all_pause(self, bench, targets, ask):
        """Let all targets ask for a pause; callers are refused immediately with Retry-After."""
        for target in targets:
            target.requested_pause_s = REST_S
        await ask(bench)
        refused = sum(target.oracle.events["refused"] for target in targets)
        started_s = bench.router.directory._clock.seconds()
        for _ in range(10):
            response = await ask(bench)
            self.assertEqual(response.code, 503)
            retry_after_s = float(response.headers.getRawHeaders("retry-after")[0])
            self.assertGreaterEqual(retry_after_s, 1.0)
        self.assertLess(bench.router.directory._clock.seconds() - started_s, 1.0)
        self.assertEqual(sum(target.oracle.events["refused"] for target in targets), refused)

    async def check_one_leaves(self, bench, targets, ask):
        """Let one target announce leaving in its answers; it gets no requests after that."""
        leaving = targets[0]
        leaving.signals_leaving = True
        for _ in range(30):
            self.assertEqual((await ask(bench)).code, 200)
        self.assertEqual(leaving.oracle.events["run"], 1)

    def chats(self):
        """Return a function that sends a chat with a different home at each call."""
        chat_numbers = iter(range(1000))
        return lambda bench: self.chat(bench, f"chat {next(chat_numbers)}")

    @asyncio_test
    async def test_paused_engine_gets_no_chats(self):
        bench = await self.bench(engines=3)
        await self.check_one_pauses(bench, bench.engines, self.chats())

    @asyncio_test
    async def test_paused_service_gets_no_calls(self):
        bench = await self.bench(engines=0, services=3)
        await self.check_one_pauses(bench, bench.services, self.call)

    @asyncio_test
    async def test_chats_are_refused_until_the_first_pause_of_an_engine_ends(self):
        bench = await self.bench(engines=2)
        await self.check_all_pause(bench, bench.engines, self.chat)

    @asyncio_test
    async def test_calls_are_refused_until_the_first_pause_of_a_service_ends(self):
        bench = await self.bench(engines=0, services=2)
        await self.check_all_pause(bench, bench.services, self.call)

    @asyncio_test
    async def test_engine_that_announces_leaving_gets_no_chats(self):
        bench = await self.bench(engines=2)
        await self.check_one_leaves(bench, bench.engines, self.chats())

    @asyncio_test
    async def test_service_that_announces_leaving_gets_no_calls(self):
        bench = await self.bench(engines=0, services=2)
        await self.check_one_leaves(bench, bench.services, self.call)

    @asyncio_test
    async def test_operators_see_the_signal_and_a_new_incarnation_has_none(self):
        bench = await self.bench(engines=1)
        bench.engines[0].requested_pause_s = 30.0
        await self.chat(bench)
        self.assertEqual(await self.signals(bench), ["rest"])
        bench.engines[0].requested_pause_s = 0.0
        await bench.engines[0].stop()
        await bench.engines[0].start_next_incarnation()
        while await self.signals(bench) != ["nothing"]:
            await asyncio.sleep(0.05)
        self.assertEqual((await self.chat(bench)).code, 200)

    async def signals(self, bench):
        _, body = await self.ask(bench, "/operator/v1/targets", key=OPERATOR_KEY)
        return [target["wish"] for target in json.loads(body)["targets"]]

    @asyncio_test
    async def test_queued_requests_are_refused_when_all_targets_pause(self):
        bench = await self.bench(engines=1)
        placing = bench.router.placing
        full_targets = placing._full_targets
        placing._full_targets = lambda work: frozenset(("engine-1",))
        waiting = asyncio.ensure_future(self.chat(bench))
        await bench.until(lambda: len(bench.router.queues))
        placing._full_targets = full_targets
        view = bench.router.directory.find("engine-1")
        bench.router.signals.observe(view, AnswerSignals(REST_S))
        started_s = bench.router.directory._clock.seconds()
        response = await waiting
        self.assertEqual(response.code, 503)
        self.assertLess(bench.router.directory._clock.seconds() - started_s, 0.5)
