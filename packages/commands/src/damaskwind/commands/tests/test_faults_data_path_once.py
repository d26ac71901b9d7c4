"""Fault test with real processes: no call runs twice, whichever stage of it fails.

Callers send calls that are not idempotent through routers in three failure domains, with and
without an idempotency key, while links, targets and callers fail by a seeded schedule. The
services' counts are the oracle.
"""

import asyncio
import json
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import NamedTuple

import xxhash
from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from damaskwind.commands.tests.data_path_fleet import DOMAINS, LOST_ANSWER, Answer, DataPathFleet
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.harness import wait_until
from damaskwind.standins.impairment import Impairment, LinkImpairment
from damaskwind.standins.service import expected_service_answer

SEED = 20261202
CALLS_PER_STAGE = 8
WORKERS = 4
RESENDS = 4
RESEND_WAIT_S = 0.1
LARGE_BYTES = 400_000
SLOW_S = 0.25
ARRIVAL_S = 0.3
SERVICES = ("edge-0", "edge-1", "edge-2")
SILENT = LinkImpairment(to_caller=Impairment(blackhole=True))


class Call(NamedTuple):
    """One call, identified by its unique body."""

    body: bytes
    key: str
    query: str
    routers: tuple[str, ...]


class Seen(NamedTuple):
    """A call and its answers: the first one, then those to resends."""

    call: Call
    answers: list[Answer]


