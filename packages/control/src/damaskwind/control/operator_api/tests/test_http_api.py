"""Tests of the intent API over HTTP."""

import asyncio
import json
from http.client import HTTPConnection
from pathlib import Path
from tempfile import TemporaryDirectory

from loguru import logger
from twisted.trial.unittest import TestCase

from damaskwind.control.audit.archive import AuditArchive
from damaskwind.control.audit.entry import AuditEvent
from damaskwind.control.operator_api.authentication import hash_key
from damaskwind.control.operator_api.http_api import BODY_LIMIT_BYTES
from damaskwind.control.operator_api.tests.objects import (
    ADMIN_KEY,
    BOOTSTRAP_KEY,
    PLANNER_KEY,
    SECRETS,
    VIEWER_KEY,
    account,
    base_objects,
    operators,
    priority_class,
)
from damaskwind.control.operator_api.tests.serving import ServedFleet
from damaskwind.runtime.bridge import asyncio_test

ROOT = "/operator/v1"


def ask_blocking(endpoint, method, path, key, body, headers):
    connection = HTTPConnection(endpoint, timeout=10)
    try:
        payload = body if body is None or isinstance(body, bytes) else json.dumps(body)
        sent = {"authorization": f"Bearer {key}"} if key else {}
        connection.request(method, ROOT + path, payload, {**sent, **headers})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    finally:
        connection.close()


