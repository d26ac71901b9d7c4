"""Fault tests with real processes: concurrent operators, and a lost answer to an operator."""

import asyncio

from damaskwind.commands.tests.fault_cluster import (
    DEADLINE_S,
    REPLICAS,
    FaultTestCase,
    viewer_intent,
)
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.harness import wait_until
from damaskwind.standins.impairment import Impairment, LinkImpairment

ANSWER_LOST = LinkImpairment(to_caller=Impairment(blackhole=True))


class OperatorsTest(FaultTestCase):
    """Three replicas, with operators that race or lose an answer."""

    async def race(self, number):
        """Let two operators plan on the same revision and confirm concurrently at two replicas."""
        cluster = self.cluster
        sides = []
        for operator, at in (("mei", REPLICAS[number % 3]), ("anis", REPLICAS[(number + 1) % 3])):
            name = f"{operator}-{number}"
            plan_id = await cluster.plan(at, viewer_intent(name), f"dw-{operator}")
            sides.append((operator, at, name, plan_id))
        answers = await asyncio.gather(
            *(
                cluster.request(at, "POST", f"/plans/{plan_id}/confirm", {}, f"dw-{operator}")
                for operator, at, _name, plan_id in sides
            )
        )
        self.assertEqual(sorted(status for status, _body in answers), [200, 409], answers)
        winner = 0 if answers[0][0] == 200 else 1
        operator, _at, name, plan_id = sides[winner]
        won = cluster.record_confirmation(answers[winner][1], name)
        (conflict,) = answers[1 - winner][1]["error"]["outcome"]["conflicts"]
        self.assertEqual(conflict["plan_id"], plan_id)
        self.assertEqual(conflict["operator"], operator)
        self.assertEqual(conflict["revision"], won.revision)
        self.assertIn(name, " ".join(conflict["touches"]))
        return won

    @asyncio_test
    async def test_concurrent_plans_one_wins_and_the_other_gets_the_conflict(self):
        await self.cluster.start_replicas()
        wins = [await self.race(number) for number in range(6)]
        self.assertEqual([won.revision for won in wins], list(range(2, 8)))
        self.assertEqual(await self.cluster.find_faults(), [])

    async def confirm_with_lost_answer(self, at, name):
        """Confirm through a link that forwards the request and drops the answer."""
        cluster = self.cluster
        target = cluster.harness.processes[at].ready["operator_address"]
        plan_id = await cluster.plan(at, viewer_intent(name))
        link = cluster.network.add_link(f"operator>{name}", "tcp", parse_address(target))
        link.impair(ANSWER_LOST)
        path = f"/plans/{plan_id}/confirm"
        lost = asyncio.ensure_future(cluster.request(str(link.address), "POST", path, {}))

        async def is_closed():
            _status, body = await cluster.request(at, "GET", f"/plans/{plan_id}")
            return "outcome" in body

        await wait_until(is_closed, DEADLINE_S, "the confirmation to be committed")
        self.assertFalse(lost.done())
        link.cut()
        self.assertEqual(await lost, (0, {}))
        return plan_id

    async def resend(self, at, plan_id, name):
        """Resend a confirmation, which must return the first outcome."""
        path = f"/plans/{plan_id}/confirm"
        status, body = await self.cluster.request(at, "POST", path, {})
        self.assertEqual((status, body.get("repeated")), (200, True), body)
        return self.cluster.record_confirmation(body, name)

    @asyncio_test
    async def test_lost_answer_is_repeated_by_other_replicas_and_the_next_leader(self):
        cluster = self.cluster
        await cluster.start_replicas()
        leader = await cluster.leader()
        others = tuple(name for name in REPLICAS if name != leader)
        plan_id = await self.confirm_with_lost_answer(others[0], "first")
        first = await self.resend(others[1], plan_id, "first")
        self.assertEqual(first.revision, 2)
        self.assertEqual(await self.resend(leader, plan_id, "first"), first)

        plan_id = await self.confirm_with_lost_answer(leader, "second")
        await cluster.kill(leader)
        await wait_until(lambda: cluster.have_leader_among(others), DEADLINE_S, "another leader")
        second = await self.resend(others[0], plan_id, "second")
        self.assertEqual(second.revision, 3)
        await cluster.restart(leader)
        self.assertEqual(await self.resend(leader, plan_id, "second"), second)
        self.assertEqual(await cluster.find_faults(), [])
