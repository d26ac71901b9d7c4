"""Tests of slow callers, announcements of targets, queues and the drain."""

import asyncio
import json

import treq
from openai import APIConnectionError, APIStatusError, RateLimitError
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.trial.unittest import TestCase

from damaskwind.router.tests.bench import (
    ACCOUNT_KEY,
    ANNOUNCE_KEY,
    OPERATOR_KEY,
    TestBench,
    make_configuration,
)
from damaskwind.runtime.bridge import asyncio_test, to_future

AUTHORIZATION = f"authorization: Bearer {ACCOUNT_KEY}"
MESSAGES = [{"role": "user", "content": "which laptops are due?"}]


class RawCaller(Protocol):
    """A caller that writes raw bytes given by the test."""

    def __init__(self):
        self.received = b""
        self.lost = Deferred()

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason):  # noqa: N802
        self.lost.callback(None)


def chat_bytes(stream=False, max_tokens=40):
    """Return a whole chat request as bytes."""
    fields = {"model": "damask", "messages": MESSAGES, "max_tokens": max_tokens, "stream": stream}
    body = json.dumps(fields).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{AUTHORIZATION}"
    return f"{head}\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body


class HttpFrontendTest(TestCase):
    timeout = 90

    async def bench(self, **options):
        bench = TestBench()
        self.addCleanup(lambda: bench.stopped())
        return await bench.start(**options)

    async def raw_caller(self, bench):
        address = bench.router.http_address
        endpoint = TCP4ClientEndpoint(reactor, address.host, address.port)
        caller = await to_future(connectProtocol(endpoint, RawCaller()))
        self.addCleanup(caller.transport.abortConnection)
        return caller

    async def ask(self, bench, method, path, key=OPERATOR_KEY, **options):
        headers = {"authorization": f"Bearer {key}"}
        response = await to_future(
            treq.request(method, bench.url + path, headers=headers, persistent=False, **options)
        )
        return response.code, await to_future(response.content())

    async def create(self, bench, **fields):
        return await bench.client.chat.completions.create(
            model="damask", messages=MESSAGES, **fields
        )

    @asyncio_test
    async def test_slow_callers_get_408(self):
        bench = await self.bench(header_timeout_s=0.1, body_timeout_s=0.1)
        for start in (b"POST /v1/chat/completions HTTP/1.1\r\nhost:", chat_bytes()[:-5]):
            caller = await self.raw_caller(bench)
            caller.transport.write(start)
            await to_future(caller.lost)
            self.assertTrue(caller.received.startswith(b"HTTP/1.1 408 "), caller.received)
            self.assertIn(b"x-verdict: not-run", caller.received.lower())
        self.assertEqual(bench.engines[0].oracle.events["run"], 0)

    @asyncio_test
    async def test_upload_that_stalls_is_cut_and_may_have_run(self):
        bench = await self.bench(services=1, body_timeout_s=0.3)
        caller = await self.raw_caller(bench)
        head = f"POST /services/edge-api/migrate HTTP/1.1\r\nhost: x\r\n{AUTHORIZATION}\r\n"
        caller.transport.write(f"{head}content-length: 200000\r\n\r\n".encode() + b"m" * 90_000)
        await bench.until(lambda: bench.router.gateway.in_progress == 1)
        (record,) = bench.router.explain._records.values()
        await to_future(caller.lost)
        await bench.until(lambda: bench.router.gateway.in_progress == 0)
        self.assertFalse(bench.router.placing.in_flight)
        self.assertEqual(record.ended["verdict"], "may-have-run")
        # An answer would mean that the call's own timeout ended it, much later.
        self.assertEqual(caller.received, b"")
        self.assertEqual(bench.services[0].oracle.events["run"], 0)

    @asyncio_test
    async def test_upload_that_makes_progress_is_not_cut_by_the_stall_limit(self):
        bench = await self.bench(services=1, body_timeout_s=1.0)
        caller = await self.raw_caller(bench)
        head = f"POST /services/edge-api/migrate HTTP/1.1\r\nhost: x\r\n{AUTHORIZATION}\r\n"
        caller.transport.write(f"{head}content-length: 75000\r\n\r\n".encode() + b"m" * 63_000)
        for _ in range(12):
            await asyncio.sleep(0.1)
            caller.transport.write(b"m" * 1000)
        await bench.until(lambda: b"HTTP/1.1 200" in caller.received)
        self.assertEqual(bench.services[0].oracle.events["run"], 1)

    @asyncio_test
    async def test_caller_that_does_not_read_is_dropped(self):
        fields = {"token_interval_s": 0.0001, "default_answer_tokens": 100_000}
        bench = await self.bench(body_timeout_s=0.3, engine_fields=fields)
        caller = await self.raw_caller(bench)
        caller.transport.pauseProducing()
        caller.transport.write(chat_bytes(stream=True, max_tokens=99_999))
        await bench.until(lambda: bench.router.gateway.in_progress == 1)
        # The socket buffers towards the caller have to fill up first, by one token in each
        # iteration of the event loop. 99,999 tokens take longer than this wait.
        await bench.until(lambda: bench.router.gateway.in_progress == 0, 45)
        await bench.until(lambda: bench.engines[0].is_idle)

    @asyncio_test
    async def test_announcements_are_checked(self):
        bench = await self.bench()
        path = "/targets/v1/announcements"
        self.assertEqual((await self.ask(bench, "POST", path, json={}))[0], 401)
        status, body = await self.ask(bench, "POST", path, ANNOUNCE_KEY, json={"target": 1})
        self.assertEqual(status, 400)
        self.assertIn(b"did you mean 'target_id'", body)

    @asyncio_test
    async def test_leaving_target_gets_no_new_work_and_finishes_its_own(self):
        bench = await self.bench(engines=2, engine_fields={"token_interval_s": 0.01})
        running = [asyncio.ensure_future(self.create(bench, max_tokens=50)) for _ in range(4)]
        await bench.until(lambda: sum(bench.router.placing.in_flight.values()) == 4)
        status, _ = await self.ask(bench, "POST", "/operator/v1/targets/engine-1/drain")
        self.assertEqual(status, 200)
        taken = bench.engines[0].oracle.events["run"]
        for _ in range(6):
            await self.create(bench, max_tokens=1)
        self.assertEqual(bench.engines[0].oracle.events["run"], taken)
        for answer in await asyncio.gather(*running):
            self.assertEqual(answer.usage.completion_tokens, 50)

    @asyncio_test
    async def test_account_limit_refuses_chats_but_not_plain_services(self):
        configuration = make_configuration(max_concurrent_requests=2)
        fields = {"token_interval_s": 0.05}
        bench = await self.bench(services=1, configuration=configuration, engine_fields=fields)
        running = [asyncio.ensure_future(self.create(bench, max_tokens=400)) for _ in range(2)]
        await bench.until(lambda: sum(bench.router.placing.in_flight.values()) == 2)
        with self.assertRaises(RateLimitError) as caught:
            await self.create(bench, max_tokens=1)
        headers = caught.exception.response.headers
        self.assertEqual(headers["x-verdict"], "not-run")
        self.assertGreaterEqual(int(headers["retry-after"]), 1)
        status, _ = await self.ask(bench, "GET", "/services/edge-api/status", ACCOUNT_KEY)
        self.assertEqual(status, 200)
        for task in running:
            task.cancel()
        await bench.until(lambda: not bench.router.placing.in_flight)
        self.assertEqual((await self.create(bench, max_tokens=1)).usage.completion_tokens, 1)

    @asyncio_test
    async def test_full_engine_queues_then_refuses_at_once(self):
        fields = {"capacity_tokens": 2000, "token_interval_s": 0.01}
        configuration = make_configuration(queue_timeout_s=0.3)
        bench = await self.bench(engine_fields=fields, configuration=configuration)
        running = [asyncio.ensure_future(self.create(bench, max_tokens=1200)) for _ in range(2)]
        await bench.until(lambda: bench.engines[0].batch.load().load_tokens > 2000)
        started_s = reactor.seconds()
        with self.assertRaises(APIStatusError) as caught:
            await self.create(bench, max_tokens=1200)
        headers = caught.exception.response.headers
        self.assertEqual(caught.exception.status_code, 503)
        self.assertEqual(headers["x-verdict"], "not-run")
        self.assertGreaterEqual(int(headers["retry-after"]), 1)
        self.assertLess(reactor.seconds() - started_s, 5)
        for task in running:
            task.cancel()

    @asyncio_test
    async def test_queued_request_runs_when_capacity_is_free(self):
        fields = {"capacity_tokens": 300, "token_interval_s": 0.002}
        configuration = make_configuration(queue_timeout_s=20.0)
        bench = await self.bench(engine_fields=fields, configuration=configuration)
        answers = await asyncio.gather(*(self.create(bench, max_tokens=30) for _ in range(20)))
        self.assertEqual({a.usage.completion_tokens for a in answers}, {30})

    @asyncio_test
    async def test_drain_cuts_no_request_and_ends_keep_alive(self):
        bench = await self.bench(
            engine_fields={"token_interval_s": 0.02, "max_running_requests": 300}, drain_delay_s=1.0
        )
        idle = await self.raw_caller(bench)
        idle.transport.write(b"GET /livez HTTP/1.1\r\nhost: x\r\n\r\n")
        await bench.until(lambda: b"ok" in idle.received)
        streams = [await self.raw_caller(bench) for _ in range(200)]
        for stream in streams:
            stream.transport.write(chat_bytes(stream=True))
        await bench.until(lambda: all(b"content" in stream.received for stream in streams))
        stopping = asyncio.ensure_future(bench.router.stop())
        self.assertEqual((await self.ask(bench, "GET", "/readyz"))[0], 503)
        last = await self.raw_caller(bench)
        last.transport.write(chat_bytes())
        await bench.until(lambda: b"chat.completion" in last.received)
        self.assertIn(b"connection: close", last.received.lower())
        await to_future(last.lost)
        await to_future(idle.lost)
        for stream in streams:
            await to_future(stream.lost)
            self.assertEqual(stream.received.count(b'"content"'), 40)
            self.assertIn(b"data: [DONE]", stream.received)
        await stopping

    @asyncio_test
    async def test_drain_limit_cuts_what_is_left(self):
        bench = await self.bench(drain_limit_s=0.2, engine_fields={"token_interval_s": 0.05})
        stream = await self.create(bench, stream=True, max_tokens=5000)
        await stream.__anext__()
        await bench.router.stop()
        with self.assertRaises(APIConnectionError):
            [chunk async for chunk in stream]

    @asyncio_test
    async def test_operators_see_targets_router_and_metrics(self):
        bench = await self.bench(services=1)
        await self.create(bench, max_tokens=2)
        _, body = await self.ask(bench, "GET", "/operator/v1/targets")
        self.assertEqual(len(json.loads(body)["targets"]), 2)
        _, body = await self.ask(bench, "GET", "/operator/v1/router")
        self.assertEqual(json.loads(body)["revision_in_force"], 1)
        _, body = await self.ask(bench, "GET", "/metrics")
        self.assertRegex(body, rb'damaskwind_requests_total{.*verdict="ran"} 1.0')
