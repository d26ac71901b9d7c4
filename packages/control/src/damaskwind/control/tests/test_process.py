import asyncio
import errno
import hashlib
import json
import shutil
import tempfile
from pathlib import Path
from random import Random

import treq
from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from damaskwind.control.process import start_control
from damaskwind.control.replica.tests.cluster import free_address
from damaskwind.control.storage.files import FileSystem
from damaskwind.model.exception import StorageError
from damaskwind.model.targets import FencingMode
from damaskwind.router.configuration.follower import ConfigurationFollower
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import ControlSettings, NodeSettings, ReplicaSettings, Settings
from damaskwind.standins.engine import EngineStandin
from damaskwind.standins.settings import EngineSettings
from damaskwind.wire.authentication import CallSigner

DEADLINE_S = 15.0
KEY = "operator-key"


async def until(condition):
    """Wait until a condition holds, or fail."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DEADLINE_S
    while not condition():
        if loop.time() > end_s:
            raise AssertionError("condition never held")
        await asyncio.sleep(0.01)


class BreakableFileSystem(FileSystem):
    """A disk on which every sync fails once `broken` is set."""

    broken = False

    def sync(self, descriptor):
        if self.broken:
            raise StorageError(errno.errorcode[errno.EIO])
        super().sync(descriptor)


class ControlProcessTest(TestCase):
    timeout = 90

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.running = {}
        self.bootstrap = tuple(
            ReplicaSettings(name, free_address(), f"domain-{name}") for name in "abc"
        )

    async def start(self, name, files=None):
        replica = next(item for item in self.bootstrap if item.replica_id == name)
        node = NodeSettings(name, "kl", "key", "kl-central", replica.failure_domain)
        control = ControlSettings(
            replica.address,
            "127.0.0.1:0",
            str(self.folder / name),
            self.bootstrap,
            hashlib.sha256(KEY.encode()).hexdigest(),
            ready_file=str(self.folder / f"{name}.ready"),
        )
        self.running[name] = await start_control(Settings(node, None, control), files=files)
        return self.running[name]

    async def stop_all(self):
        for process in self.running.values():
            await process.stop()

    async def call(self, name, method, path, body=None):
        url = f"http://{self.running[name].operator_address}/operator/v1{path}"
        headers = {"Authorization": f"Bearer {KEY}"}
        response = await to_future(
            treq.request(method, url, headers=headers, json=body, persistent=False)
        )
        return response.code, await to_future(treq.json_content(response))

    def follower(self, name):
        return ConfigurationFollower(
            name, "domain-b", CallSigner("kl", "key", name), self.bootstrap, Random(name)
        )

    def votes(self, name):
        inner = self.running[name].claim_holder.inner
        return inner is not None and inner.holder.is_voting(read_clock())

    def voter_count(self, name):
        return len(self.running[name].replica.core.membership.voters)

    @asyncio_test
    async def test_confirmed_change_reaches_followers_and_every_status(self):
        for item in self.bootstrap:
            await self.start(item.replica_id)
        followers = [self.follower(f"router-{number}") for number in range(2)]
        try:
            ready = json.loads((self.folder / "a.ready").read_text())
            self.assertEqual(ready, self.running["a"].addresses())
            await until(lambda: all(process.replica.has_log for process in self.running.values()))
            await until(
                lambda: all(process.replica.is_current for process in self.running.values())
            )
            for follower in followers:
                await follower.start()
            intent = {"policy": {"load_factor": 1.5}}
            code, plan = await self.call("b", "POST", "/intents", intent)
            self.assertIn(code, (200, 201), plan)
            code, outcome = await self.call("c", "POST", f"/plans/{plan['plan']['id']}/confirm", {})
            self.assertEqual(code, 200, outcome)
            await until(lambda: all(follower.revision == 1 for follower in followers))
            await until(lambda: all(not follower.may_be_behind for follower in followers))
            for follower in followers:
                self.assertEqual(follower.configuration.policy.load_factor, 1.5)

            def known(name):
                reports = self.running[name].reports.latest_reports()
                return [(item.router_id, item.revision) for item in reports]

            for name in "abc":
                await until(lambda name=name: known(name) == [("router-0", 1), ("router-1", 1)])
                code, status = await self.call(name, "GET", "/status")
                self.assertEqual([item["lag"] for item in status["routers"]], [0, 0], status)
        finally:
            for follower in followers:
                await follower.stop()
            await self.stop_all()

    @asyncio_test
    async def test_claim_holder_votes_from_the_start_and_after_a_lost_disk_once_caught_up(self):
        for item in self.bootstrap:
            await self.start(item.replica_id)
        try:
            await until(lambda: all(self.votes(name) for name in "abc"))
            # Two voters tolerate no loss: the third must vote before a disk is lost.
            await until(lambda: all(self.voter_count(name) == 3 for name in "abc"))
            first = self.running["c"].claim_holder.inner.holder.incarnation
            await self.running["c"].stop()
            shutil.rmtree(self.folder / "c")
            await self.start("c")
            await until(lambda: self.votes("c"))
            holder = self.running["c"].claim_holder.inner.holder
            self.assertGreater(holder.incarnation, first)
            self.assertEqual(holder._caught_up_from, {"a", "b"})
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_failed_disk_is_reported_and_a_locked_folder_is_refused(self):
        self.bootstrap = self.bootstrap[:1]
        files = BreakableFileSystem()
        process = await self.start("a", files)
        try:
            await until(lambda: process.replica.is_leader)
            with self.assertRaisesRegex(StorageError, "another process"):
                await self.start("a")
            files.broken = True
            await process.access.propose(b"x", 2.0)
            self.assertIsInstance(await asyncio.wait_for(process.failed, 5.0), StorageError)
        finally:
            await process.stop()

    @asyncio_test
    async def test_order_goes_from_the_log_to_the_engine(self):
        self.bootstrap = self.bootstrap[:1]
        process = await self.start("a")
        engine = EngineStandin(EngineSettings("engine-1", fencing=FencingMode.CHECKED), reactor)
        await engine.start()
        try:
            await until(lambda: process.replica.is_leader)
            body = {"target_id": "engine-1", "wanted": {"role": "serving", "models": ["damask@7"]}}
            code, answer = await self.call("a", "POST", "/orders", body | {"address": "nowhere"})
            self.assertEqual((code, answer["error"]["code"]), (400, "bad_request"))
            body["address"] = str(engine.address)
            code, answer = await self.call("a", "POST", "/orders", body | {"order_id": "o-1"})
            self.assertEqual((code, answer["fencing_number"]), (200, 1), answer)
            await until(lambda: engine.highest_fencing_number == 1)
            self.assertEqual([offer.version for offer in engine.models], ["7"])
        finally:
            await engine.stop()
            await process.stop()
