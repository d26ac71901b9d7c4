"""The revision that each router reports to enforce; kept in memory only, not in the log."""

from collections.abc import Callable
from typing import Any, NamedTuple

__all__ = ["RouterRevision", "RouterStatusTable", "lag_view"]

_REPORT_TTL_S = 600.0


class RouterRevision(NamedTuple):
    """The revision that a router enforces, as it reported `age_s` ago."""

    router_id: str
    failure_domain: str
    revision: int
    age_s: float


class _Report(NamedTuple):
    """A report with the time at which it was received."""

    failure_domain: str
    revision: int
    at_s: float


class RouterStatusTable:
    """The latest report received from each router."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._reports: dict[str, _Report] = {}

    def report(self, router_id: str, failure_domain: str, revision: int) -> None:
        """Record a router's report of the revision that it has applied."""
        self._reports[router_id] = _Report(failure_domain, revision, self._clock())

    def latest_reports(self) -> list[RouterRevision]:
        """Return the reports sorted by router, and drop those that are too old."""
        now_s = self._clock()
        self._reports = {
            router_id: report
            for router_id, report in self._reports.items()
            if now_s - report.at_s <= _REPORT_TTL_S
        }
        return [
            RouterRevision(router_id, report.failure_domain, report.revision, now_s - report.at_s)
            for router_id, report in sorted(self._reports.items())
        ]


def lag_view(routers: list[RouterRevision], revision: int) -> list[dict[str, Any]]:
    """Return the routers with the number of revisions by which each one lags."""
    return [{**router._asdict(), "lag": revision - router.revision} for router in routers]
