"""Tests of chats through a router and stand-in engines, with the openai client."""

import json

import treq
from openai import APIError, APIStatusError, NotFoundError
from twisted.trial.unittest import TestCase

from damaskwind.model.prefix import Message, ModelName
from damaskwind.router.tests.bench import (
    ACCOUNT_KEY,
    OPERATOR_KEY,
    OTHER_KEY,
    TestBench,
    make_configuration,
)
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.standins.answers import expected_answer
from damaskwind.standins.faults import Fault

NAME = ModelName("damask", "1")
MESSAGES = [{"role": "user", "content": "which laptops are due?"}]
EXPECTED = expected_answer(1, NAME, [Message("user", MESSAGES[0]["content"])], 16)


async def read_stream(client, **fields):
    """Return the text of a streamed chat."""
    stream = await client.chat.completions.create(
        model="damask", messages=MESSAGES, stream=True, **fields
    )
    chunks = [chunk async for chunk in stream]
    usage = [chunk.usage for chunk in chunks if chunk.usage]
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    return text, usage


class ChatsTest(TestCase):
    timeout = 25

    async def bench(self, **options):
        bench = TestBench()
        self.addCleanup(lambda: bench.stopped())
        return await bench.start(**options)

    async def raw(self, bench, path, method="POST", key=ACCOUNT_KEY, **options):
        headers = {"authorization": f"Bearer {key}", **options.pop("headers", {})}
        response = await to_future(
            treq.request(method, bench.url + path, headers=headers, persistent=False, **options)
        )
        return response, await to_future(response.content())

    def header(self, response, name):
        return response.headers.getRawHeaders(name)[0]

    @asyncio_test
    async def test_streamed_and_whole(self):
        bench = await self.bench()
        self.assertEqual(await read_stream(bench.client), (EXPECTED, []))
        text, usage = await read_stream(bench.client, stream_options={"include_usage": True})
        self.assertEqual((text, len(usage)), (EXPECTED, 1))
        whole = await bench.client.chat.completions.create(model="damask", messages=MESSAGES)
        self.assertEqual(whole.choices[0].message.content, EXPECTED)

    @asyncio_test
    async def test_forbidden_and_unknown_look_the_same(self):
        bench = await self.bench()
        details = set()
        for model in ("damask@2", "damask@9", "nothing", "damask@1+secret", "damask+none"):
            with self.assertRaises(NotFoundError) as caught:
                await bench.client.chat.completions.create(model=model, messages=MESSAGES)
            error = caught.exception.body
            details.add((error["code"], error["type"], error["message"].replace(model, "")))
        self.assertEqual(len(details), 1)
        models = await bench.client.models.list()
        self.assertEqual([m.id for m in models.data], ["damask", "damask@1", "damask@1+ledger"])

    @asyncio_test
    async def test_refusals_have_the_openai_shape_and_a_verdict(self):
        bench = await self.bench(configuration=make_configuration(body_limit_bytes=2000))
        chat = "/v1/chat/completions"
        good = {"model": "damask", "messages": MESSAGES}
        cases = [
            (401, "invalid_api_key", {"key": "wrong", "json": good}),
            (413, "request_too_large", {"data": b"x" * 5000}),
            (400, "bad_request", {"data": b"{"}),
            (400, "bad_request", {"json": {"model": "damask"}}),
            (400, "bad_request", {"json": {**good, "messages": [1]}}),
            (400, "bad_request", {"json": {**good, "max_tokens": True}}),
            (400, "bad_request", {"json": good, "headers": {"x-timeout-s": "nan"}}),
        ]
        for status, code, options in cases:
            response, body = await self.raw(bench, chat, **options)
            self.assertEqual((response.code, code in body.decode()), (status, True), body)
            self.assertEqual(self.header(response, "x-verdict"), "not-run")
            self.assertTrue(self.header(response, "x-request-id").startswith("router-1."))
        self.assertEqual(bench.engines[0].oracle.events["run"], 0)

    @asyncio_test
    async def test_refused_request_goes_elsewhere_and_is_explained(self):
        bench = await self.bench(engines=2)
        for engine in bench.engines:
            engine.faults.arm(Fault.REFUSE, 1)
        response, body = await self.raw(
            bench, "/v1/chat/completions", json={"model": "damask", "messages": MESSAGES}
        )
        self.assertEqual(response.code, 502)
        self.assertEqual(self.header(response, "x-verdict"), "not-run")
        self.assertEqual(sum(e.oracle.events["run"] for e in bench.engines), 0)
        request_id = self.header(response, "x-request-id")
        path = f"/operator/v1/requests/{request_id}"
        response, body = await self.raw(bench, path, "GET", key=OPERATOR_KEY)
        record = json.loads(body)
        attempts = [attempt["target_id"] for attempt in record["attempts"]]
        self.assertEqual(sorted(attempts), ["engine-1", "engine-2"])
        self.assertEqual(record["end"]["verdict"], "not-run")
        response, _ = await self.raw(bench, path, "GET", key=ACCOUNT_KEY)
        self.assertEqual(response.code, 401)

    @asyncio_test
    async def test_chat_placed_at_its_home_is_explained_with_its_pool(self):
        bench = await self.bench(engines=6)
        fields = {"model": "damask", "messages": MESSAGES, "max_tokens": 2}
        response, _ = await self.raw(bench, "/v1/chat/completions", json=fields)
        path = f"/operator/v1/requests/{self.header(response, 'x-request-id')}"
        _, body = await self.raw(bench, path, "GET", key=OPERATOR_KEY)
        (choice,) = json.loads(body)["choices"]
        self.assertEqual((choice["reason"], choice["considered"]), ("home", 1))
        self.assertGreater(choice["candidates"][0]["bound_tokens"], 0)
        pool = choice["pool"]
        self.assertEqual(pool["target_count"], 6)
        self.assertGreaterEqual(pool["mean_load_tokens"], 0)
        ranked = [target["target_id"] for target in pool["first_in_rank"]]
        self.assertEqual((ranked[0], len(set(ranked))), (choice["target_id"], 4))
        for target in pool["first_in_rank"]:
            self.assertGreaterEqual(target["estimated_load_tokens"], 0)

    @asyncio_test
    async def test_reset_after_read_is_never_retried(self):
        bench = await self.bench(engines=2)
        for engine in bench.engines:
            engine.faults.arm(Fault.RESET_AFTER_READ, 1)
        # The client must not retry it either, as it does by default on other 5xx.
        client = bench.client.with_options(max_retries=2)
        with self.assertRaises(APIStatusError) as caught:
            await client.chat.completions.create(model="damask", messages=MESSAGES)
        self.assertEqual(caught.exception.response.headers["x-verdict"], "may-have-run")
        self.assertEqual(sum(e.oracle.events["run"] for e in bench.engines), 1)

    @asyncio_test
    async def test_dead_engine_is_certainly_not_run(self):
        bench = await self.bench(engines=2)
        await bench.engines[0].stop()
        await bench.engines[1].stop()
        with self.assertRaises(APIStatusError) as caught:
            await bench.client.chat.completions.create(model="damask", messages=MESSAGES)
        self.assertEqual(caught.exception.response.headers["x-verdict"], "not-run")

    @asyncio_test
    async def test_cut_stream_is_resumed_and_complete(self):
        bench = await self.bench()
        bench.engines[0].faults.arm(Fault.CUT_ANSWER, 1)
        self.assertEqual((await read_stream(bench.client))[0], EXPECTED)
        self.assertEqual(bench.engines[0].oracle.events["resumed"], 1)
        self.assertEqual(bench.engines[0].oracle.events["run"], 1)

    @asyncio_test
    async def test_stream_that_stays_cut_ends_with_an_error(self):
        for fault in (Fault.CUT_ANSWER, Fault.NO_END_MARKER):
            bench = await self.bench()
            bench.engines[0].faults.arm(fault, 9)
            with self.assertRaises(APIError) as caught:
                await read_stream(bench.client)
            self.assertEqual(caught.exception.code, "answer_cut")

    @asyncio_test
    async def test_answer_of_another_request_is_never_delivered(self):
        bench = await self.bench()
        for stream in (False, True):
            bench.engines[0].faults.arm(Fault.OTHERS_ID, 1)
            with self.assertRaises(APIStatusError) as caught:
                await bench.client.chat.completions.create(
                    model="damask", messages=MESSAGES, stream=stream
                )
            self.assertEqual(caught.exception.response.headers["x-verdict"], "may-have-run")
            self.assertEqual((await read_stream(bench.client))[0], EXPECTED)

    @asyncio_test
    async def test_cut_whole_answer_is_refused(self):
        bench = await self.bench()
        for fault in (Fault.CUT_ANSWER, Fault.WRONG_LENGTH):
            bench.engines[0].faults.arm(fault, 1)
            with self.assertRaises(APIStatusError) as caught:
                await bench.client.chat.completions.create(model="damask", messages=MESSAGES)
            self.assertEqual(caught.exception.code, "answer_cut")

    @asyncio_test
    async def test_late_extra_answer_reaches_nobody(self):
        bench = await self.bench()
        served = 0
        for number in range(18):
            if number % 3 == 0:
                bench.engines[0].faults.arm(Fault.LATE_EXTRA, 1)
            try:
                whole = await bench.client.chat.completions.create(
                    model="damask", messages=MESSAGES
                )
            except APIStatusError as error:
                # The late answer arrived instead of this request's own answer.
                self.assertEqual(error.response.headers["x-verdict"], "may-have-run")
                continue
            served += 1
            self.assertEqual(whole.choices[0].message.content, EXPECTED)
        self.assertGreater(served, 6)

    @asyncio_test
    async def test_disconnected_caller_cancels_at_the_engine(self):
        bench = await self.bench(engine_fields={"token_interval_s": 0.02})
        stream = await bench.client.chat.completions.create(
            model="damask", messages=MESSAGES, stream=True, max_tokens=5000
        )
        await stream.__anext__()
        await stream.response.aclose()
        await bench.until(lambda: bench.engines[0].oracle.events["cancelled"] == 1)
        await bench.until(lambda: bench.router.gateway.in_progress == 0)

    @asyncio_test
    async def test_account_without_grants_sees_no_model(self):
        bench = await self.bench()
        response, body = await self.raw(bench, "/v1/models", "GET", key=OTHER_KEY)
        self.assertEqual((response.code, b'"data":[]' in body), (200, True))