class AtMostOnceTest(TestCase):
    timeout = 150

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = DataPathFleet(reactor, Path(folder.name))
        self.addCleanup(lambda: to_deferred(self.fleet.stop()))
        self.random = Random(SEED)
        self.seen: list[Seen] = []

    async def start(self):
        """Start the claim holders, three routers and three services behind links."""
        fleet = self.fleet
        await fleet.start_replicas()
        await fleet.start_routers(3, policy={"ejection_base_s": 0.5, "retry_share": 0.5})
        services = [
            {"target_id": name, "failure_domain": domain}
            for name, domain in zip(SERVICES, DOMAINS, strict=True)
        ]
        await fleet.start_targets("targets", [], services, behind_links=True)
        for name, address in fleet.routers.items():
            fleet.network.add_link(f"caller>{name}", "tcp", parse_address(address))
        await fleet.wait_until_ready()
        await wait_until(self.grants_keys, 40, "holders that grant keys")

    async def grants_keys(self):
        """Return whether each router reaches a majority of the claim holders."""
        answers = [
            await self.fleet.call(address, b"warm-%d" % number, f"warm-{number}")
            for number, address in enumerate(self.fleet.routers.values())
        ]
        return all(answer.status == 200 for answer in answers)

    def make_call(self, stage, number, query):
        """Make a call with or without a key, through the routers in random order."""
        name = f"{stage}-{number}"
        routers = self.random.sample(sorted(self.fleet.routers), 3)
        key = f"key-{name}" if number % 2 else ""
        return Call(name.encode(), key, query, tuple(routers))

    def should_resend(self, answer):
        """Return whether a caller with a key resends after this answer."""
        return not answer.is_complete or answer.status >= 409

    async def send_call(self, call, through_links=False):
        """Send a call; one with a key is resent through the other domains' routers."""
        first = self.fleet.routers[call.routers[0]]
        if through_links:
            first = str(self.fleet.network.links[f"caller>{call.routers[0]}"].address)
        answers = [await self.fleet.call(first, call.body, call.key, call.query)]
        while call.key and self.should_resend(answers[-1]) and len(answers) <= RESENDS:
            await asyncio.sleep(RESEND_WAIT_S)
            router = self.fleet.routers[call.routers[len(answers) % 3]]
            answers.append(await self.fleet.call(router, call.body, call.key, call.query))
        self.seen.append(Seen(call, answers))

    async def stage(self, name, query="", through_links=False, breaking=None):
        """Send the calls of a stage with a few workers, while `breaking` runs."""
        calls = [self.make_call(name, number, query) for number in range(CALLS_PER_STAGE)]
        stop = asyncio.ensure_future(breaking()) if breaking else None

        async def worker(number):
            for call in calls[number::WORKERS]:
                await self.send_call(call, through_links)

        await asyncio.gather(*(worker(number) for number in range(WORKERS)))
        if stop is not None:
            stop.cancel()
        for target in SERVICES:
            await self.fleet.arm_fault(target, "")
        self.fleet.network.heal()

    async def cut_callers(self, names):
        """Reset the callers' connections at intervals shorter than a slow call."""
        while True:
            await asyncio.sleep(self.random.uniform(0.05, 0.8 * SLOW_S))
            for name in names:
                self.fleet.network.links[name].cut()

    async def drop_sent_answers(self, names):
        """Drop all answers to callers, and reset the links once the routers have sent them."""
        links = [self.fleet.network.links[name] for name in names]

        async def are_idle():
            states = [await self.fleet.state(name) for name in self.fleet.routers]
            return not any(state["requests_in_progress"] for state in states)

        for link in links:
            link.impair(SILENT)
        while True:
            await asyncio.sleep(ARRIVAL_S)
            await wait_until(are_idle, 20, "answers given by the routers")
            for link in links:
                link.cut()

    async def refuse_intermittently(self):
        """Let random links reset and refuse connections for short periods."""
        links = [self.fleet.network.links[name] for name in SERVICES]
        try:
            while True:
                link = self.random.choice(links)
                link.accepting = False
                link.cut()
                await asyncio.sleep(self.random.uniform(0.02, 0.1))
                link.accepting = True
        finally:
            for link in links:
                link.accepting = True

    async def lose_answers(self, names):
        """Forward calls but drop their answers, then reset the links."""
        links = [self.fleet.network.links[name] for name in names]
        while True:
            link = self.random.choice(links)
            link.impair(SILENT)
            await asyncio.sleep(self.random.uniform(0.1, 0.3))
            link.cut()
            link.impair(LinkImpairment())

    async def arm_all(self, fault, count):
        """Arm one fault at every service."""
        for target in SERVICES:
            await self.fleet.arm_fault(target, fault, count)

    async def run_stages(self):
        """Break each stage of a call in turn."""
        callers = [f"caller>{name}" for name in self.fleet.routers]
        await self.stage("unbroken")
        await self.arm_all("refuse", 4)
        await self.stage("refused")
        await self.stage("before-send", breaking=self.refuse_intermittently)
        # As many as there are calls: with two per service, the calls without a key, which wait for
        # no claim, took all the resets of two services and those with a key none (3 of 14).
        await self.arm_all("reset_after_read", CALLS_PER_STAGE)
        await self.stage("after-send")
        await self.stage(
            "silent", f"?delay_s={SLOW_S}", breaking=lambda: self.lose_answers(SERVICES)
        )
        await self.arm_all("cut_answer", 2)
        await self.stage("mid-answer", f"?size_bytes={LARGE_BYTES}")
        await self.arm_all("wrong_length", 2)
        await self.stage("short")
        await self.arm_all("others_id", 2)
        await self.stage("crossed")
        await self.stage(
            "caller-cut",
            f"?delay_s={SLOW_S}",
            through_links=True,
            breaking=lambda: self.cut_callers(callers),
        )
        await self.stage(
            "answer-lost", through_links=True, breaking=lambda: self.drop_sent_answers(callers)
        )

    async def kill_router(self):
        """Kill a router that waits for answers; callers resend through the others."""
        calls = [self.make_call("killed", number, "?delay_s=1") for number in range(6)]
        calls = [
            call._replace(routers=("router-2", "router-0", "router-1"), key=f"key-{call.body}")
            for call in calls
        ]
        doing = [asyncio.ensure_future(self.send_call(call)) for call in calls]

        async def are_running():
            runs = await self.fleet.total_counts("runs_by_body")
            return all(runs[xxhash.xxh3_128_hexdigest(call.body)] for call in calls)

        await wait_until(are_running, 20, "the calls at their services")
        await self.fleet.harness.processes["router-2"].kill()
        await asyncio.gather(*doing)

    def is_expected_answer(self, call, answer):
        """Return whether an answer is the expected one for this call."""
        size_bytes = LARGE_BYTES if "size_bytes" in call.query else 0
        expected = expected_service_answer(1, "POST", "/tags", call.body, size_bytes)
        return answer.is_complete and json.loads(answer.body) == expected

    async def check(self):
        """Check every answer against the services' counts; return the verdict counts."""
        by_id = await self.fleet.total_counts("runs_by_id")
        by_key = await self.fleet.total_counts("runs_by_key")
        by_body = await self.fleet.total_counts("runs_by_body")
        self.assertEqual([name for name, runs in by_key.items() if runs > 1], [])
        self.assertEqual([name for name, runs in by_id.items() if runs > 1], [])
        verdicts = Counter()
        for call, answers in self.seen:
            runs = by_body[xxhash.xxh3_128_hexdigest(call.body)]
            self.assertLessEqual(runs, 1, call)
            for answer in answers:
                verdicts[answer.verdict or "lost"] += 1
                if answer.verdict == "not-run":
                    self.assertGreaterEqual(answer.status, 400, (call, answer))
                    self.assertEqual(by_id[answer.request_id], 0, (call, answer))
                if answer.verdict == "ran" and answer.status < 400:
                    self.assertEqual(runs, 1, (call, answer))
                    self.assertTrue(self.is_expected_answer(call, answer), (call, answer))
                if answer.status == 200 and answer.is_complete:
                    self.assertTrue(self.is_expected_answer(call, answer), (call, answer))
                if answer.status >= 400:
                    self.assertEqual(json.loads(answer.body)["error"]["verdict"], answer.verdict)
            if not call.key and answers[0].verdict == "not-run":
                self.assertEqual(runs, 0, (call, answers))
        return verdicts

    def check_coverage(self, faults, verdicts):
        """Check that every stage failed and that every kind of answer occurred."""
        for fault in ("refuse", "reset_after_read", "cut_answer", "wrong_length", "others_id"):
            self.assertGreater(faults[fault], 0, fault)
        for verdict in ("not-run", "may-have-run", "ran", "lost"):
            self.assertGreater(verdicts[verdict], 0, verdicts)
        stages = {call.body.decode().rpartition("-")[0] for call, _ in self.seen}
        self.assertEqual(len(stages), 11)
        for stage in ("after-send", "caller-cut", "answer-lost", "killed"):
            resent = [
                answers for call, answers in self.seen if call.body.decode().startswith(stage)
            ]
            self.assertTrue(any(len(answers) > 1 for answers in resent), (stage, resent))

    @asyncio_test
    async def test_nothing_runs_twice_and_every_verdict_is_true(self):
        await self.start()
        await self.run_stages()
        await self.kill_router()
        verdicts = await self.check()
        self.check_coverage(await self.fleet.total_counts("faults"), verdicts)
        resend_verdicts = [
            answers[-1].verdict
            for call, answers in self.seen
            if call.key and answers[0] == LOST_ANSWER and answers[-1] != LOST_ANSWER
        ]
        self.assertIn("ran", resend_verdicts, "a resend gets the first outcome")
        self.assertIn("may-have-run", resend_verdicts)
        print(f"\nseed {SEED}: {len(self.seen)} calls, answers {dict(verdicts)}")
