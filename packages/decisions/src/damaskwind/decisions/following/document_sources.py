"""Choose the replica from which a router fetches a newer configuration.

All routers learn of a new version within a few milliseconds. The leader has it first,
but must receive responses of its followers within its lease. It is therefore asked only
if no other replica reports the version soon. The other replicas share the load evenly:
each router starts with the replica selected by its index among all routers. Until a
replica has reported this index, the router orders replicas by highest random weight.
"""

from collections.abc import Collection
from typing import NamedTuple

from damaskwind.decisions.limits.slices import rendezvous_order

__all__ = ["DocumentSources", "VersionReport"]

# Time to wait for the preferred source after the first report of a version. Followers
# receive a version a round trip after the leader, or later if its link sends it to the
# other ones first: 21 KB to five of them take 0.43 s at 2 Mbit/s. A source that has not
# reported the version by then lags behind, and another one is asked.
SOURCE_WAIT_S = 0.3
# A failed source is not asked again for this time, unless there is no other.
FAILURE_COOLDOWN_S = 1.0
# Time that a restarted router waits, after the first report, for a report of a replica
# that is certainly current or for the reports of all replicas. The others report within
# some ms if they can.
INITIAL_WAIT_S = 0.15


class VersionReport(NamedTuple):
    """The last version that a replica reported, and when it first reported that version."""

    version: int
    is_current: bool
    leads: bool
    at_s: float


class DocumentSources:
    """The configuration versions that replicas reported, and the choice of a source.

    >>> sources = DocumentSources("router")
    >>> sources.record_version("follower", 6, True, False, now_s=0.0)
    >>> sources.record_version("leader", 7, True, True, now_s=0.0)
    >>> sources.choose(6, 2, now_s=0.0)
    >>> sources.record_version("follower", 7, True, False, now_s=0.01)
    >>> sources.choose(6, 2, now_s=0.01)
    'follower'

    `router_index` is the index of this router among all routers, starting at 0.
    """

    def __init__(self, node_id: str) -> None:
        self.router_index: int | None = None
        self._node_id = node_id
        self._reports: dict[str, VersionReport] = {}
        self._failed_s: dict[str, float] = {}
        self._silent: set[str] = set()
        self._first_report_s: float | None = None

    def record_version(
        self, host: str, version: int, is_current: bool, leads: bool, now_s: float
    ) -> None:
        """Record the version that a replica reports, with the time of its first report."""
        if self._first_report_s is None:
            self._first_report_s = now_s
        previous = self._reports.get(host)
        at_s = previous.at_s if previous is not None and previous.version == version else now_s
        self._reports[host] = VersionReport(version, is_current, leads, at_s)
        self._silent.discard(host)

    def remove(self, host: str) -> None:
        """Remove an unreachable replica."""
        self._reports.pop(host, None)
        self._silent.discard(host)

    def record_silence(self, host: str) -> None:
        """Record that a replica doesn't answer; it is asked last until it reports again."""
        self._silent.add(host)

    def record_failure(self, host: str, now_s: float) -> None:
        """Record that fetching a document from a replica failed."""
        self._failed_s[host] = now_s

    def newest_version(self) -> int:
        """Return the newest version that a replica reported, 0 before any report."""
        return max((report.version for report in self._reports.values()), default=0)

    def has_newer(self, local_version: int) -> bool:
        """Return whether any replica reported a newer version."""
        return self.newest_version() > local_version

    def choose(
        self, local_version: int, host_count: int, now_s: float, asked: Collection[str] = ()
    ) -> str | None:
        """Return the replica to ask now, or `None` if there is none to ask yet.

        `local_version` is 0 before the first configuration; `host_count` is how many
        replicas are followed. The replicas in `asked` are passed over, since their answers
        are still expected.
        """
        newer = {
            host: report
            for host, report in self._reports.items()
            if report.version > local_version and host not in asked
        }
        if not local_version:
            newer = self._initial_candidates(newer, host_count, now_s)
        if not newer:
            return None
        order = self._order(now_s)
        first_report_s = min(report.at_s for report in newer.values())
        best = next(host for host in order if host in newer)
        # A router without a configuration can't serve requests, so it does not wait for a
        # better source, except to spare the leader.
        may_wait = best != order[0] if local_version else self._reports[best].leads
        if may_wait and len(self._reports) > 1 and now_s < first_report_s + SOURCE_WAIT_S:
            return None
        return best

    def _order(self, now_s: float) -> list[str]:
        """Return the replicas in order of preference.

        Ordering by hash alone would give some followers twice their share of routers.
        """
        order = rendezvous_order(self._node_id, self._reports)
        if self.router_index is not None:
            order = sorted(self._reports)
        preferred = [host for host in order if self._demotion_key(host, now_s) == (False, False)]
        offset = (self.router_index or 0) % max(len(preferred), 1)
        rest = sorted(set(order) - set(preferred), key=lambda host: self._demotion_key(host, now_s))
        return preferred[offset:] + preferred[:offset] + rest

    def _demotion_key(self, host: str, now_s: float) -> tuple[bool, bool]:
        """Return a sort key that puts replicas that failed or are silent, and the leader, last."""
        has_failed = now_s - self._failed_s.get(host, float("-inf")) < FAILURE_COOLDOWN_S
        return (has_failed or host in self._silent, self._reports[host].leads)

    def _initial_candidates(
        self, newer: dict[str, VersionReport], host_count: int, now_s: float
    ) -> dict[str, VersionReport]:
        """Return the reports to choose from when there is no local configuration.

        If no replica is certainly current, these are the reports of the newest version,
        once all replicas have reported or `INITIAL_WAIT_S` has passed.
        """
        current = {host: report for host, report in newer.items() if report.is_current}
        if current:
            return current
        has_waited = newer and now_s - self._first_report_s > INITIAL_WAIT_S
        if not has_waited and len(self._reports) < host_count:
            return {}
        newest = self.newest_version()
        return {host: report for host, report in newer.items() if report.version == newest}
