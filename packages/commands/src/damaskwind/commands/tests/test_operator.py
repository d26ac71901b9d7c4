"""Tests of the operators' command line against replicas served in this process."""

import asyncio
import json
import subprocess
import sys
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

from klein import Klein
from twisted.internet import reactor
from twisted.trial.unittest import TestCase
from twisted.web.server import Site

from damaskwind.commands.operator_client import ExitCode
from damaskwind.control.operator_api.tests.objects import BOOTSTRAP_KEY
from damaskwind.control.operator_api.tests.serving import ServedFleet
from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_change import apply_change, change_from_table, check_change
from damaskwind.model.configuration_codec import read_table_file
from damaskwind.runtime.bridge import asyncio_test, to_future

BINARY = Path(sys.executable).with_name("damaskwind")
EXAMPLES = Path(__file__).parents[6] / "examples" / "intents"
OPERATORS = """
[operators.mei]
key_hash = "{}"
roles = ["planner", "confirmer"]
"""
CLASS = "[priority_classes.batch]\nrank = {}\nweight = 1\n"


def run_blocking(arguments, environment):
    return subprocess.run(
        [str(BINARY), *arguments], capture_output=True, text=True, timeout=60, env=environment
    )


def router_app():
    """Return an application that answers like a router."""
    answers = {
        ("GET", "/router"): '{"router_id":"router-2","revision_in_force":1,"behind_s":0.75}',
        ("GET", "/targets"): '{"targets":[{"target_id":"e1"}]}',
        ("POST", "/targets/e1/drain"): '{"target_id":"e1","state":"leaving"}',
        ("GET", "/requests/r-1"): '{"request_id":"r-1"}',
    }
    app = Klein()
    for (method, path), body in answers.items():
        answer = partial(lambda text, request: text, body)
        answer.__name__ = path
        app.route("/operator/v1" + path, methods=[method])(answer)
    return app


