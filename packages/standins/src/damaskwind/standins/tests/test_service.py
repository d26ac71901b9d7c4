"""Tests of the plain service stand-in: run counts and deterministic answers."""

import json
from typing import Any

import treq
from twisted.trial.unittest import TestCase
from twisted.web.client import ResponseFailed

from damaskwind.runtime.bridge import asyncio_test, to_deferred, to_future
from damaskwind.standins.faults import Fault
from damaskwind.standins.service import ServiceStandin, expected_service_answer
from damaskwind.standins.settings import ServiceSettings


class ServiceTest(TestCase):
    """Call one service."""

    async def _call(self, method: str, path: str, body: bytes = b"") -> tuple[Any, bytes]:
        response = await to_future(
            treq.request(
                method,
                f"http://{self.service.address}{path}",
                data=body,
                headers={"x-request-id": "r1", "idempotency-key": "k1"},
                persistent=False,
            )
        )
        return response, await to_future(response.content())

    @asyncio_test
    async def test_counts_runs_and_answers_deterministically(self) -> None:
        self.service = ServiceStandin(ServiceSettings("edge-1", seed=3))
        await self.service.start()
        self.addCleanup(lambda: to_deferred(self.service.stop()))
        _, answer = await self._call("PUT", "/purge/site?size_bytes=500", b"theme")
        expected = expected_service_answer(3, "PUT", "/purge/site", b"theme", 500)
        self.assertEqual(json.loads(answer), expected)
        self.assertEqual(len(expected["filling"]), 500)
        self.service.faults.arm(Fault.REFUSE)
        response, _ = await self._call("POST", "/migrate")
        self.assertEqual(response.headers.getRawHeaders("x-verdict"), ["not-run"])
        self.service.faults.arm(Fault.RESET_AFTER_READ)
        with self.assertRaises(ResponseFailed):
            await self._call("POST", "/migrate")
        self.assertEqual(self.service.oracle.runs_by_key, {"k1": 2})
        self.assertEqual(self.service.oracle.events["refused"], 1)
