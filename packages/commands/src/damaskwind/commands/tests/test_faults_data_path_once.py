"""Proof with real processes: no call runs twice, whatever breaks at whichever stage.

Callers send calls that are not idempotent through routers in three failure
domains, with and without a key, while links, targets and callers break by a
seeded schedule. What the services counted is the oracle.
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

from damaskwind.commands.tests.data_path_fleet import DOMAINS, LOST, Answer, DataPathFleet
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.harness import wait_until
from damaskwind.standins.impairment import Impairment, LinkImpairment
from damaskwind.standins.service import expected_service_answer

SEED = 20261202
CALLS_PER_STAGE = 8
LANES = 4
RESENDS = 4
RESEND_WAIT_S = 0.1
LARGE_BYTES = 400_000
SLOW_S = 0.25
ARRIVAL_S = 0.3
SERVICES = ("edge-0", "edge-1", "edge-2")
SILENT = LinkImpairment(to_caller=Impairment(blackhole=True))


class Call(NamedTuple):
    """One call that a caller wants done, by its unique body."""

    body: bytes
    key: str
    query: str
    routers: tuple[str, ...]


class Seen(NamedTuple):
    """A call and what its caller got: the first answer, then those to resends."""

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
        """Start the holders, three routers and three services behind links."""
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
        await fleet.until_ready()
        await wait_until(self.grants_keys, 40, "holders that grant keys")

    async def grants_keys(self):
        """Tell whether each router gets a majority of holders."""
        answers = [
            await self.fleet.call(address, b"warm-%d" % number, f"warm-{number}")
            for number, address in enumerate(self.fleet.routers.values())
        ]
        return all(answer.status == 200 for answer in answers)

    def make_call(self, stage, number, query):
        """Draw a call: with or without a key, through the routers in a drawn order."""
        name = f"{stage}-{number}"
        routers = self.random.sample(sorted(self.fleet.routers), 3)
        key = f"key-{name}" if number % 2 else ""
        return Call(name.encode(), key, query, tuple(routers))

    def resends(self, answer):
        """Tell whether a caller with a key would ask again."""
        return not answer.ended or answer.status >= 409

    async def do(self, call, through_links=False):
        """Send a call; with a key also again, through the other domains' routers."""
        first = self.fleet.routers[call.routers[0]]
        if through_links:
            first = str(self.fleet.network.links[f"caller>{call.routers[0]}"].address)
        answers = [await self.fleet.call(first, call.body, call.key, call.query)]
        while call.key and self.resends(answers[-1]) and len(answers) <= RESENDS:
            await asyncio.sleep(RESEND_WAIT_S)
            router = self.fleet.routers[call.routers[len(answers) % 3]]
            answers.append(await self.fleet.call(router, call.body, call.key, call.query))
        self.seen.append(Seen(call, answers))

    async def stage(self, name, query="", through_links=False, breaking=None):
        """Send a stage's calls in a few lanes, while `breaking` goes on."""
        calls = [self.make_call(name, number, query) for number in range(CALLS_PER_STAGE)]
        stop = asyncio.ensure_future(breaking()) if breaking else None

        async def lane(number):
            for call in calls[number::LANES]:
                await self.do(call, through_links)

        await asyncio.gather(*(lane(number) for number in range(LANES)))
        if stop is not None:
            stop.cancel()
        for target in SERVICES:
            await self.fleet.arm(target, "")
        self.fleet.network.heal()

    async def cut_callers(self, names):
        """Reset what callers have open, more often than a slow call takes."""
        while True:
            await asyncio.sleep(self.random.uniform(0.05, 0.8 * SLOW_S))
            for name in names:
                self.fleet.network.links[name].cut()

    async def lose_what_was_answered(self, names):
        """Hold all answers to callers back, and reset once the routers have given them."""
        links = [self.fleet.network.links[name] for name in names]

        async def have_answered():
            states = [await self.fleet.state(name) for name in self.fleet.routers]
            return not any(state["requests_in_progress"] for state in states)

        for link in links:
            link.impair(SILENT)
        while True:
            await asyncio.sleep(ARRIVAL_S)
            await wait_until(have_answered, 20, "answers given by the routers")
            for link in links:
                link.cut()

    async def refuse_now_and_then(self):
        """Let links refuse and reset for a while, so that nothing gets through."""
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
        """Let calls through and hold their answers back, then reset."""
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
            await self.fleet.arm(target, fault, count)

    async def run_stages(self):
        """Break every stage of a call in turn."""
        callers = [f"caller>{name}" for name in self.fleet.routers]
        await self.stage("unbroken")
        await self.arm_all("refuse", 4)
        await self.stage("refused")
        await self.stage("before-send", breaking=self.refuse_now_and_then)
        # As many as there are calls: with two a service, the calls without a key, which wait
        # for no claim, met all the resets of two services, and those with one none (3 of 14).
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
            "answer-lost", through_links=True, breaking=lambda: self.lose_what_was_answered(callers)
        )

    async def router_dies(self):
        """Kill a router while it waits for answers; callers resend through the others."""
        calls = [self.make_call("killed", number, "?delay_s=1") for number in range(6)]
        calls = [
            call._replace(routers=("router-2", "router-0", "router-1"), key=f"key-{call.body}")
            for call in calls
        ]
        doing = [asyncio.ensure_future(self.do(call)) for call in calls]

        async def are_running():
            runs = await self.fleet.counted("runs_by_body")
            return all(runs[xxhash.xxh3_128_hexdigest(call.body)] for call in calls)

        await wait_until(are_running, 20, "the calls at their services")
        await self.fleet.harness.processes["router-2"].kill()
        await asyncio.gather(*doing)

    def whole_answer(self, call, answer):
        """Tell whether an answer is the one that this call must get."""
        size_bytes = LARGE_BYTES if "size_bytes" in call.query else 0
        expected = expected_service_answer(1, "POST", "/tags", call.body, size_bytes)
        return answer.ended and json.loads(answer.body) == expected

    async def check(self):
        """Hold every answer against what the services counted."""
        by_id = await self.fleet.counted("runs_by_id")
        by_key = await self.fleet.counted("runs_by_key")
        by_body = await self.fleet.counted("runs_by_body")
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
                    self.assertTrue(self.whole_answer(call, answer), (call, answer))
                if answer.status == 200 and answer.ended:
                    self.assertTrue(self.whole_answer(call, answer), (call, answer))
                if answer.status >= 400:
                    self.assertEqual(json.loads(answer.body)["error"]["verdict"], answer.verdict)
            if not call.key and answers[0].verdict == "not-run":
                self.assertEqual(runs, 0, (call, answers))
        return verdicts

    def reached(self, faults, verdicts):
        """Make sure that every stage was broken and every kind of answer seen."""
        for fault in ("refuse", "reset_after_read", "cut_answer", "wrong_length", "others_id"):
            self.assertGreater(faults[fault], 0, fault)
        for verdict in ("not-run", "may-have-run", "ran", "lost"):
            self.assertGreater(verdicts[verdict], 0, verdicts)
        stages = {call.body.decode().rpartition("-")[0] for call, _ in self.seen}
        self.assertEqual(len(stages), 11)
        for stage in ("after-send", "caller-cut", "answer-lost", "killed"):
            again = [answers for call, answers in self.seen if call.body.decode().startswith(stage)]
            self.assertTrue(any(len(answers) > 1 for answers in again), (stage, again))

    @asyncio_test
    async def test_nothing_runs_twice_and_every_verdict_is_true(self):
        await self.start()
        await self.run_stages()
        await self.router_dies()
        verdicts = await self.check()
        self.reached(await self.fleet.counted("faults"), verdicts)
        lost_then_told = [
            answers[-1].verdict
            for call, answers in self.seen
            if call.key and answers[0] == LOST and answers[-1] != LOST
        ]
        self.assertIn("ran", lost_then_told, "a resend gets the first outcome")
        self.assertIn("may-have-run", lost_then_told)
        print(f"\nseed {SEED}: {len(self.seen)} calls, answers {dict(verdicts)}")
