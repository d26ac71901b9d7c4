"""Proofs with real processes: a leader cut off in silence, a race, a lost answer.

Delays are printed, never asserted: the machine that runs this may be busy.
"""

import asyncio
import tempfile
import time
from pathlib import Path

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from damaskwind.commands.tests.fault_cluster import (
    DEADLINE_S,
    DOMAINS,
    FaultCluster,
    viewer_intent,
)
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.harness import wait_until
from damaskwind.standins.impairment import Direction, Impairment

REPLICAS = ("control-0", "control-1", "control-2")
ANSWER_LOST = Direction(to_caller=Impairment(blackhole=True))


class SilentLeaderTest(TestCase):
    """Three replicas and eight routers, one of them alone with the leader."""

    timeout = 150

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = FaultCluster(reactor, Path(folder.name))
        self.addCleanup(lambda: to_deferred(self.cluster.stop()))

    async def stopped_answering(self, leader):
        """Tell whether a replica has ceased to call itself current or leader."""
        told = await self.cluster.replica_status(leader)
        return not told["is_current"] and told["role"] != "leader"

    @asyncio_test
    async def test_isolated_leader_stops_and_nothing_is_reverted(self):
        cluster = self.cluster
        await cluster.start_replicas()
        leader = await cluster.leader()
        others = tuple(name for name in REPLICAS if name != leader)
        routers = await cluster.start_routers(7)
        # Without gossip: whatever it learns comes over a stream of a replica.
        await cluster.start_router("stranded", DOMAINS[REPLICAS.index(leader)])
        before = await cluster.change(others[0], "before")
        await cluster.time_in_force([*routers, "stranded"], before.revision)
        open_plan = await cluster.plan(leader, viewer_intent("never"))

        cluster.isolate(leader, but_for=("stranded",))
        cluster.cut(*(("stranded", name) for name in others))
        cut_s = time.monotonic()
        status, body = await cluster.ask(leader, "POST", f"/plans/{open_plan}/confirm", {})
        refused_s = time.monotonic() - cut_s
        self.assertIn(status, (503, 504), body)
        self.assertEqual(body["error"]["nothing_changed"], status == 503)
        await wait_until(
            lambda: self.stopped_answering(leader), DEADLINE_S, "the end of its leadership"
        )
        stopped_s = time.monotonic() - cut_s
        status, body = await cluster.ask(leader, "POST", "/intents", viewer_intent("minority"))
        self.assertEqual((status, body["error"]["code"]), (503, "no_quorum"))

        during = await cluster.change_somewhere(others, "during")
        going_on_s = time.monotonic() - cut_s
        in_force_s = await cluster.time_in_force(routers, during.revision)
        self.assertEqual(during.revision, before.revision + 1)

        async def knows_it_may_be_behind():
            return (await cluster.router_state("stranded"))["may_be_behind"]

        await wait_until(knows_it_may_be_behind, DEADLINE_S, "a stranded router that says so")
        state = await cluster.router_state("stranded")
        self.assertEqual(state["revision_in_force"], before.revision)

        cluster.heal()
        after = await cluster.change_somewhere((leader, *others), "after")
        healed_s = await cluster.time_in_force([*routers, "stranded"], after.revision)
        status, body = await cluster.ask(leader, "POST", f"/plans/{open_plan}/confirm", {})
        self.assertEqual(status, 409, body)
        self.assertEqual(await cluster.faults(), [])
        self.assertEqual(cluster.seen["stranded"][-1], after.revision)
        print(
            f"\nafter the cut: confirm refused {refused_s:.1f} s, no longer current"
            f" {stopped_s:.1f} s, a change confirmed by the majority {going_on_s:.1f} s;"
            f" in force on 7 routers {in_force_s:.2f} s after its confirmation;"
            f" after the heal on 8 routers {healed_s:.2f} s"
        )


