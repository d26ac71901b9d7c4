"""A log shared by several state machines that can refuse, lose answers and lag."""

from collections import deque

from damaskwind.control.operator_api.ports import CommitOutcome, CommitVerdict
from damaskwind.control.state.configuration_machine import ConfigurationMachine


class SharedLog:
    """The commands in commit order."""

    def __init__(self):
        self.payloads = []


class FakeReplica:
    """One replica's port on the shared log; `next_results` scripts the next proposals.

    `commit` is the default; `no_result` commits without returning the result;
    `lost_answer` commits and returns unknown; `lost_command` returns unknown and commits
    nothing; `refuse` refuses; `explode` raises an error that quotes the command.
    """

    def __init__(self, log):
        self.log = log
        self.machine = ConfigurationMachine()
        self.next_results = deque()
        self.has_majority = True
        self.before_propose = None

    def catch_up(self):
        result = b""
        for index in range(self.machine.applied_index, len(self.log.payloads)):
            result = self.machine.apply(index + 1, self.log.payloads[index])
        return result

    def restart_from_snapshot(self):
        snapshot = self.machine.snapshot()
        self.machine.restore(snapshot)

    async def propose(self, payload, timeout_s):
        if self.before_propose is not None:
            before, self.before_propose = self.before_propose, None
            before()
        result_kind = self.next_results.popleft() if self.next_results else "commit"
        if result_kind == "refuse" or not self.has_majority:
            return CommitOutcome(CommitVerdict.REFUSED, leader_hint="other", detail="not leader")
        if result_kind == "explode":
            raise RuntimeError(f"unforeseen: {payload!r}")
        if result_kind == "lost_command":
            return CommitOutcome(CommitVerdict.UNKNOWN)
        self.log.payloads.append(payload)
        result = self.catch_up()
        if result_kind == "lost_answer":
            return CommitOutcome(CommitVerdict.UNKNOWN)
        if result_kind == "no_result":
            result = b""
        return CommitOutcome(CommitVerdict.COMMITTED, result)

    async def read_current(self, timeout_s):
        if self.has_majority:
            self.catch_up()
        return self.has_majority

    def status(self):
        return {"role": "leader", "members": []}

    async def change_membership(self, action, replica_id, address, failure_domain, timeout_s):
        if replica_id == "unknown":
            return CommitOutcome(CommitVerdict.REFUSED, detail="invalid-change")
        return CommitOutcome(CommitVerdict.COMMITTED)
