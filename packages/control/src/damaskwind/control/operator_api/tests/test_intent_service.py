"""Tests of planning and confirming across replicas that fail."""

from twisted.trial.unittest import TestCase

from damaskwind.control.operator_api.intent_service import IntentLimits, IntentService
from damaskwind.control.operator_api.refusal import OperatorCode, OperatorRefusedError
from damaskwind.control.operator_api.tests.objects import (
    SECRETS,
    account,
    base_objects,
    operators,
    priority_class,
)
from damaskwind.control.operator_api.tests.shared_log import FakeReplica, SharedLog
from damaskwind.control.state.command import Actor, ConfirmCommand, WantedState, encode_command
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.runtime.bridge import asyncio_test

ORIGIN = "10.0.0.7 via control-a"


class Fleet:
    """Three replicas of one log, each with its own service and wall clock."""

    def __init__(self):
        self.log = SharedLog()
        self.replicas = [FakeReplica(self.log) for _ in range(3)]
        self.clocks_s = [1000.0, 1000.0, 1000.0]
        self.services = [self._service(index) for index in range(3)]

    def _service(self, index):
        replica = self.replicas[index]
        limits = IntentLimits(plan_ttl_s=100.0)
        return IntentService(replica, replica.machine, limits, lambda: self.clocks_s[index])

    async def plan(self, at, operator, intent):
        await self.services[at].read_current()
        return (await self.services[at].plan(operator, ORIGIN, intent))["plan"]

    async def confirm(self, at, operator, plan_id):
        await self.services[at].read_current()
        return await self.services[at].confirm(operator, ORIGIN, plan_id)

    async def change(self, operator, intent):
        plan = await self.plan(0, operator, intent)
        return await self.confirm(0, operator, plan["id"])

    def revision(self, at=0):
        self.replicas[at].catch_up()
        return self.replicas[at].machine.configuration.revision


async def started_fleet():
    """Return a fleet at revision 1, with operators and one account."""
    fleet = Fleet()
    await fleet.change("bootstrap", {**operators(), **base_objects()})
    return fleet