class HttpApiTest(TestCase):
    def setUp(self):
        self.fleet = ServedFleet()
        self.logged = []
        self.sink = logger.add(lambda message: self.logged.append(str(message)), level=0)

    def tearDown(self):
        logger.remove(self.sink)
        return asyncio_test(self.fleet.stop)()

    async def ask(self, method, path, key=ADMIN_KEY, body=None, at=0, headers=None):
        arguments = (self.fleet.endpoints[at], method, path, key, body, headers or {})
        return await asyncio.to_thread(ask_blocking, *arguments)

    async def change(self, intent, key=ADMIN_KEY):
        status, answer = await self.ask("POST", "/intents", key, intent)
        self.assertEqual(status, 200, answer)
        self.confirmed = f"/plans/{answer['plan']['id']}"
        status, answer = await self.ask("POST", self.confirmed + "/confirm", key, {})
        self.assertEqual(status, 200, answer)
        return answer

    @asyncio_test
    async def test_the_bootstrap_key_creates_the_first_operators_and_then_has_no_role(self):
        await self.change(operators(), BOOTSTRAP_KEY)
        status, answer = await self.ask("GET", "/configuration", BOOTSTRAP_KEY)
        self.assertEqual((status, answer["error"]["code"]), (403, "forbidden"))
        status, answer = await self.ask("POST", "/intents", BOOTSTRAP_KEY, priority_class())
        self.assertEqual(status, 403)
        for key in ("", "dw-wrong", ADMIN_KEY + "x"):
            status, answer = await self.ask("GET", "/status", key)
            self.assertEqual((status, answer["error"]["code"]), (401, "invalid_operator_key"))

    @asyncio_test
    async def test_roles_over_http(self):
        await self.change({**operators(), **base_objects()}, BOOTSTRAP_KEY)
        status, answer = await self.ask("POST", "/intents", PLANNER_KEY, priority_class("b", 5))
        path = f"/plans/{answer['plan']['id']}/confirm"
        for key, wanted in ((VIEWER_KEY, 403), (PLANNER_KEY, 403), (ADMIN_KEY, 200)):
            status, answer = await self.ask("POST", path, key, {}, at=1)
            self.assertEqual(status, wanted, answer)
        status, answer = await self.ask("POST", "/intents", VIEWER_KEY, priority_class("c", 6))
        self.assertEqual(status, 403)
        status, answer = await self.ask("GET", "/configuration?kind=accounts", VIEWER_KEY)
        shown = answer["accounts"]["clerks"]["key_hashes"][0]
        self.assertRegex(shown, r"^sha256:[0-9a-f]{8}$")

    @asyncio_test
    async def test_conflict_expiry_and_unknown_plans_have_distinct_answers(self):
        await self.change({**operators(), **base_objects()}, BOOTSTRAP_KEY)
        plans = []
        for rank in (5, 6, 7):
            intent = priority_class(f"class-{rank}", rank)
            plans.append((await self.ask("POST", "/intents", body=intent))[1]["plan"]["id"])
        await self.ask("POST", f"/plans/{plans[0]}/confirm", body={})
        status, answer = await self.ask("POST", f"/plans/{plans[1]}/confirm", body={}, at=1)
        self.assertEqual((status, answer["error"]["nothing_changed"]), (409, True))
        self.assertEqual(answer["error"]["outcome"]["conflicts"][0]["operator"], "mei")
        self.fleet.now_s += 10_000
        status, answer = await self.ask("POST", f"/plans/{plans[2]}/confirm", body={})
        self.assertEqual(status, 410)
        status, answer = await self.ask("GET", f"/plans/{plans[0]}", at=1)
        self.assertEqual(answer["outcome"]["status"], "confirmed")
        for path in ("/plans/plan-none/confirm", "/plans/%2e%2e/confirm"):
            status, answer = await self.ask("POST", path, body={})
            self.assertEqual((status, answer["error"]["code"]), (404, "unknown_plan"))

    @asyncio_test
    async def test_without_majority_writes_are_refused_and_reads_succeed(self):
        await self.change(operators(), BOOTSTRAP_KEY)
        self.fleet.replicas[0].has_majority = False
        status, answer = await self.ask("POST", "/intents", body=priority_class())
        self.assertEqual((status, answer["error"]["nothing_changed"]), (503, True))
        status, answer = await self.ask("GET", "/configuration")
        self.assertEqual((status, answer["revision"]), (200, 1))
        for path, wanted in ((self.confirmed, 200), ("/plans/plan-none", 503)):
            status, answer = await self.ask("GET", path)
            self.assertEqual(status, wanted, answer)
        self.fleet.replicas[1].next_results.append("lost_command")
        status, answer = await self.ask("POST", "/intents", body=priority_class(), at=1)
        self.assertEqual((status, answer["error"]["nothing_changed"]), (504, False))
        self.assertIn("GET /operator/v1/plans/plan-", answer["error"]["ask"])

    @asyncio_test
    async def test_malformed_and_oversized_bodies_change_nothing(self):
        await self.change(operators(), BOOTSTRAP_KEY)
        length = len(self.fleet.log.payloads)
        for body in (b"{", b"\xff\xfe", b"[]", b"null", b'{"acounts":{}}', b"{}"):
            status, _answer = await self.ask("POST", "/intents", body=body)
            self.assertEqual(status, 400, body)
        large = json.dumps({"pad": "x" * BODY_LIMIT_BYTES}).encode()
        status, answer = await self.ask("POST", "/intents", body=large)
        self.assertEqual((status, answer["error"]["code"]), (413, "request_too_large"))
        self.assertEqual(len(self.fleet.log.payloads), length)

    @asyncio_test
    async def test_status_orders_audit_and_replicas(self):
        await self.change(operators(), BOOTSTRAP_KEY)
        body = {"target_id": "engine-1", "wanted": {"role": "draining"}, "order_id": "o1"}
        for _ in range(2):
            status, answer = await self.ask("POST", "/orders", body=body)
            self.assertEqual((status, answer["fencing_number"]), (200, 1))
        body = {"action": "remove", "replica_id": "control-9"}
        status, answer = await self.ask("POST", "/replicas", body=body)
        self.assertEqual(status, 200, answer)
        wrong = {"action": "remove", "replica_id": "unknown"}
        status, answer = await self.ask("POST", "/replicas", body=wrong)
        self.assertEqual((status, answer["error"]["nothing_changed"]), (400, True))
        status, answer = await self.ask("POST", "/replicas", VIEWER_KEY, body)
        self.assertEqual(status, 403)
        status, answer = await self.ask("GET", "/status", VIEWER_KEY)
        self.assertEqual((answer["revision"], answer["routers"][0]["lag"]), (1, 1))
        status, answer = await self.ask("GET", "/audit?after=2&limit=2", VIEWER_KEY)
        self.assertEqual([item["action"] for item in answer["entries"]], ["order", "remove"])
        status, answer = await self.ask("GET", "/audit?after=x", VIEWER_KEY)
        self.assertEqual(status, 400)

    @asyncio_test
    async def test_entries_no_longer_in_memory_are_read_from_the_archive(self):
        with TemporaryDirectory() as folder:
            archive = AuditArchive(Path(folder))
            await self.fleet.stop()
            self.fleet = ServedFleet(1, archive)
            trail = self.fleet.replicas[0].machine.trail
            while trail.first_sequence == 1:
                trail.append(AuditEvent(0.0, "mei", "here", "plan", "p", "planned", 0))
                archive.store_closed(trail)
            last = trail.last_sequence
            received = []
            while len(received) < last:
                status, answer = await self.ask(
                    "GET", f"/audit?after={len(received)}", BOOTSTRAP_KEY
                )
                self.assertTrue(answer["entries"], answer)
                received += answer["entries"]
        self.assertEqual([item["sequence"] for item in received], list(range(1, last + 1)))

    @asyncio_test
    async def test_keys_appear_in_no_answer_log_or_audit_entry(self):
        await self.change({**operators(), **base_objects()}, BOOTSTRAP_KEY)
        pasted = {"accounts": {"clerks": account(key_hashes=[SECRETS[3]])}}
        answers = [await self.ask("POST", "/intents", body=pasted)]
        answers.append(await self.ask("POST", "/intents", SECRETS[3], pasted))
        self.fleet.replicas[0].next_results.append("explode")
        status, answer = await self.ask("POST", "/intents", body={"accounts": {"b": account()}})
        self.assertEqual((status, answer["error"]["nothing_changed"]), (400, True))
        status, answer = await self.ask("POST", "/intents", body=priority_class("b", 5))
        self.assertEqual((status, answer["error"]["nothing_changed"]), (500, False))
        for path in ("/status", "/audit", "/configuration", "/replicas", "/orders"):
            answers.append(await self.ask("GET", path, VIEWER_KEY))
        whole = hash_key(SECRETS[0])
        seen = str(answers) + str(self.logged) + str(self.fleet.log.payloads)
        for secret in SECRETS:
            self.assertNotIn(secret, seen)
        self.assertNotIn(whole, str(answers) + str(self.logged))
        self.assertIn("unknown operator key", str(self.logged))
