"""Tests of calls to plain services through a router."""

import asyncio
import json

import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from damaskwind.model.configuration import Service, ServiceRoute
from damaskwind.router.service_path import find_route
from damaskwind.router.tests.bench import (
    ACCOUNT_KEY,
    OTHER_KEY,
    TestBench,
    make_configuration,
)
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.standins.faults import Fault
from damaskwind.standins.service import expected_service_answer


@implementer(IBodyProducer)
class SlowBody:
    """A body whose pieces the test writes one by one."""

    def __init__(self):
        self.length = UNKNOWN_LENGTH
        self.started = Deferred()

    def startProducing(self, consumer):  # noqa: N802
        self.consumer = consumer
        self.done = Deferred()
        self.started.callback(None)
        return self.done

    def stopProducing(self):  # noqa: N802
        pass

    pauseProducing = resumeProducing = stopProducing  # noqa: N815


class ServicesTest(TestCase):
    timeout = 25

    async def bench(self, **options):
        bench = TestBench()
        self.addCleanup(lambda: bench.stopped())
        return await bench.start(engines=0, **{"services": 1, **options})

    async def call(self, bench, method, path, key=ACCOUNT_KEY, **options):
        headers = {"authorization": f"Bearer {key}", **options.pop("headers", {})}
        url = f"{bench.url}/services/edge-api{path}"
        response = await to_future(
            treq.request(method, url, headers=headers, persistent=False, **options)
        )
        return response, await to_future(response.content())

    def header(self, response, name):
        return response.headers.getRawHeaders(name, [None])[0]

    @asyncio_test
    async def test_every_method_and_path_is_forwarded_unchanged(self):
        bench = await self.bench()
        for method in ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"):
            response, body = await self.call(bench, method, "/a%20b//c?x=1&y=%2F", data=b"in")
            self.assertEqual(response.code, 200, body)
            self.assertEqual(self.header(response, "x-verdict"), "ran")
            expected = expected_service_answer(1, method, "/a%20b//c", b"in")
            self.assertEqual(json.loads(body)["method"], expected["method"])
            self.assertEqual(json.loads(body)["path"], expected["path"])
        response, body = await self.call(bench, "HEAD", "/status")
        self.assertEqual((response.code, body), (200, b""))

    @asyncio_test
    async def test_large_bodies_both_ways(self):
        bench = await self.bench()
        sent = b"m" * 9_000_000
        response, body = await self.call(bench, "POST", "/migrate?size_bytes=3000000", data=sent)
        self.assertEqual(response.code, 200)
        expected = expected_service_answer(1, "POST", "/migrate", sent, 3_000_000)
        self.assertEqual(json.loads(body), expected)
        self.assertEqual(bench.services[0].oracle.events["run"], 1)

    @asyncio_test
    async def test_body_is_streamed_while_it_arrives(self):
        bench = await self.bench()
        body = SlowBody()
        pool = HTTPConnectionPool(reactor, persistent=False)
        headers = Headers({"authorization": [f"Bearer {ACCOUNT_KEY}"]})
        url = f"{bench.url}/services/edge-api/migrate".encode()
        asking = to_future(Agent(reactor, pool=pool).request(b"POST", url, headers, body))
        await to_future(body.started)
        body.consumer.write(b"a" * 100_000)
        await bench.until(lambda: bench.router.placing.in_flight)
        body.consumer.write(b"b")
        body.done.callback(None)
        response = await asking
        answer = json.loads(await to_future(treq.content(response)))
        sent = b"a" * 100_000 + b"b"
        self.assertEqual(
            answer["digest"], expected_service_answer(1, "POST", "/migrate", sent)["digest"]
        )

    @asyncio_test
    async def test_started_body_is_not_sent_to_another_target(self):
        bench = await self.bench(services=2)
        for service in bench.services:
            service.faults.arm(Fault.REFUSE, 1)
        response, _ = await self.call(bench, "POST", "/migrate", data=b"m" * 200_000)
        self.assertEqual((response.code, self.header(response, "x-verdict")), (502, "not-run"))
        self.assertEqual(sum(s.oracle.events["refused"] for s in bench.services), 1)

    @asyncio_test
    async def test_calls_over_a_targets_limit_are_queued(self):
        configuration = make_configuration()
        service = configuration.services["edge-api"]._replace(max_concurrent_requests=1)
        services = {**configuration.services, "edge-api": service}
        bench = await self.bench(configuration=configuration._replace(services=services))
        calls = [self.call(bench, "GET", "/status?delay_s=0.05") for _ in range(6)]
        answers = await asyncio.gather(*calls)
        self.assertEqual({response.code for response, _ in answers}, {200})

    @asyncio_test
    async def test_caller_that_disconnects_in_the_queue_after_a_failed_attempt_may_have_run(self):
        configuration = make_configuration()
        service = configuration.services["edge-api"]._replace(max_concurrent_requests=1)
        services = {**configuration.services, "edge-api": service}
        bench = await self.bench(
            services=2, configuration=configuration._replace(services=services)
        )
        slow = asyncio.ensure_future(self.call(bench, "GET", "/status?delay_s=3"))
        await bench.until(lambda: sum(s.oracle.events["run"] for s in bench.services) == 1)
        for target in bench.services:
            target.faults.arm(Fault.RESET_AFTER_READ, 1)
        headers = {"authorization": f"Bearer {ACCOUNT_KEY}"}
        url = f"{bench.url}/services/edge-api/status"
        asking = treq.get(url, headers=headers, persistent=False)
        asking.addErrback(lambda failure: None)
        records = bench.router.explain._records
        await bench.until(lambda: len(records) == 2)
        record = list(records.values())[1]
        await bench.until(lambda: any(text == "queued" for _, text in record.events))
        self.assertEqual(len(record.attempts), 1)
        asking.cancel()
        await bench.until(lambda: record.ended)
        self.assertEqual(record.ended["verdict"], "may-have-run")
        self.assertEqual((await slow)[0].code, 200)

    @asyncio_test
    async def test_unknown_and_forbidden_service_look_the_same(self):
        bench = await self.bench()
        one, body_one = await self.call(bench, "GET", "/status", key=OTHER_KEY)
        two, body_two = await self.call(bench, "GET", "/../nothing/x", key=OTHER_KEY)
        self.assertEqual((one.code, two.code), (404, 404))
        self.assertEqual(json.loads(body_one)["error"]["code"], "service_not_found")
        self.assertEqual(bench.services[0].oracle.events["run"], 0)

    @asyncio_test
    async def test_idempotent_call_is_retried(self):
        bench = await self.bench(services=2)
        for _ in range(3):
            bench.services[0].faults.arm(Fault.RESET_AFTER_READ, 1)
            response, _ = await self.call(bench, "GET", "/status")
            self.assertEqual(response.code, 200)

    @asyncio_test
    async def test_non_idempotent_call_runs_at_most_once(self):
        bench = await self.bench(services=2)
        for service in bench.services:
            service.faults.arm(Fault.RESET_AFTER_READ, 1)
        response, _ = await self.call(bench, "POST", "/migrate")
        self.assertEqual(response.code, 502)
        self.assertEqual(self.header(response, "x-verdict"), "may-have-run")
        self.assertEqual(sum(s.oracle.events["run"] for s in bench.services), 1)

    @asyncio_test
    async def test_cut_mismatched_or_short_answer_is_not_forwarded(self):
        bench = await self.bench()
        for fault in (Fault.CUT_ANSWER, Fault.WRONG_LENGTH, Fault.OTHERS_ID):
            bench.services[0].faults.arm(fault, 1)
            response, body = await self.call(bench, "POST", "/migrate", data=b"x")
            self.assertEqual(response.code, 502, fault)
            self.assertEqual(self.header(response, "x-verdict"), "may-have-run")
        bench.services[0].faults.arm(Fault.CUT_ANSWER, 1)
        with self.assertRaises(ResponseFailed):
            await self.call(bench, "POST", "/migrate?size_bytes=500000", data=b"x")

    def test_longest_prefix_wins_and_ambiguous_paths_are_never_idempotent(self):
        routes = (
            ServiceRoute("/a", ("GET", "POST"), False),
            ServiceRoute("/a/b", ("GET",), True),
        )
        service = Service("s", "service", routes)
        cases = [
            ("GET", "/a/b/c", True),
            ("POST", "/a/b/c", False),
            ("GET", "/a/b/../x", False),
            ("GET", "/a/b/%2e%2e/x", False),
            ("GET", "/z", False),
        ]
        for method, path, idempotent in cases:
            self.assertEqual(find_route(service, method, path).idempotent, idempotent, path)
