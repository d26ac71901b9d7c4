"""Tests of two routers together: idempotency keys, target updates and explain."""

import json

import treq
from twisted.internet.defer import ensureDeferred
from twisted.trial.unittest import TestCase

from damaskwind.router.claims.tests.holders import Holders
from damaskwind.router.tests.bench import ACCOUNT_KEY, OPERATOR_KEY, TestBench
from damaskwind.runtime.bridge import asyncio_test, to_deferred, to_future
from damaskwind.runtime.settings import ReplicaSettings
from damaskwind.standins.faults import Fault


class FleetTest(TestCase):
    timeout = 90

    async def start(self):
        holders = Holders()
        await holders.start_all()
        self.addCleanup(lambda: to_deferred(holders.close()))
        replicas = tuple(
            ReplicaSettings(name, str(address), "local")
            for name, address in holders.addresses.items()
        )
        bench = TestBench()
        self.addCleanup(lambda: bench.stopped())
        await bench.start(engines=1, services=1, replicas=replicas)
        peer = await bench.start_peer("router-2", replicas=replicas)
        self.routers = [bench.router, peer]
        self.urls = [bench.url, f"http://{peer.http_address}"]
        return bench, peer

    async def ask(self, router, method, path, key=ACCOUNT_KEY, **options):
        headers = {"authorization": f"Bearer {key}", **options.pop("headers", {})}
        url = self.urls[router] + path
        response = await to_future(
            treq.request(method, url, headers=headers, persistent=False, **options)
        )
        return response, await to_future(response.content())

    async def migrate(self, router, key, body=b"theme", query=""):
        path = f"/services/edge-api/migrate{query}"
        headers = {"idempotency-key": key}
        return await self.ask(router, "POST", path, headers=headers, data=body)

    async def stream(self, router, key):
        messages = [{"role": "user", "content": "which laptops are due?"}]
        fields = {"model": "damask", "stream": True, "max_tokens": 5, "messages": messages}
        path = "/v1/chat/completions"
        headers = {"idempotency-key": key}
        response, body = await self.ask(router, "POST", path, headers=headers, json=fields)
        self.assertEqual(response.code, 200, body)
        await to_future(ensureDeferred(self.routers[router].idempotency.flush()))
        return body

    def verdict(self, response):
        return response.headers.getRawHeaders("x-verdict")[0]

    @asyncio_test
    async def test_keys_target_updates_and_explain_across_routers(self):
        bench, peer = await self.start()
        oracle = bench.services[0].oracle
        first, body = await self.migrate(0, "k1")
        self.assertEqual((first.code, self.verdict(first)), (200, "ran"))
        await to_future(ensureDeferred(bench.router.idempotency.flush()))
        again, repeated = await self.migrate(1, "k1")
        self.assertEqual((again.code, repeated), (200, body))
        self.assertEqual(oracle.runs_by_key["k1"], 1)

        other, _ = await self.migrate(1, "k1", b"another theme")
        self.assertEqual((other.code, self.verdict(other)), (422, "not-run"))

        bench.services[0].faults.arm(Fault.RESET_AFTER_READ, 1)
        lost, _ = await self.migrate(0, "k2")
        self.assertEqual(self.verdict(lost), "may-have-run")
        resent, _ = await self.migrate(1, "k2")
        self.assertEqual((resent.code, self.verdict(resent)), (409, "may-have-run"))
        self.assertEqual(oracle.runs_by_key["k2"], 1)

        bench.services[0].faults.arm(Fault.REFUSE, 9)
        refused, _ = await self.migrate(0, "k3")
        self.assertEqual(self.verdict(refused), "not-run")
        bench.services[0].faults.disarm()
        await to_future(ensureDeferred(bench.router.idempotency.flush()))
        resent, _ = await self.migrate(1, "k3")
        self.assertEqual((resent.code, oracle.runs_by_key["k3"]), (200, 1))

        large, _ = await self.migrate(0, "k5", query="?size_bytes=9000")
        self.assertEqual((large.code, self.verdict(large)), (200, "ran"))
        await to_future(ensureDeferred(bench.router.idempotency.flush()))
        resent, body = await self.migrate(1, "k5", query="?size_bytes=9000")
        self.assertEqual((resent.code, self.verdict(resent)), (409, "ran"))
        self.assertEqual(resent.headers.getRawHeaders("x-should-retry"), ["false"])
        error = json.loads(body)["error"]
        self.assertEqual(error["verdict"], "ran")
        self.assertIn("the first request with this key ran", error["message"])
        self.assertIn("status 200", error["message"])
        self.assertIn(large.headers.getRawHeaders("x-request-id")[0], error["message"])
        self.assertEqual(oracle.runs_by_key["k5"], 1)

        streams = [await self.stream(router, "k4") for router in (0, 1)]
        self.assertTrue(streams[0].endswith(b"data: [DONE]\n\n"))
        self.assertEqual(streams[0], streams[1])
        self.assertEqual(bench.engines[0].oracle.runs_by_key["k4"], 1)

        request_id = first.headers.getRawHeaders("x-request-id")[0]
        path = f"/operator/v1/requests/{request_id}"
        explained, body = await self.ask(1, "GET", path, OPERATOR_KEY)
        self.assertEqual((explained.code, json.loads(body)["router"]), (200, "router-1"))

        path = "/operator/v1/targets/service-1/drain"
        drained, _ = await self.ask(1, "POST", path, OPERATOR_KEY)
        self.assertEqual(drained.code, 200)
        await bench.until(lambda: not bench.router.directory.find("service-1"))
        response, _ = await self.ask(0, "GET", "/services/edge-api/status")
        self.assertEqual((response.code, self.verdict(response)), (503, "not-run"))