class OperatorTest(TestCase):
    def setUp(self):
        self.fleet = ServedFleet(2)
        self.folder = TemporaryDirectory()
        self.key = BOOTSTRAP_KEY

    def tearDown(self):
        self.folder.cleanup()
        return asyncio_test(self.fleet.stop)()

    async def run_command(self, *arguments, endpoints=None):
        listed = ",".join(self.fleet.endpoints if endpoints is None else endpoints)
        environment = {"DAMASKWIND_ENDPOINTS": listed, "DAMASKWIND_KEY": self.key}
        return await asyncio.to_thread(run_blocking, arguments, environment)

    def file(self, text):
        path = Path(self.folder.name) / "intent.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    async def planned(self, text):
        done = await self.run_command("plan", self.file(text), "--json")
        self.assertEqual(done.returncode, ExitCode.OK, done.stderr)
        return json.loads(done.stdout)["plan"]["id"]

    async def first_operator(self):
        done = await self.run_command("key", "--json")
        new_key = json.loads(done.stdout)
        plan_id = await self.planned(OPERATORS.format(new_key["key_hash"]))
        done = await self.run_command("confirm", plan_id)
        self.assertEqual((done.returncode, done.stderr), (ExitCode.OK, ""))
        self.key = new_key["key"]
        for replica in self.fleet.replicas:
            replica.catch_up()

    @asyncio_test
    async def test_from_the_bootstrap_key_to_a_verified_trail(self):
        await self.first_operator()
        done = await self.run_command("plan", self.file(CLASS.format(5)))
        self.assertIn("create priority_classes.batch", done.stdout)
        self.assertIn("nothing has changed", done.stdout)
        plan_id = done.stdout.split()[1]
        for expected in ("confirmed: revision 2 by mei", "confirmed (by an earlier request)"):
            done = await self.run_command("confirm", plan_id)
            self.assertIn(expected, done.stdout)
        done = await self.run_command("show", "priority_classes", "batch")
        self.assertIn("batch", done.stdout)
        done = await self.run_command("show", "priority_classes", "none")
        self.assertEqual(done.returncode, ExitCode.REFUSED)
        done = await self.run_command("audit")
        self.assertEqual(done.stdout.count("confirmed"), 2)
        self.fleet.replicas[1].catch_up()
        done = await self.run_command("audit", "--verify")
        self.assertEqual((done.returncode, done.stdout.count("holds")), (ExitCode.OK, 2))
        head = done.stdout.splitlines()[0].split("head ")[1]
        lines = self.fleet.replicas[1].machine.trail._lines
        lines[1] = lines[1].replace(b"bootstrap", b"b00tstrap")
        done = await self.run_command("audit", "--verify", "--known-head", head)
        self.assertEqual(done.returncode, ExitCode.REFUSED)
        self.assertIn("entry 2: its content does not match its hash", done.stdout)
        self.assertEqual(done.stdout.count("BROKEN"), 1)

    @asyncio_test
    async def test_next_endpoint_is_tried_and_exit_codes_match_the_outcome(self):
        await self.first_operator()
        first, second = self.fleet.endpoints
        plan_id = await self.planned(CLASS.format(5))
        rival = await self.planned(CLASS.format(6))
        self.fleet.replicas[0].has_majority = False
        done = await self.run_command("confirm", plan_id, endpoints=[first])
        self.assertEqual(done.returncode, ExitCode.REFUSED)
        self.assertIn("changed nothing", done.stderr)
        self.fleet.replicas[1].next_results.append("lost_answer")
        done = await self.run_command("confirm", plan_id, endpoints=[second])
        self.assertEqual(done.returncode, ExitCode.OUTCOME_UNKNOWN)
        self.assertIn(f"GET /operator/v1/plans/{plan_id}", done.stderr)
        done = await self.run_command(
            "confirm", plan_id, "--endpoint", "127.0.0.1:1", "--endpoint", f"{first},{second}"
        )
        self.assertIn("earlier request", done.stdout)
        done = await self.run_command("confirm", rival, "--json")
        self.assertEqual(done.returncode, ExitCode.REFUSED)
        outcome = json.loads(done.stdout)["error"]["outcome"]
        self.assertEqual(outcome["conflicts"][0]["operator"], "mei")

    @asyncio_test
    async def test_bad_usage_exits_with_two_and_names_every_mistake(self):
        wrong = '[accounts.a]\npriority_clas = "x"\n[delete]\nmodel = ["m"]\n'
        done = await self.run_command("plan", self.file(wrong))
        self.assertEqual(done.returncode, ExitCode.BAD_USAGE)
        self.assertIn("did you mean 'priority_class'?", done.stderr)
        self.assertIn("delete.model: unknown key", done.stderr)
        commands = (("plan", "none.toml"), ("plan",), ("frob",), ("audit", "--verify=1"))
        commands += (("audit", "--verify", "--known-head", "x"), ("replicas", "add", "c4"))
        for command in commands:
            done = await self.run_command(*command)
            self.assertEqual(done.returncode, ExitCode.BAD_USAGE, command)
        done = await self.run_command("status", endpoints=["nowhere"])
        self.assertEqual(done.returncode, ExitCode.BAD_USAGE)
        self.key = ""
        done = await self.run_command("status")
        self.assertEqual(done.returncode, ExitCode.BAD_USAGE)

    @asyncio_test
    async def test_status_and_commands_for_replicas_and_routers(self):
        await self.first_operator()
        app = router_app()
        port = reactor.listenTCP(0, Site(app.resource()), interface="127.0.0.1")
        try:
            router = f"127.0.0.1:{port.getHost().port}"
            both = [*self.fleet.endpoints, router, "127.0.0.1:1"]
            done = await self.run_command("status", "--json", endpoints=both)
            answer = json.loads(done.stdout)
            self.assertEqual(answer["routers"]["router-1"]["lag"], 1)
            self.assertEqual(answer["routers"]["router-2"]["lag"], 0)
            self.assertEqual(list(answer["silent"]), ["http://127.0.0.1:1"])
            done = await self.run_command("status", endpoints=both)
            self.assertRegex(done.stdout, r"router-2 .* 0\.75")
            for command, expected in (
                (("targets",), "e1"),
                (("drain", "e1"), "leaving"),
                (("explain", "r-1"), "r-1"),
            ):
                done = await self.run_command(*command, endpoints=both)
                self.assertIn(expected, done.stdout, done.stderr)
            done = await self.run_command("explain", "r-2", endpoints=[router])
            self.assertEqual(done.returncode, ExitCode.REFUSED)
            done = await self.run_command("replicas", "remove", "c4")
            self.assertIn("committed", done.stdout)
        finally:
            await to_future(port.stopListening())

    def test_example_intents_are_valid_in_sequence(self):
        configuration = Configuration()
        for name in ("first-operators", "kenanga-base", "deadline-night", "remove-account"):
            change = change_from_table(read_table_file(EXAMPLES / f"{name}.toml"))
            self.assertEqual(check_change(configuration, change), [], name)
            configuration = apply_change(configuration, change)
        base = change_from_table(read_table_file(EXAMPLES / "may-tinh-base.toml"))
        self.assertEqual(check_change(Configuration(), base), [])
