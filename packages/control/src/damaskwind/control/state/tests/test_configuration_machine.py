"""Tests of the state machine, some against an oracle."""

from unittest import TestCase

from damaskwind.control.state import configuration_machine, plan_book
from damaskwind.control.state.command import ConfirmCommand, encode_command
from damaskwind.control.state.outcome import ResultStatus
from damaskwind.control.state.tests.histories import (
    SEEDED_BUGS,
    DrivenMachine,
    actor,
    fuzz_machine,
    plan_command,
    put,
    run_batch,
)
from damaskwind.model.exception import CorruptLogError


class ConfigurationMachineTest(TestCase):
    def setUp(self):
        self.driven = DrivenMachine()

    def test_malformed_commands_are_refused_and_change_nothing(self):
        for payload in (b"", b"\xff", b"[]", b'{"kind":"drop"}', b'{"kind":"confirm","x":1}'):
            result = self.driven.apply(payload)
            self.assertEqual(result.status, ResultStatus.MALFORMED)
        self.assertEqual(self.driven.machine.configuration.revision, 0)
        self.assertEqual(self.driven.machine.trail.last_sequence, 0)

    def test_command_at_an_applied_index_changes_nothing(self):
        self.driven.apply(plan_command("p", 0, put("batch", 1)))
        confirm = encode_command(ConfirmCommand(actor(), "p"))
        self.driven.apply(confirm)
        before = self.driven.machine.snapshot()
        self.driven.machine.apply(2, confirm)
        self.driven.machine.apply(1, encode_command(plan_command("other", 1, put("batch", 2))))
        self.assertEqual(self.driven.machine.snapshot(), before)

    def test_plan_resent_with_its_id_is_stored_once(self):
        first = self.driven.apply(plan_command("p", 0, put("batch", 1)))
        again = self.driven.apply(plan_command("p", 0, put("batch", 2)))
        self.assertEqual((first.repeated, again.repeated), (False, True))
        self.assertEqual(len(self.driven.machine.plans.open_plans()), 1)

    def test_plan_with_another_base_revision_is_refused(self):
        result = self.driven.apply(plan_command("p", 7, put("batch", 1)))
        self.assertEqual((result.status, result.revision), (ResultStatus.BASE_MOVED, 0))

    def test_plan_by_an_operator_without_the_role_is_not_stored(self):
        command = plan_command("p", 0, put("batch", 1))._replace(actor=actor(0.0, "gone"))
        self.assertEqual(self.driven.apply(command).status, ResultStatus.FORBIDDEN)
        self.assertEqual(self.driven.machine.plans.open_plans(), ())

    def test_confirmation_by_a_removed_operator_is_forbidden_and_the_plan_stays_open(self):
        self.driven.apply(plan_command("p", 0, put("batch", 1)))
        result = self.driven.apply(ConfirmCommand(actor(0.0, "gone"), "p"))
        self.assertEqual(result.status, ResultStatus.FORBIDDEN)
        result = self.driven.apply(ConfirmCommand(actor(), "p"))
        self.assertEqual(result.status, ResultStatus.CONFIRMED)

    def test_open_plans_are_bounded_by_number_and_by_size(self):
        for number in range(plan_book.MAX_OPEN_PLANS_PER_OPERATOR + 5):
            self.driven.apply(plan_command(f"p{number}", 0, put("batch", 1)))
        plans = self.driven.machine.plans
        self.assertEqual(len(plans.open_plans()), plan_book.MAX_OPEN_PLANS_PER_OPERATOR)
        evicted = self.driven.apply(ConfirmCommand(actor(), "p0"))
        self.assertEqual(evicted.status, ResultStatus.UNKNOWN_PLAN)
        large = {"policy": {"placement": "x" * (plan_book.MAX_OPEN_PLANS_BYTES // 3)}}
        for number in range(4):
            self.driven.apply(plan_command(f"large{number}", 0, large))
        self.assertLess(len(plans.open_plans()), 4)

    def test_outcomes_and_changes_are_bounded(self):
        self.addCleanup(setattr, plan_book, "MAX_OUTCOMES", plan_book.MAX_OUTCOMES)
        self.addCleanup(
            setattr, configuration_machine, "MAX_CHANGES", configuration_machine.MAX_CHANGES
        )
        plan_book.MAX_OUTCOMES = 3
        configuration_machine.MAX_CHANGES = 2
        for number in range(5):
            self.driven.apply(plan_command(f"p{number}", number, put("batch", number + 1)))
            self.driven.apply(ConfirmCommand(actor(), f"p{number}"))
        statuses = [self.driven.apply(ConfirmCommand(actor(), f"p{n}")).status for n in range(5)]
        self.assertEqual(statuses[:2], [ResultStatus.UNKNOWN_PLAN] * 2)
        self.assertEqual(statuses[2:], [ResultStatus.CONFIRMED] * 3)
        self.assertEqual(len(self.driven.machine.changes_after(0)), 2)

    def test_invalid_snapshots_are_refused_and_change_nothing(self):
        self.driven.apply(plan_command("p", 0, put("batch", 1)))
        good = self.driven.machine.snapshot()
        other_version = good.replace(b"damaskwind state \x01", b"damaskwind state \x02")
        for wrong in (b"", b"x", good[:-1], other_version, good + b"x"):
            with self.assertRaises(CorruptLogError):
                self.driven.machine.restore(wrong)
        self.assertEqual(self.driven.machine.snapshot(), good)


class MachineAgainstOracleTest(TestCase):
    # Trial only collects methods that begin with `test`, not the `runTest` of Hypothesis.
    def test_no_change_is_lost_reverted_or_applied_twice(self):
        run_batch(None, 150)

    def test_injected_bugs_are_detected(self):
        for bug in SEEDED_BUGS:
            found = fuzz_machine(1, 60.0, 400, bug)
            self.assertIsNotNone(found.failure, bug)
