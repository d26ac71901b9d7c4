"""Random histories of the state machine, checked against a dict and a list as oracle.

They plan, confirm, resend, let clocks jump and restart from snapshots, while a
second machine applies the same log.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from damaskwind.control.audit.chain import verify_chain
from damaskwind.control.state import plan_book
from damaskwind.control.state.command import Actor, ConfirmCommand, PlanCommand, encode_command
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.control.state.outcome import ResultStatus, decode_result
from damaskwind.control.state.plan_book import PlanBook, PlanBookState
from damaskwind.model.configuration_codec import to_table
from damaskwind.standins.history_runs import SeededBug, fuzz_histories, seeded_bug
from damaskwind.standins.history_runs import run_batch as run_machine

STEPS = 40
BATCH = 200
TTL_S = 100.0
NAMES = ("interactive", "batch", "night")


def actor(now_s=0.0, operator="bootstrap"):
    return Actor(operator, "10.0.0.7 via control-a", now_s)


def plan_command(plan_id, base_revision, change, now_s=0.0):
    return PlanCommand(actor(now_s), plan_id, base_revision, TTL_S, change, ("x",), ("x",), (), ())


def put(name, weight):
    return {"priority_classes": {name: {"name": name, "rank": 0, "weight": weight}}}


class DrivenMachine:
    """A machine to which commands are applied at consecutive indexes."""

    def __init__(self):
        self.machine = ConfigurationMachine()

    def apply(self, command):
        payload = command if isinstance(command, bytes) else encode_command(command)
        index = self.machine.applied_index + 1
        return decode_result(self.machine.apply(index, payload))


class Plan:
    """The oracle's record of a plan."""

    def __init__(self, base_revision, planned_s, name, weight):
        self.base_revision = base_revision
        self.planned_s = planned_s
        self.name = name
        self.weight = weight
        self.first = None


class MachineAgainstOracle(RuleBasedStateMachine):
    """Plan, confirm, resend and restart on two replicas; compare with a dict."""

    run_count = 0

    def __init__(self):
        super().__init__()
        MachineAgainstOracle.run_count += 1
        self.driven = DrivenMachine()
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
        self.driven = DrivenMachine()
        self.driven.machine.restore(snapshot)

    @rule()
    def follow(self):
        for index in range(self.follower.applied_index, len(self.payloads)):
            self.follower.apply(index + 1, self.payloads[index])
        assert self.follower.snapshot() == self.driven.machine.snapshot()

    @invariant()
    def state_equals_the_oracle(self):
        machine = self.driven.machine
        weights = {name: x.weight for name, x in machine.configuration.priority_classes.items()}
        assert weights == self.objects
        assert machine.configuration.revision == len(self.confirmed)
        assert [record.plan_id for record in machine.changes_after(0)] == self.confirmed

    def teardown(self):
        self.follow()
        trail = list(self.driven.machine.trail.entries())
        assert not verify_chain(trail).faults
        confirmed_subjects = [entry.subject for entry in trail if entry.result == "confirmed"]
        assert confirmed_subjects == self.confirmed
        assert to_table(self.follower.configuration) == to_table(self.driven.machine.configuration)


def run_batch(seed, histories):
    """Run a number of histories; without a seed, the same ones every time."""
    run_machine(MachineAgainstOracle, STEPS, seed, histories)


# Deliberately injected bugs, each of which a run has to detect.
SEEDED_BUGS = {
    "forget_outcomes": SeededBug(PlanBook, "state", lambda book: PlanBookState(book.open_plans())),
    "ignore_base": SeededBug(ConfigurationMachine, "_is_stale", lambda machine, plan: False),
}


def fuzz_machine(seed, seconds, histories, bug=None):
    """Run histories until the time or count limit is reached or one fails."""
    with seeded_bug(SEEDED_BUGS, bug):
        return fuzz_histories(MachineAgainstOracle, STEPS, seed, seconds, histories)
