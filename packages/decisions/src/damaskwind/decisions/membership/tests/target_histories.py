"""Random histories of reports, news, restarts and cuts, against what targets said.

Replicas and routers hold a `TargetTable` each. Targets report to replicas, late,
twice and out of order; replicas tell each other and the routers what changed,
over links that may be cut. The oracle is the list of what each target said.
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
# One that tells no birth has one life.
WITHOUT_START_TIME = "tc"
# A report may be this late; tombstones outlive it by far.
MAX_REPORT_DELAY_S = 10.0

replicas = st.sampled_from(REPLICAS)
listeners = st.sampled_from(REPLICAS + ROUTERS)
target_ids = st.sampled_from(TARGETS)


def _merge_order(record: TargetRecord) -> tuple[tuple[int, int], TargetPhase, int]:
    """Return what grows over a target's lives."""
    return (record.incarnation, record.phase, record.sequence)


class SentReport(NamedTuple):
    """One thing that a target said, and when."""

    record: TargetRecord
    at_s: float


class ReportingTarget:
    """A target of the oracle: its life so far and all that it said."""

    def __init__(self, born_ms: int) -> None:
        self.born_ms = born_ms
        self.sequence = 0
        self.phase = TargetPhase.SERVING
        self.port = 1
        self.reports: list[SentReport] = []


class TargetHistory(RuleBasedStateMachine):
    """One history."""

    table_class: type[TargetTable] = TargetTable

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.tables = {name: self.table_class() for name in REPLICAS + ROUTERS}
        self.sent_revisions: dict[tuple[str, str], int] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.targets = {name: ReportingTarget(int(name != WITHOUT_START_TIME)) for name in TARGETS}
        # The newest that a table was told, until the process restarts or forgets.
        self.known: dict[tuple[str, str], TargetRecord] = {}

    @rule(target_id=target_ids, replica=replicas)
    def report(self, target_id: str, replica: str) -> None:
        """A target reports its present phase to a replica."""
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas, phase=st.sampled_from(list(TargetPhase)))
    def change_phase(self, target_id: str, replica: str, phase: TargetPhase) -> None:
        """A target moves on in its life and says so."""
        one = self.targets[target_id]
        one.phase = max(one.phase, phase)
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas, born_after_ms=st.integers(1, 3))
    def start_again(self, target_id: str, replica: str, born_after_ms: int) -> None:
        """A target that tells its birth starts again under its id, and counts anew."""
        one = self.targets[target_id]
        if target_id == WITHOUT_START_TIME:
            return
        one.born_ms += born_after_ms
        one.sequence, one.phase = 0, TargetPhase.SERVING
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas)
    def move(self, target_id: str, replica: str) -> None:
        """A target that serves reports another address."""
        self.targets[target_id].port += 1
        self._deliver(replica, self._make_report(target_id))

    @rule(target_id=target_ids, replica=replicas, index=st.integers(0, 30))
    def repeat_late(self, target_id: str, replica: str, index: int) -> None:
        """An earlier report arrives once more, late."""
        said = self.targets[target_id].reports
        if said:
            old = said[index % len(said)]
            if self.now_s - old.at_s <= MAX_REPORT_DELAY_S:
                self._deliver(replica, old.record)

    @rule(teller=replicas, listener=listeners)
    def tell(self, teller: str, listener: str) -> None:
        """A replica tells what changed since it last told."""
        if teller == listener or frozenset((teller, listener)) in self.cut_links:
            return
        table = self.tables[teller]
        for record in table.changed_since(self.sent_revisions.get((teller, listener), 0)).records:
            self._deliver(listener, record)
        self.sent_revisions[teller, listener] = table.revision

    @rule(teller=replicas, listener=listeners)
    def cut_link(self, teller: str, listener: str) -> None:
        """Cut two processes from each other."""
        self.cut_links.add(frozenset((teller, listener)))

    @rule()
    def heal(self) -> None:
        """Mend all links."""
        self.cut_links.clear()

    @rule(process=listeners)
    def restart(self, process: str) -> None:
        """A process restarts with an empty table, and is told everything anew."""
        self.tables[process] = self.table_class()
        self.known = {key: record for key, record in self.known.items() if key[0] != process}
        self.sent_revisions = {
            pair: at for pair, at in self.sent_revisions.items() if process not in pair
        }

    @rule(wait_s=st.sampled_from([0.1, 1.0, 9.0]))
    def wait(self, wait_s: float) -> None:
        """Let time pass; tables forget what is too old."""
        self.now_s += wait_s
        for name, table in self.tables.items():
            for target in table.forget(self.now_s):
                self.known.pop((name, target), None)

    @invariant()
    def no_target_comes_back(self) -> None:
        """A table never shows an earlier life, nor one as serving that was leaving or gone."""
        for (process, target_id), record in self.known.items():
            shown = self.tables[process].record_of(target_id)
            assert shown is not None, (process, record)
            order = (record.incarnation, record.phase)
            assert (shown.incarnation, shown.phase) >= order, (process, record, shown)

    @invariant()
    def nothing_is_invented(self) -> None:
        """What a table shows of a target that serves, the target has said."""
        for process, table in self.tables.items():
            for record in table.serving():
                said = [item.record for item in self.targets[record.target_id].reports]
                assert record in said, (process, record)

    def teardown(self) -> None:
        """With all links mended, replicas agree, and no router is behind them.

        A router may be ahead: the replica that took a report may have lost it.
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
        """Return the newest that any replica was told."""
        told = [self.known[name, target_id] for name in REPLICAS if (name, target_id) in self.known]
        if not told:
            return None
        newest = max(told, key=_merge_order)
        is_gone = newest.phase is TargetPhase.GONE
        return (newest.born_ms, newest.phase, None if is_gone else newest.address)

    def _check_routers(self, target_id: str, newest: TargetRecord | None) -> None:
        """Check that no router is behind what the replicas agree on."""
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
        """Return what a table shows; where a target was that is gone does not matter."""
        record = self.tables[process].record_of(target_id)
        if record is None:
            return None
        is_gone = record.phase is TargetPhase.GONE
        return (record.born_ms, record.phase, None if is_gone else record.address)

    def _make_report(self, target: str) -> TargetRecord:
        """Have a target say what it is now."""
        one = self.targets[target]
        one.sequence += 1
        record = TargetRecord(
            target, "s", Address("127.0.0.1", one.port), "d", one.phase, one.sequence, 4
        )._replace(born_ms=one.born_ms)
        one.reports.append(SentReport(record, self.now_s))
        return record

    def _deliver(self, process: str, record: TargetRecord) -> None:
        """Have a process take a record, and note what it knows from then on."""
        self.tables[process].merge(record, self.now_s)
        key = (process, record.target_id)
        self.known[key] = max(self.known.get(key, record), record, key=_merge_order)


assert TOMBSTONE_S > MAX_REPORT_DELAY_S