class IntentServiceTest(TestCase):
    async def refusal(self, awaitable):
        with self.assertRaises(OperatorRefusedError) as caught:
            await awaitable
        return caught.exception

    @asyncio_test
    async def test_plan_changes_nothing_until_confirmed(self):
        fleet = await started_fleet()
        plan = await fleet.plan(0, "mei", {"accounts": {"clerks": account(models=[])}})
        self.assertEqual(fleet.revision(), 1)
        self.assertEqual(plan["difference"], ["change accounts.clerks.models: -register@v1+tags"])
        self.assertIn("loses register@v1", plan["warnings"][0])
        done = await fleet.confirm(0, "mei", plan["id"])
        self.assertEqual((done["outcome"]["revision"], fleet.revision()), (2, 2))

    @asyncio_test
    async def test_confirm_resent_elsewhere_after_lost_answer_gives_first_outcome(self):
        fleet = await started_fleet()
        plan = await fleet.plan(0, "mei", priority_class("batch", 5))
        fleet.replicas[0].next_results.append("lost_answer")
        unknown = await self.refusal(fleet.confirm(0, "mei", plan["id"]))
        self.assertEqual(unknown.code, OperatorCode.OUTCOME_UNKNOWN)
        self.assertFalse(unknown.nothing_changed)
        self.assertIn(plan["id"], unknown.details["ask"])
        await fleet.change("mei", priority_class("later", 6))
        for replica in fleet.replicas:
            replica.catch_up()
            replica.restart_from_snapshot()
        again = await fleet.confirm(2, "mei", plan["id"])
        self.assertTrue(again["repeated"])
        self.assertEqual(again["outcome"]["revision"], 2)
        self.assertEqual(fleet.revision(2), 3)

    @asyncio_test
    async def test_a_commit_without_result_is_unknown_and_resolved_when_resent(self):
        fleet = await started_fleet()
        plan = await fleet.plan(0, "mei", priority_class("batch", 5))
        fleet.replicas[0].next_results.append("no_result")
        unknown = await self.refusal(fleet.confirm(0, "mei", plan["id"]))
        self.assertEqual(unknown.code, OperatorCode.OUTCOME_UNKNOWN)
        again = await fleet.confirm(1, "mei", plan["id"])
        self.assertEqual((again["repeated"], again["outcome"]["revision"]), (True, 2))

    @asyncio_test
    async def test_confirm_lost_before_the_log_commits_when_resent(self):
        fleet = await started_fleet()
        plan = await fleet.plan(0, "mei", priority_class("batch", 5))
        fleet.replicas[0].next_results.append("lost_command")
        await self.refusal(fleet.confirm(0, "mei", plan["id"]))
        again = await fleet.confirm(1, "mei", plan["id"])
        self.assertFalse(again["repeated"])
        self.assertEqual(fleet.revision(1), 2)

    @asyncio_test
    async def test_bootstrap_confirm_may_be_resent_though_operators_exist_now(self):
        fleet = Fleet()
        plan = await fleet.plan(0, "bootstrap", operators())
        fleet.replicas[0].next_results.append("lost_answer")
        await self.refusal(fleet.confirm(0, "bootstrap", plan["id"]))
        again = await fleet.confirm(1, "bootstrap", plan["id"])
        self.assertEqual((again["repeated"], again["outcome"]["revision"]), (True, 1))
        refused = await self.refusal(fleet.plan(1, "bootstrap", priority_class("batch", 5)))
        self.assertEqual(refused.code, OperatorCode.FORBIDDEN)

    @asyncio_test
    async def test_second_confirm_on_one_revision_is_refused_with_the_conflicting_operator(self):
        fleet = await started_fleet()
        batch_plan = await fleet.plan(0, "mei", priority_class("batch", 5))
        night_plan = await fleet.plan(1, "tuan", priority_class("night", 6))
        self.assertEqual(batch_plan["base_revision"], night_plan["base_revision"])
        await fleet.confirm(1, "mei", night_plan["id"])
        lost = await self.refusal(fleet.confirm(0, "mei", batch_plan["id"]))
        self.assertEqual((lost.code, lost.nothing_changed), (OperatorCode.CONFLICT, True))
        conflict = lost.details["outcome"]["conflicts"][0]
        self.assertEqual((conflict["operator"], conflict["revision"]), ("mei", 2))
        self.assertEqual(conflict["touches"], ["priority_classes.night"])
        resent = await self.refusal(fleet.confirm(2, "mei", batch_plan["id"]))
        self.assertEqual(resent.code, OperatorCode.CONFLICT)
        await fleet.change("mei", priority_class("batch", 5))
        self.assertEqual(fleet.revision(), 3)

    @asyncio_test
    async def test_a_plan_is_rebased_when_another_change_is_committed_first(self):
        fleet = await started_fleet()
        night = await fleet.plan(1, "mei", priority_class("night", 6))
        payload = encode_command(ConfirmCommand(Actor("mei", ORIGIN, 1000.0), night["id"]))
        fleet.replicas[0].before_propose = lambda: fleet.log.payloads.append(payload)
        plan = await fleet.plan(0, "mei", priority_class("batch", 5))
        self.assertEqual(plan["base_revision"], 2)

    @asyncio_test
    async def test_plans_expire_and_a_clock_that_jumped_does_not_revive_them(self):
        fleet = await started_fleet()
        for jump_s in (101.0, -61.0):
            plan = await fleet.plan(0, "mei", priority_class("batch", 5))
            fleet.clocks_s[1] = 1000.0 + jump_s
            refused = await self.refusal(fleet.confirm(1, "mei", plan["id"]))
            self.assertEqual(refused.code, OperatorCode.EXPIRED)
            again = await self.refusal(fleet.confirm(0, "mei", plan["id"]))
            self.assertEqual(again.code, OperatorCode.EXPIRED)
        self.assertEqual(fleet.revision(), 1)
        states = set()
        for replica in fleet.replicas:
            replica.catch_up()
            states.add(replica.machine.snapshot())
        self.assertEqual(len(states), 1)

    @asyncio_test
    async def test_without_majority_the_refusal_states_that_nothing_was_changed(self):
        fleet = await started_fleet()
        plan = await fleet.plan(0, "mei", priority_class("batch", 5))
        fleet.replicas[0].has_majority = False
        refused = await self.refusal(fleet.confirm(0, "mei", plan["id"]))
        self.assertEqual((refused.code, refused.nothing_changed), (OperatorCode.NO_QUORUM, True))
        fleet.replicas[1].next_results.append("refuse")
        refused = await self.refusal(fleet.confirm(1, "mei", plan["id"]))
        self.assertEqual((refused.code, refused.nothing_changed), (OperatorCode.NO_QUORUM, True))
        self.assertEqual(refused.details["leader"], "other")
        self.assertEqual(fleet.revision(2), 1)

    @asyncio_test
    async def test_roles_are_enforced_and_forbidden_attempts_are_on_the_trail(self):
        fleet = await started_fleet()
        refused = await self.refusal(fleet.plan(0, "lin", priority_class("batch", 5)))
        self.assertEqual(refused.code, OperatorCode.FORBIDDEN)
        plan = await fleet.plan(0, "tuan", priority_class("batch", 5))
        refused = await self.refusal(fleet.confirm(0, "tuan", plan["id"]))
        self.assertEqual(refused.code, OperatorCode.FORBIDDEN)
        trail = list(fleet.replicas[0].machine.trail.entries())
        forbidden = [(item.operator, item.action) for item in trail if item.result == "forbidden"]
        self.assertEqual(forbidden, [("lin", "plan"), ("tuan", "confirm")])
        self.assertEqual(trail[-1].origin, ORIGIN)
        await fleet.confirm(0, "mei", plan["id"])
        self.assertEqual(fleet.revision(), 2)

    @asyncio_test
    async def test_every_mistake_is_reported_and_nothing_is_proposed(self):
        fleet = await started_fleet()
        length = len(fleet.log.payloads)
        wrong = account(priority_class="gone", max_tokens_per_s=0, key_hashes=["dw-raw-key"])
        refused = await self.refusal(
            fleet.plan(0, "mei", {"accounts": {"a": wrong}, "delete": {"models": ["register"]}})
        )
        mistakes = refused.details["mistakes"]
        self.assertEqual(refused.code, OperatorCode.INVALID_INTENT)
        for part in ("priority_class", "max_tokens_per_s", "key_hashes[0]", "models[0].model"):
            self.assertTrue(any(part in mistake for mistake in mistakes), (part, mistakes))
        self.assertNotIn("dw-raw-key", str(mistakes))
        unknown = {"accounts": {"a": account(max_tokens=1)}, "acounts": {}}
        refused = await self.refusal(fleet.plan(0, "mei", unknown))
        self.assertEqual(len(refused.details["mistakes"]), 2)
        self.assertIn("did you mean", refused.details["mistakes"][1])
        unknown = {"policy": {"placement": "luck"}}
        refused = await self.refusal(fleet.plan(0, "mei", unknown))
        self.assertIn("policy.placement", refused.details["mistakes"][0])
        self.assertEqual(len(fleet.log.payloads), length)

    @asyncio_test
    async def test_the_last_confirmer_cannot_be_deleted(self):
        fleet = await started_fleet()
        refused = await self.refusal(fleet.plan(0, "mei", {"delete": {"operators": ["mei"]}}))
        self.assertEqual(
            refused.details["mistakes"], ["operators: at least one must have the role 'confirmer'"]
        )

    @asyncio_test
    async def test_an_intent_already_in_force_needs_no_plan(self):
        fleet = await started_fleet()
        answer = await fleet.services[0].plan("mei", ORIGIN, priority_class())
        self.assertEqual((answer["plan"], answer["already_in_force"]), (None, True))

    @asyncio_test
    async def test_neither_keys_nor_full_hashes_appear_in_plans_or_on_the_trail(self):
        fleet = await started_fleet()
        plan = await fleet.plan(0, "mei", {"accounts": {"clerks": account(key_hashes=["ab" * 32])}})
        machine = fleet.replicas[0].machine
        shown = str(plan) + str(list(machine.trail.entries()))
        hashes = [item.key_hash for item in machine.configuration.operators.values()]
        for secret in (*SECRETS, *hashes, "ab" * 32):
            self.assertNotIn(secret, shown)
        self.assertIn("sha256:abababab", shown)

    @asyncio_test
    async def test_repeated_orders_keep_their_fencing_number_and_it_only_grows(self):
        fleet = await started_fleet()
        wanted = WantedState("draining")
        numbers = []
        for at, order_id in ((0, "one"), (1, "two"), (2, "one")):
            await fleet.services[at].read_current()
            done = await fleet.services[at].order("mei", ORIGIN, order_id, "engine-1", wanted)
            numbers.append(done["fencing_number"])
        self.assertEqual(numbers, [1, 2, 1])
        restored = ConfigurationMachine()
        restored.restore(fleet.replicas[2].machine.snapshot())
        self.assertEqual(restored.orders.fencing_number, 2)
        self.assertEqual(restored.orders.orders()[0].order_id, "two")
