"""Random histories of reports, updates, restarts and partitions, checked with an oracle.

Each replica and router has a `TargetTable`. Targets report to replicas late, repeatedly
and out of order. Replicas send changes to each other and to the routers over links that
may be cut. The oracle is the list of all reports of each target.
"""

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.membership.target_table import TOMBSTONE_S, TargetTable
from damaskwind.model.targets import Address

__all__ = ["TargetHistory"]

REPLICAS = ("r0", "r1", "r2")
ROUTERS = ("e0", "e1")
TARGETS = ("ta", "tb", "tc")
# A target that reports no start time has a single incarnation.
WITHOUT_START_TIME = "tc"
# Maximum delay of a report; tombstones are kept far longer.
MAX_REPORT_DELAY_S = 10.0

replicas = st.sampled_from(REPLICAS)
listeners = st.sampled_from(REPLICAS + ROUTERS)
target_ids = st.sampled_from(TARGETS)


def _merge_order(record: TargetRecord) -> tuple[tuple[int, int], TargetPhase, int]:
    """Return the sort key that grows with every report of a target."""
    return (record.incarnation, record.phase, record.sequence)


class SentReport(NamedTuple):
    """A report of a target and the time at which it was sent."""

    record: TargetRecord
    at_s: float


class ReportingTarget:
    """A target of the oracle: its current state and all of its reports."""

    def __init__(self, born_ms: int) -> None:
        self.born_ms = born_ms
        self.sequence = 0
        self.phase = TargetPhase.SERVING
        self.port = 1
        self.reports: list[SentReport] = []


