"""Tests of a router process whose links to targets fail: verdicts against run counts."""

import asyncio
import hashlib
import os
import tempfile
from pathlib import Path
from typing import Any

import treq
from twisted.trial.unittest import TestCase
from twisted.web.client import ResponseFailed

from damaskwind.model.prefix import Message, ModelName
from damaskwind.runtime.bridge import asyncio_test, to_deferred, to_future
from damaskwind.standins.answers import expected_answer
from damaskwind.standins.harness import Harness, wait_until

_KEY = "key-of-library"
_ANNOUNCE = {"key": f"announce-{os.getpid()}", "interval_s": 0.3, "lease_s": 5.0}
_NODE = {
    "node_id": "router-1",
    "cluster": f"test-{os.getpid()}",
    "cluster_key": "cluster-key",
    "region": "kl-central",
    "failure_domain": "local",
}
_ROUTER = {
    "http_address": "127.0.0.1:0",
    "datagram_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "announce_key": f"announce-{os.getpid()}",
    "body_timeout_s": 2.0,
}
_CONFIGURATION = {
    "revision": 1,
    "accounts": {
        "library": {
            "key_hashes": [hashlib.sha256(_KEY.encode()).hexdigest()],
            "priority_class": "normal",
            "max_concurrent_requests": 1000,
            "max_tokens_per_s": 1e7,
            "models": [{"model": "damask", "version": "1"}],
            "services": ["edge-api"],
        }
    },
    "priority_classes": {"normal": {"rank": 0, "weight": 1}},
    "models": {
        "damask": {
            "service": "damask-pool",
            "default_version": "1",
            "versions": [{"version": "1"}],
        }
    },
    "services": {
        "damask-pool": {"kind": "engine"},
        "edge-api": {
            "kind": "service",
            "routes": [
                {"path_prefix": "/tags", "methods": ["POST"], "idempotent": False, "timeout_s": 3.0}
            ],
        },
    },
}


