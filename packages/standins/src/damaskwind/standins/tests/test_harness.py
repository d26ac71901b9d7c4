"""Tests of the harness with real processes: a fleet and a faulty network."""

import tempfile
from pathlib import Path
from typing import Any

import treq
from twisted.trial.unittest import TestCase

from damaskwind.model.prefix import Message, ModelName
from damaskwind.runtime.bridge import asyncio_test, to_deferred, to_future
from damaskwind.standins.answers import expected_answer
from damaskwind.standins.harness import Harness, HarnessError, wait_until

_ENGINE = {"target_id": "engine-1", "token_interval_s": 0.002, "load_lag_s": 0.0}
_SERVICE = {"target_id": "edge-1"}


class HarnessTest(TestCase):
    """Start, call and stop processes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.harness = Harness(Path(folder.name))
        self.addCleanup(lambda: to_deferred(self.harness.stop()))

    async def _ask(self, method: str, url: str, body: Any = None, **headers: str) -> Any:
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        call = treq.request(method, f"http://{url}", json=body, headers=sent, persistent=False)
        response = await to_future(call)
        return await to_future(response.json())

    async def _chat(self, address: str) -> str:
        body = {"model": "damask", "messages": [{"role": "user", "content": "hi"}]}
        answer = await self._ask(
            "POST", f"{address}/v1/chat/completions", body, x_model_version="1", x_request_id="r"
        )
        return answer["choices"][0]["message"]["content"]

    @asyncio_test
    async def test_fleet_behind_a_faulty_network(self) -> None:
        fleet = await self.harness.start_fleet(
            "fleet", {"engines": [_ENGINE], "services": [_SERVICE]}
        )
        network = await self.harness.start_network("network")
        control = network.ready["control_address"]
        target = fleet.ready["targets"]["engine-1"]
        link = {"name": "engine", "kind": "tcp", "target": target}
        address = (await self._ask("POST", f"{control}/links", link))["address"]
        expected = expected_answer(1, ModelName("damask", "1"), [Message("user", "hi")], 16)
        self.assertEqual(await self._chat(address), expected)
        fleet_control = fleet.ready["control_address"]
        oracle = await self._ask("GET", f"{fleet_control}/oracle")
        self.assertEqual(oracle["engine-1"]["runs_by_id"], {"r": 1})
        joining = {"target_id": "engine-2", "token_interval_s": 0.002}
        joined = await self._ask("POST", f"{fleet_control}/engines", joining)
        self.assertEqual(await self._chat(joined["address"]), expected)
        await self._ask("POST", f"{fleet_control}/targets/engine-2/life", {"action": "leave"})

        async def sampled_leave() -> bool:
            samples = await self._ask("GET", f"{fleet_control}/samples")
            return "engine-2" in samples[-1]["down"]

        await wait_until(sampled_leave, 10)

    @asyncio_test
    async def test_restarts_and_kills_processes_and_reports_failed_start(self) -> None:
        fleet = await self.harness.start_fleet("fleet", {"engines": [_ENGINE]})
        self.assertEqual(await fleet.terminate(), 0)
        again = await self.harness.restart("fleet")
        self.assertIsNone(again.exit_code)
        await again.kill()
        self.assertEqual(again.exit_code, -9)
        with self.assertRaisesRegex(HarnessError, "token_intervall_s"):
            await self.harness.start_fleet(
                "wrong", {"engines": [{"target_id": "x", "token_intervall_s": 1.0}]}
            )