class TargetHistory(RuleBasedStateMachine):
    """A random history of targets, replicas and routers."""

    table_class: type[TargetTable] = TargetTable

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.tables = {name: self.table_class() for name in REPLICAS + ROUTERS}
        self.sent_revisions: dict[tuple[str, str], int] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.targets = {name: ReportingTarget(int(name != WITHOUT_START_TIME)) for name in TARGETS}
        # The newest record delivered to each table, until the process restarts or removes it.
        self.known: dict[tuple[str, str], TargetRecord] = {}

    @rule(target_id=target_ids, replica=replicas)
    def report(self, target_id: str, replica: str) -> None:
        """Report a target's current phase to a replica."""
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas, phase=st.sampled_from(list(TargetPhase)))
    def change_phase(self, target_id: str, replica: str, phase: TargetPhase) -> None:
        """Advance a target's phase and report it."""
        target = self.targets[target_id]
        target.phase = max(target.phase, phase)
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas, born_after_ms=st.integers(1, 3))
    def start_again(self, target_id: str, replica: str, born_after_ms: int) -> None:
        """Restart a target that reports its start time: same id, new sequence numbers."""
        target = self.targets[target_id]
        if target_id == WITHOUT_START_TIME:
            return
        target.born_ms += born_after_ms
        target.sequence, target.phase = 0, TargetPhase.SERVING
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas)
    def move(self, target_id: str, replica: str) -> None:
        """Report a new address of a target."""
        self.targets[target_id].port += 1
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas, index=st.integers(0, 30))
    def repeat_late(self, target_id: str, replica: str, index: int) -> None:
        """Deliver an earlier report again, with a delay."""
        reports = self.targets[target_id].reports
        if reports:
            earlier = reports[index % len(reports)]
            if self.now_s - earlier.at_s <= MAX_REPORT_DELAY_S:
                self._deliver(replica, earlier.record)

    @rule(teller=replicas, listener=listeners)
    def tell(self, teller: str, listener: str) -> None:
        """Send a replica's changes since its last update to another process."""
        if teller == listener or frozenset((teller, listener)) in self.cut_links:
            return
        table = self.tables[teller]
        for record in table.changed_since(self.sent_revisions.get((teller, listener), 0)).records:
            self._deliver(listener, record)
        self.sent_revisions[teller, listener] = table.revision

    @rule(teller=replicas, listener=listeners)
    def cut_link(self, teller: str, listener: str) -> None:
        """Cut the link between two processes."""
        self.cut_links.add(frozenset((teller, listener)))

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    @rule(process=listeners)
    def restart(self, process: str) -> None:
        """Restart a process with an empty table; it is sent all records again."""
        self.tables[process] = self.table_class()
        self.known = {key: record for key, record in self.known.items() if key[0] != process}
        self.sent_revisions = {
            pair: revision for pair, revision in self.sent_revisions.items() if process not in pair
        }

    @rule(wait_s=st.sampled_from([0.1, 1.0, 9.0]))
    def wait(self, wait_s: float) -> None:
        """Advance the time; tables remove what is too old."""
        self.now_s += wait_s
        for name, table in self.tables.items():
            for target in table.forget(self.now_s):
                self.known.pop((name, target), None)

    @invariant()
    def no_target_comes_back(self) -> None:
        """Check that no table returns to an earlier incarnation or an earlier phase."""
        for (process, target_id), record in self.known.items():
            shown = self.tables[process].record_of(target_id)
            assert shown is not None, (process, record)
            order = (record.incarnation, record.phase)
            assert (shown.incarnation, shown.phase) >= order, (process, record, shown)

    @invariant()
    def nothing_is_invented(self) -> None:
        """Check that every record of a serving target was reported by that target."""
        for process, table in self.tables.items():
            for record in table.serving():
                reports = [item.record for item in self.targets[record.target_id].reports]
                assert record in reports, (process, record)

    def teardown(self) -> None:
        """Check that replicas converge once all links work, and that no router is behind.

        A router may be ahead: the replica that received a report may have lost it.
        """
        self.heal()
        for _ in range(2):
            for teller in REPLICAS:
                for listener in REPLICAS + ROUTERS:
                    self.tell(teller, listener)
        for target_id in TARGETS:
            shown = {self._shown(name, target_id) for name in REPLICAS}
            assert shown == {self._newest_known(target_id)}, (target_id, shown)
            self._check_routers(target_id, self.tables[REPLICAS[0]].record_of(target_id))

    def _newest_known(self, target_id: str) -> tuple[int, TargetPhase, Address | None] | None:
        """Return the newest state that was delivered to any replica."""
        delivered = [
            self.known[name, target_id] for name in REPLICAS if (name, target_id) in self.known
        ]
        if not delivered:
            return None
        newest = max(delivered, key=_merge_order)
        is_gone = newest.phase is TargetPhase.GONE
        return (newest.born_ms, newest.phase, None if is_gone else newest.address)

    def _check_routers(self, target_id: str, newest: TargetRecord | None) -> None:
        """Check that no router is behind the state on which the replicas agree."""
        if newest is None:
            return
        for name in ROUTERS:
            record = self.tables[name].record_of(target_id)
            assert record is not None, (name, newest)
            at_least = (record.incarnation, record.phase) >= (newest.incarnation, newest.phase)
            assert at_least, (name, record, newest)
            is_ahead = _merge_order(record) > _merge_order(newest)
            is_gone = record.phase is TargetPhase.GONE
            assert is_ahead or is_gone or record.address == newest.address, (name, record, newest)

    def _shown(
        self, process: str, target_id: str
    ) -> tuple[int, TargetPhase, Address | None] | None:
        """Return the state of a target in a table, without the address if it is gone."""
        record = self.tables[process].record_of(target_id)
        if record is None:
            return None
        is_gone = record.phase is TargetPhase.GONE
        return (record.born_ms, record.phase, None if is_gone else record.address)

    def _make_report(self, target_id: str) -> TargetRecord:
        """Return a new report of a target's current state."""
        target = self.targets[target_id]
        target.sequence += 1
        record = TargetRecord(
            target_id, "s", Address("127.0.0.1", target.port), "d", target.phase, target.sequence, 4
        )._replace(born_ms=target.born_ms)
        target.reports.append(SentReport(record, self.now_s))
        return record

    def _deliver(self, process: str, record: TargetRecord) -> None:
        """Merge a record into a process's table, and update the newest known record."""
        self.tables[process].merge(record, self.now_s)
        key = (process, record.target_id)
        self.known[key] = max(self.known.get(key, record), record, key=_merge_order)


assert TOMBSTONE_S > MAX_REPORT_DELAY_S
