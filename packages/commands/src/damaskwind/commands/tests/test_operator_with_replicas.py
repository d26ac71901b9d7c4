"""Tests of the operators' command line against real control replicas."""

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from twisted.trial.unittest import TestCase

from damaskwind.commands.operator_client import ExitCode
from damaskwind.control.operator_api.authentication import hash_key
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.harness import Harness, free_addresses, wait_until

BINARY = Path(sys.executable).with_name("damaskwind")
DOMAINS = ("bangsar-hall", "cyberjaya-a", "shah-alam-b")
BOOTSTRAP_KEY = "dw-bootstrap-secret"
DEADLINE_S = 60.0


def run_blocking(arguments, environment):
    return subprocess.run(
        [str(BINARY), *arguments], capture_output=True, text=True, timeout=60, env=environment
    )


def settings_of(index, addresses):
    replicas = [
        {"replica_id": f"control-{i}", "address": address, "failure_domain": DOMAINS[i]}
        for i, address in enumerate(addresses[:3])
    ]
    node = {"node_id": f"control-{index}", "cluster": f"test-{os.getpid()}", "cluster_key": "key"}
    node |= {"region": "kl-central", "failure_domain": DOMAINS[index]}
    control = {"replica_address": addresses[index], "operator_address": addresses[3 + index]}
    control["bootstrap_operator_key_hash"] = hash_key(BOOTSTRAP_KEY)
    return {"node": node, "control": control | {"bootstrap_replicas": replicas}}


class OperatorWithReplicasTest(TestCase):
    def setUp(self):
        self.temporary = TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.harness = Harness(self.folder)
        self.addresses = free_addresses(6)
        self.key = BOOTSTRAP_KEY

    def tearDown(self):
        stopping = asyncio_test(self.harness.stop)()
        return stopping.addBoth(lambda result: (self.temporary.cleanup(), result)[1])

    async def start_all(self):
        for index in range(3):
            table = settings_of(index, self.addresses)
            table["control"]["data_folder"] = str(self.folder / f"data-{index}")
            await self.harness.start_control(f"control-{index}", table)
        await wait_until(self.all_vote, DEADLINE_S, "three voters at each replica")

    async def all_vote(self):
        _code, output = await self.run_for_json("status", "--json")
        replicas = [body["replica"] for body in output["replicas"].values()]
        return len(replicas) == 3 and all(len(body["voters"]) == 3 for body in replicas)

    async def run_command(self, *arguments, at=(0, 1, 2)):
        endpoints = ",".join(self.addresses[3 + index] for index in at)
        environment = {"DAMASKWIND_ENDPOINTS": endpoints, "DAMASKWIND_KEY": self.key}
        return await asyncio.to_thread(run_blocking, arguments, environment)

    async def run_for_json(self, *arguments, at=(0, 1, 2)):
        done = await self.run_command(*arguments, at=at)
        return done.returncode, json.loads(done.stdout) if done.stdout else done.stderr

    async def plan(self, text, at=(0, 1, 2)):
        path = self.folder / "intent.toml"
        path.write_text(text, encoding="utf-8")
        code, output = await self.run_for_json("plan", str(path), "--json", at=at)
        self.assertEqual(code, ExitCode.OK, output)
        return output["plan"]["id"]

    async def confirm(self, plan_id, at=(0, 1, 2)):
        code, output = await self.run_for_json("confirm", plan_id, "--json", at=at)
        self.assertEqual(code, ExitCode.OK, output)
        return output["outcome"]["revision"], output["repeated"]

    async def confirm_somewhere(self, plan_id):
        """Try to confirm at all replicas; return whether it succeeded."""
        done = await self.run_command("confirm", plan_id)
        return done.returncode == ExitCode.OK

    async def leader(self):
        _code, output = await self.run_for_json("status", "--json")
        named = {body["replica"]["leader"] for body in output["replicas"].values()}
        return int(named.pop().rsplit("-", 1)[1]) if len(named) == 1 and "" not in named else None

    @asyncio_test
    async def test_confirmations_survive_the_leader_and_a_restart_of_all(self):
        await self.start_all()
        key = "dw-operator-secret"
        operator = f'[operators.mei]\nkey_hash = "{hash_key(key)}"\n'
        first = await self.plan(operator + 'roles = ["planner", "confirmer"]\n', at=(0,))
        self.assertEqual(await self.confirm(first, at=(1,)), (1, False))
        self.assertEqual(await self.confirm(first, at=(2,)), (1, True))
        self.key = key
        batch = "[priority_classes.batch]\nrank = 5\nweight = 1\n"
        planned = await self.plan(batch)
        rival = await self.plan(batch.replace("batch", "night"))
        leads = await wait_until(lambda: self.leader_number(), DEADLINE_S, "a leader")
        await self.harness.processes[f"control-{leads - 1}"].kill()
        await wait_until(
            lambda: self.confirm_somewhere(planned), DEADLINE_S, "a confirmation without it"
        )
        self.assertEqual(await self.confirm(planned), (2, True))
        code, output = await self.run_for_json("confirm", rival, "--json")
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertEqual(output["error"]["outcome"]["conflicts"][0]["plan_id"], planned)
        for name in self.harness.processes:
            await self.harness.processes[name].kill()
        for name in self.harness.processes:
            await self.harness.restart(name)
        await wait_until(
            lambda: self.confirm_somewhere(planned), DEADLINE_S, "the first outcome again"
        )
        self.assertEqual(await self.confirm(planned), (2, True))
        await wait_until(self.all_verified, DEADLINE_S, "the same valid trail at each replica")
        for index in (0, 1):
            await self.harness.processes[f"control-{index}"].kill()
        done = await self.run_command("plan", str(self.folder / "intent.toml"))
        self.assertEqual(done.returncode, ExitCode.REFUSED)
        self.assertIn("changed nothing", done.stderr)
        logs = "".join(each.log_tail() for each in self.harness.processes.values())
        for secret in (key, BOOTSTRAP_KEY, hash_key(key)):
            self.assertNotIn(secret, logs)

    async def leader_number(self):
        """Return the leader's index plus one, so that a known leader is truthy."""
        index = await self.leader()
        return None if index is None else index + 1

    async def all_verified(self):
        code, output = await self.run_for_json("audit", "--verify", "--json")
        heads = {report["verdict"]["head"]["sequence"] for report in output if report["holds"]}
        return code == ExitCode.OK and len(output) == 3 and len(heads) == 1