class OperatorsTest(TestCase):
    """Three replicas, and operators who race or lose an answer."""

    timeout = 120

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = FaultCluster(reactor, Path(folder.name))
        self.addCleanup(lambda: to_deferred(self.cluster.stop()))

    async def race(self, number):
        """Let two operators plan on one revision and confirm at once, through two replicas."""
        cluster = self.cluster
        sides = []
        for operator, at in (("mei", REPLICAS[number % 3]), ("anis", REPLICAS[(number + 1) % 3])):
            name = f"{operator}-{number}"
            plan_id = await cluster.plan(at, viewer_intent(name), f"dw-{operator}")
            sides.append((operator, at, name, plan_id))
        answers = await asyncio.gather(
            *(
                cluster.ask(at, "POST", f"/plans/{plan_id}/confirm", {}, f"dw-{operator}")
                for operator, at, _name, plan_id in sides
            )
        )
        self.assertEqual(sorted(status for status, _body in answers), [200, 409], answers)
        winner = 0 if answers[0][0] == 200 else 1
        operator, _at, name, plan_id = sides[winner]
        won = cluster.note(answers[winner][1], name)
        (conflict,) = answers[1 - winner][1]["error"]["outcome"]["conflicts"]
        self.assertEqual(conflict["plan_id"], plan_id)
        self.assertEqual(conflict["operator"], operator)
        self.assertEqual(conflict["revision"], won.revision)
        self.assertIn(name, " ".join(conflict["touches"]))
        return won

    @asyncio_test
    async def test_of_two_on_one_revision_one_wins_and_the_other_is_told_who(self):
        await self.cluster.start_replicas()
        wins = [await self.race(number) for number in range(6)]
        self.assertEqual([won.revision for won in wins], list(range(2, 8)))
        self.assertEqual(await self.cluster.faults(), [])

    async def lose_the_answer(self, at, name):
        """Confirm through a link that passes the request on and no answer back."""
        cluster = self.cluster
        target = cluster.harness.processes[at].ready["operator_address"]
        plan_id = await cluster.plan(at, viewer_intent(name))
        link = cluster.network.add_link(f"operator>{name}", "tcp", parse_address(target))
        link.impair(ANSWER_LOST)
        path = f"/plans/{plan_id}/confirm"
        lost = asyncio.ensure_future(cluster.ask(str(link.address), "POST", path, {}))

        async def is_closed():
            _status, body = await cluster.ask(at, "GET", f"/plans/{plan_id}")
            return "outcome" in body

        await wait_until(is_closed, DEADLINE_S, "the confirmation to be taken")
        self.assertFalse(lost.done())
        link.cut()
        self.assertEqual(await lost, (0, {}))
        return plan_id

    async def resend(self, at, plan_id, name):
        """Resend a confirmation, which must give the first outcome."""
        path = f"/plans/{plan_id}/confirm"
        status, body = await self.cluster.ask(at, "POST", path, {})
        self.assertEqual((status, body.get("repeated")), (200, True), body)
        return self.cluster.note(body, name)

    @asyncio_test
    async def test_lost_answer_is_told_elsewhere_also_by_the_next_leader(self):
        cluster = self.cluster
        await cluster.start_replicas()
        leader = await cluster.leader()
        others = tuple(name for name in REPLICAS if name != leader)
        plan_id = await self.lose_the_answer(others[0], "first")
        first = await self.resend(others[1], plan_id, "first")
        self.assertEqual(first.revision, 2)
        self.assertEqual(await self.resend(leader, plan_id, "first"), first)

        plan_id = await self.lose_the_answer(leader, "second")
        await cluster.kill(leader)
        await wait_until(lambda: cluster.leader_among(others), DEADLINE_S, "another leader")
        second = await self.resend(others[0], plan_id, "second")
        self.assertEqual(second.revision, 3)
        await cluster.restart(leader)
        self.assertEqual(await self.resend(leader, plan_id, "second"), second)
        self.assertEqual(await cluster.faults(), [])
