"""Take the reports of targets that a replica sent to this router, and tell the replicas.

A report that a target serves needs nobody's agreement: the next one comes 1.2 s later. One that
it leaves is for a replica, which makes sure that all others know before it acknowledges that.
"""

from collections.abc import Callable
from typing import NamedTuple

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import Heard

__all__ = ["HeartbeatRelay"]

# Reports are told in so many seconds' calls: two of each replica, as replicas tell each other.
RELAY_WINDOW_S = 2.5


class _Report(NamedTuple):
    """The newest report of a target, and when one last said something new."""

    at_s: float
    new_at_s: float
    born_ms: int


class HeartbeatRelay:
    """The reports that one router hears.

    `reaches_majority` tells whether what is heard here reaches the replicas.
    """

    def __init__(self, table: TargetTable, reaches_majority: Callable[[], bool]) -> None:
        self._table = table
        self._reaches_majority = reaches_majority
        self._reports: dict[str, _Report] = {}

    def accept(self, record: TargetRecord) -> bool:
        """Take a report; tell whether it may be acknowledged here."""
        if record.phase is not TargetPhase.SERVING or not self._reaches_majority():
            return False
        held = self._table.record_of(record.target_id)
        if held is not None and held.service not in ("", record.service):
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

    def recent_reports(self) -> tuple[Heard, ...]:
        """Return which targets were heard here lately."""
        self._drop_old_reports()
        now_s = read_clock()
        return tuple(
            Heard(key, round(now_s - report.at_s, 2), report.born_ms)
            for key, report in self._reports.items()
        )

    def new_records(self) -> tuple[TargetRecord, ...]:
        """Return what was said lately that replicas may not know."""
        oldest_s = read_clock() - RELAY_WINDOW_S
        new = [key for key, report in self._reports.items() if report.new_at_s > oldest_s]
        records = [self._table.record_of(target_id) for target_id in new]
        known = [record for record in records if record is not None]
        return self._table.as_of(known, read_clock())

    def _drop_old_reports(self) -> None:
        oldest_s = read_clock() - RELAY_WINDOW_S
        self._reports = {
            key: report for key, report in self._reports.items() if report.at_s > oldest_s
        }
