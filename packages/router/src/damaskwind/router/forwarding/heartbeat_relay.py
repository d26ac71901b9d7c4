"""Accept reports of targets that a replica redirected to this router, and relay them to replicas.

A report that a target serves needs no agreement: the next one comes 1.2 s later. A report that
it is leaving has to go to a replica, which acknowledges it only when all others know it.
"""

from collections.abc import Callable
from typing import NamedTuple

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import LastSeen

__all__ = ["HeartbeatRelay"]

# Reports are relayed in the calls of this many seconds, two calls to each replica: replicas
# exchange reports among themselves.
RELAY_WINDOW_S = 2.5


class _Report(NamedTuple):
    """When a target last reported, when a report last changed its record, and when it started."""

    at_s: float
    new_at_s: float
    born_ms: int


class HeartbeatRelay:
    """The reports that one router receives.

    `reaches_majority` tells whether this router is in contact with a majority of the replicas.
    """

    def __init__(self, table: TargetTable, reaches_majority: Callable[[], bool]) -> None:
        self._table = table
        self._reaches_majority = reaches_majority
        self._reports: dict[str, _Report] = {}

    def accept(self, record: TargetRecord) -> bool:
        """Record a report; tell whether it may be acknowledged here."""
        if record.phase is not TargetPhase.SERVING or not self._reaches_majority():
            return False
        stored = self._table.record_of(record.target_id)
        if stored is not None and stored.service not in ("", record.service):
            return False
        now_s = read_clock()
        is_new = self._table.report(record, now_s)
        if not self._table.is_heartbeat(record):
            return False
        before = self._reports.get(record.target_id)
        new_at_s = before.new_at_s if before else float("-inf")
        if is_new:
            new_at_s = now_s
        self._reports[record.target_id] = _Report(now_s, new_at_s, record.born_ms)
        return True

    def recent_reports(self) -> tuple[LastSeen, ...]:
        """Return the targets that reported to this router recently."""
        self._drop_old_reports()
        now_s = read_clock()
        return tuple(
            LastSeen(key, round(now_s - report.at_s, 2), report.born_ms)
            for key, report in self._reports.items()
        )

    def new_records(self) -> tuple[TargetRecord, ...]:
        """Return the records that changed here recently, which replicas may not know yet."""
        oldest_s = read_clock() - RELAY_WINDOW_S
        new = [key for key, report in self._reports.items() if report.new_at_s > oldest_s]
        records = [self._table.record_of(target_id) for target_id in new]
        known = [record for record in records if record is not None]
        return self._table.with_remaining_cold_time(known, read_clock())

    def _drop_old_reports(self) -> None:
        oldest_s = read_clock() - RELAY_WINDOW_S
        self._reports = {
            key: report for key, report in self._reports.items() if report.at_s > oldest_s
        }