class RealProcessesTest(TestCase):
    """One router, and an engine and a service that each have a faulty link."""

    timeout = 120

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.harness = Harness(Path(folder.name))
        self.addCleanup(lambda: to_deferred(self.harness.stop()))
        self.cut_answers = 0

    async def _ask(self, method: str, url: str, body: Any = None) -> Any:
        call = treq.request(method, f"http://{url}", json=body, persistent=False)
        return await to_future((await to_future(call)).json())

    async def _start(self) -> None:
        """Start the links first, so that targets can announce their addresses."""
        network = await self.harness.start_network("network")
        self.network = network.ready["control_address"]
        links = {}
        for name in ("engine-1", "edge-1"):
            link = {"name": name, "kind": "tcp"}
            links[name] = (await self._ask("POST", f"{self.network}/links", link))["address"]
        path = self.harness.write_settings("configuration", _CONFIGURATION)
        router = {**_ROUTER, "configuration_file": str(path)}
        process = await self.harness.start_router("router-1", {"node": _NODE, "router": router})
        self.router = process.ready["http_address"]
        engine = {"target_id": "engine-1", "token_interval_s": 0.05, "resume_hold_s": 0.0}
        fleet = await self.harness.start_fleet(
            "fleet",
            {
                "announce": {**_ANNOUNCE, "routers": [self.router]},
                "engines": [{**engine, "announced_address": links["engine-1"]}],
                "services": [{"target_id": "edge-1", "announced_address": links["edge-1"]}],
            },
        )
        self.fleet = fleet.ready["control_address"]
        for name, address in fleet.ready["targets"].items():
            await self._ask("POST", f"{self.network}/links/{name}/target", {"target": address})
        await wait_until(self._serves, 20, "an answer through the router")

    async def _serves(self) -> bool:
        """Return whether both targets answer through the router."""
        chat, call = await self._chat("warm"), await self._call("warm")
        return chat[0] == 200 and call[0] == 200

    async def _request(self, path: str, **arguments: Any) -> tuple[int, str, bytes]:
        """Return the status, the verdict and the body of a request, complete or cut off.

        Bodies that were cut off are counted in `cut_answers`.
        """
        call = treq.post(
            f"http://{self.router}{path}",
            headers={"authorization": f"Bearer {_KEY}"},
            persistent=False,
            timeout=20,
            **arguments,
        )
        response = await to_future(call)
        verdict = response.headers.getRawHeaders("x-verdict", [""])[0]
        pieces: list[bytes] = []
        try:
            await to_future(treq.collect(response, pieces.append))
        except ResponseFailed:
            self.cut_answers += 1
        return response.code, verdict, b"".join(pieces)

    async def _chat(self, text: str) -> tuple[int, str, bytes]:
        messages = [{"role": "user", "content": text}]
        body = {"model": "damask", "messages": messages, "max_tokens": 20, "stream": True}
        return await self._request("/v1/chat/completions", json=body)

    async def _call(self, name: str) -> tuple[int, str, bytes]:
        return await self._request("/services/edge-api/tags", data=name.encode())

    async def _oracle(self, target: str) -> dict[str, Any]:
        return (await self._ask("GET", f"{self.fleet}/oracle"))[target]

    async def _act(self, link: str, action: str, body: Any = None) -> None:
        await self._ask("POST", f"{self.network}/links/{link}/{action}", body or {})

    @asyncio_test
    async def test_broken_links_give_truthful_verdicts_and_no_second_run(self) -> None:
        await self._start()
        await self._act("edge-1", "refuse")
        await self._act("edge-1", "cut")
        before = (await self._oracle("edge-1"))["events"]["run"]
        status, verdict, _ = await self._call("while refused")
        self.assertGreaterEqual(status, 500)
        self.assertIn(verdict, ("not-run", "may-have-run"))
        self.assertEqual((await self._oracle("edge-1"))["events"]["run"], before)
        await self._act("edge-1", "accept")
        await wait_until(self._serves, 20, "the service after its link came back")
        await self._act("edge-1", "impair", {"to_caller": {"blackhole": True}})
        before = (await self._oracle("edge-1"))["events"]["run"]
        status, verdict, _ = await self._call("answer swallowed")
        self.assertEqual((status >= 500, verdict), (True, "may-have-run"))
        await self._ask("POST", f"{self.network}/heal")
        self.assertLessEqual((await self._oracle("edge-1"))["events"]["run"], before + 1)

    async def _cut_engine(self) -> None:
        await self._act("engine-1", "refuse")
        await self._act("engine-1", "cut")

    async def _is_streaming(self) -> bool:
        samples = await self._ask("GET", f"{self.fleet}/samples")
        return samples[-1]["requests"]["engine-1"] == 1

    async def _check_engine_recovered(self) -> None:
        """Expect the complete answer after the engine's link is restored."""
        await self._act("engine-1", "accept")
        await wait_until(self._serves, 20, "the engine after its link came back")
        expected = expected_answer(1, ModelName("damask", "1"), [Message("user", "cut me")], 20)
        _, _, body = await self._chat("cut me")
        words = [part.split(b'"')[0] for part in body.split(b'"content": "')[1:]]
        self.assertEqual(b"".join(words).decode(), expected)

    @asyncio_test
    async def test_cut_stream_never_looks_whole(self) -> None:
        """Cut off the engine as soon as it has the chat, whether or not the answer has begun.

        Before the answer begins, the router sends a complete refusal ("the target broke off
        before its answer"). After that it writes an error event and closes the connection
        without the end of the body, so that the answer does not look complete. A client that
        discards incomplete bodies never sees this event, and a cut after 0.3 s then always
        failed the test; so the test keeps the body and counts that it was cut off.
        """
        await self._start()
        pending = asyncio.ensure_future(self._chat("cut me"))
        await wait_until(self._is_streaming, 10, "the chat at the engine")
        await self._cut_engine()
        status, _, body = await pending
        self.assertNotIn(b"[DONE]", body)
        self.assertIn(b"may-have-run", body)
        # A stream that has begun is cut off; a refusal in its place is complete.
        self.assertEqual(self.cut_answers, int(status == 200))
        await self._check_engine_recovered()

    @asyncio_test
    async def test_stream_cut_after_first_tokens_ends_with_error_event(self) -> None:
        await self._start()
        pending = asyncio.ensure_future(self._chat("cut me"))
        await wait_until(self._is_streaming, 10, "the chat at the engine")
        # By now about six of the twenty tokens were produced.
        await asyncio.sleep(0.3)
        await self._cut_engine()
        status, _, body = await pending
        self.assertEqual((status, self.cut_answers), (200, 1))
        self.assertIn(b'"content": "', body)
        self.assertNotIn(b"[DONE]", body)
        self.assertIn(b"may-have-run", body.rpartition(b"data: ")[2])
        await self._check_engine_recovered()
