"""Tests of the state machine, some against a simple oracle."""

from unittest import TestCase

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from damaskwind.control.audit.chain import verify_chain
from damaskwind.control.state import configuration_machine, plan_book
from damaskwind.control.state.command import Actor, ConfirmCommand, PlanCommand, encode_command
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.control.state.outcome import ResultStatus, decode_result
from damaskwind.model.configuration_codec import to_table
from damaskwind.model.exception import CorruptLogError

TTL_S = 100.0
NAMES = ("interactive", "batch", "night")


def actor(now_s=0.0, operator="bootstrap"):
    return Actor(operator, "10.0.0.7 via control-a", now_s)


def plan_command(plan_id, base_revision, change, now_s=0.0):
    return PlanCommand(actor(now_s), plan_id, base_revision, TTL_S, change, ("x",), ("x",), (), ())


def put(name, weight):
    return {"priority_classes": {name: {"name": name, "rank": 0, "weight": weight}}}


class Driven:
    """A machine with the index of its next command."""

    def __init__(self):
        self.machine = ConfigurationMachine()

    def apply(self, command):
        payload = command if isinstance(command, bytes) else encode_command(command)
        index = self.machine.applied_index + 1
        return decode_result(self.machine.apply(index, payload))


class ConfigurationMachineTest(TestCase):
    def setUp(self):
        self.driven = Driven()

    def test_commands_that_are_none_change_nothing_and_are_survived(self):
        for payload in (b"", b"\xff", b"[]", b'{"kind":"drop"}', b'{"kind":"confirm","x":1}'):
            result = self.driven.apply(payload)
            self.assertEqual(result.status, ResultStatus.MALFORMED)
        self.assertEqual(self.driven.machine.configuration.revision, 0)
        self.assertEqual(self.driven.machine.trail.last_sequence, 0)

    def test_an_index_that_was_applied_changes_nothing(self):
        self.driven.apply(plan_command("p", 0, put("batch", 1)))
        confirm = encode_command(ConfirmCommand(actor(), "p"))
        self.driven.apply(confirm)
        before = self.driven.machine.snapshot()
        self.driven.machine.apply(2, confirm)
        self.driven.machine.apply(1, encode_command(plan_command("other", 1, put("batch", 2))))
        self.assertEqual(self.driven.machine.snapshot(), before)

    def test_a_plan_resent_with_its_id_is_stored_once(self):
        first = self.driven.apply(plan_command("p", 0, put("batch", 1)))
        again = self.driven.apply(plan_command("p", 0, put("batch", 2)))
        self.assertEqual((first.repeated, again.repeated), (False, True))
        self.assertEqual(len(self.driven.machine.plans.open_plans()), 1)

    def test_a_plan_on_another_revision_is_sent_back(self):
        result = self.driven.apply(plan_command("p", 7, put("batch", 1)))
        self.assertEqual((result.status, result.revision), (ResultStatus.BASE_MOVED, 0))

    def test_a_plan_by_one_without_the_role_is_not_stored(self):
        command = plan_command("p", 0, put("batch", 1))._replace(actor=actor(0.0, "gone"))
        self.assertEqual(self.driven.apply(command).status, ResultStatus.FORBIDDEN)
        self.assertEqual(self.driven.machine.plans.open_plans(), ())

    def test_an_operator_who_is_gone_is_forbidden_and_the_plan_stays_open(self):
        self.driven.apply(plan_command("p", 0, put("batch", 1)))
        result = self.driven.apply(ConfirmCommand(actor(0.0, "gone"), "p"))
        self.assertEqual(result.status, ResultStatus.FORBIDDEN)
        result = self.driven.apply(ConfirmCommand(actor(), "p"))
        self.assertEqual(result.status, ResultStatus.CONFIRMED)

    def test_open_plans_are_bounded_by_number_and_by_size(self):
        for number in range(plan_book.OPEN_PLANS_PER_OPERATOR + 5):
            self.driven.apply(plan_command(f"p{number}", 0, put("batch", 1)))
        plans = self.driven.machine.plans
        self.assertEqual(len(plans.open_plans()), plan_book.OPEN_PLANS_PER_OPERATOR)
        forgotten = self.driven.apply(ConfirmCommand(actor(), "p0"))
        self.assertEqual(forgotten.status, ResultStatus.UNKNOWN_PLAN)
        large = {"policy": {"placement": "x" * (plan_book.OPEN_PLANS_BYTES // 3)}}
        for number in range(4):
            self.driven.apply(plan_command(f"large{number}", 0, large))
        self.assertLess(len(plans.open_plans()), 4)

    def test_outcomes_and_changes_are_bounded(self):
        self.addCleanup(setattr, plan_book, "KEPT_OUTCOMES", plan_book.KEPT_OUTCOMES)
        self.addCleanup(
            setattr, configuration_machine, "KEPT_CHANGES", configuration_machine.KEPT_CHANGES
        )
        plan_book.KEPT_OUTCOMES = 3
        configuration_machine.KEPT_CHANGES = 2
        for number in range(5):
            self.driven.apply(plan_command(f"p{number}", number, put("batch", number + 1)))
            self.driven.apply(ConfirmCommand(actor(), f"p{number}"))
        statuses = [self.driven.apply(ConfirmCommand(actor(), f"p{n}")).status for n in range(5)]
        self.assertEqual(statuses[:2], [ResultStatus.UNKNOWN_PLAN] * 2)
        self.assertEqual(statuses[2:], [ResultStatus.CONFIRMED] * 3)
        self.assertEqual(len(self.driven.machine.changes_after(0)), 2)

    def test_snapshots_of_another_kind_are_refused_and_change_nothing(self):
        self.driven.apply(plan_command("p", 0, put("batch", 1)))
        good = self.driven.machine.snapshot()
        other_version = good.replace(b"damaskwind state \x01", b"damaskwind state \x02")
        for wrong in (b"", b"x", good[:-1], other_version, good + b"x"):
            with self.assertRaises(CorruptLogError):
                self.driven.machine.restore(wrong)
        self.assertEqual(self.driven.machine.snapshot(), good)


class Plan:
    """What the oracle knows of a plan."""

    def __init__(self, base_revision, planned_s, name, weight):
        self.base_revision = base_revision
        self.planned_s = planned_s
        self.name = name
        self.weight = weight
        self.first = None


class MachineAgainstOracle(RuleBasedStateMachine):
    """Plan, confirm, resend and restart two replicas; a dict is the oracle."""

    def __init__(self):
        super().__init__()
        self.driven = Driven()
        self.follower = ConfigurationMachine()
        self.payloads = []
        self.objects = {}
        self.confirmed = []
        self.plans = {}
        self.now_s = 0.0

    def commit(self, command):
        payload = encode_command(command)
        self.payloads.append(payload)
        return self.driven.apply(payload)

    @rule(jump_s=st.sampled_from([1.0, 40.0, 101.0, -30.0, -200.0]))
    def pass_time(self, jump_s):
        self.now_s += jump_s

    @rule(name=st.sampled_from(NAMES), weight=st.integers(0, 5))
    def plan(self, name, weight):
        plan_id = f"p{len(self.plans)}"
        if weight == 0 and name in self.objects:
            change = {"delete": {"priority_classes": [name]}}
        else:
            change = put(name, weight)
        base = len(self.confirmed)
        self.commit(plan_command(plan_id, base, change, self.now_s))
        self.plans[plan_id] = Plan(
            base, self.now_s, name, weight if "delete" not in change else None
        )

    @rule(data=st.data())
    def confirm(self, data):
        if not self.plans:
            return
        plan_id = data.draw(st.sampled_from(sorted(self.plans)))
        plan = self.plans[plan_id]
        result = self.commit(ConfirmCommand(actor(self.now_s), plan_id))
        expected = plan.first or self.decide(plan_id, plan)
        assert (result.status, result.revision) == expected
        assert result.repeated == (plan.first is not None)
        plan.first = expected

    def decide(self, plan_id, plan):
        age_s = self.now_s - plan.planned_s
        if not -plan_book.CLOCK_TOLERANCE_S <= age_s <= TTL_S:
            return (ResultStatus.EXPIRED, len(self.confirmed))
        if plan.base_revision != len(self.confirmed):
            return (ResultStatus.CONFLICT, len(self.confirmed))
        self.confirmed.append(plan_id)
        if plan.weight is None:
            del self.objects[plan.name]
        else:
            self.objects[plan.name] = plan.weight
        return (ResultStatus.CONFIRMED, len(self.confirmed))

    @rule()
    def restart_from_snapshot(self):
        snapshot = self.driven.machine.snapshot()
        self.driven = Driven()
        self.driven.machine.restore(snapshot)

    @rule()
    def follow(self):
        for index in range(self.follower.applied_index, len(self.payloads)):
            self.follower.apply(index + 1, self.payloads[index])
        assert self.follower.snapshot() == self.driven.machine.snapshot()

    @invariant()
    def state_is_the_oracle_s(self):
        machine = self.driven.machine
        held = {name: x.weight for name, x in machine.configuration.priority_classes.items()}
        assert held == self.objects
        assert machine.configuration.revision == len(self.confirmed)
        assert [note.plan_id for note in machine.changes_after(0)] == self.confirmed

    def teardown(self):
        self.follow()
        trail = list(self.driven.machine.trail.entries())
        assert not verify_chain(trail).faults
        told = [entry.subject for entry in trail if entry.result == "confirmed"]
        assert told == self.confirmed
        assert to_table(self.follower.configuration) == to_table(self.driven.machine.configuration)


class MachineAgainstOracleTest(TestCase):
    # Trial finds methods that begin with `test` only, not Hypothesis' own `runTest`.
    def test_no_change_is_lost_reverted_or_doubled(self):
        chosen = settings(max_examples=150, stateful_step_count=40, derandomize=True, deadline=None)
        run_state_machine_as_test(MachineAgainstOracle, settings=chosen)
