"""Choose from which replica a router fetches a newer configuration.

All routers hear of a version within a few milliseconds. The leader, which knows
it first, has its followers to hear from within its lease, so it is asked only
when no other replica tells of the version soon. The others share the work evenly:
each router begins with the one that its place among all routers gives it, and has an
order by highest random weight only as long as no replica told it its place.
"""

from typing import NamedTuple

from damaskwind.decisions.limits.slices import rendezvous_order

__all__ = ["DocumentSources", "VersionReport"]

# The followers learn of a version a round trip after the leader, or when its link has
# sent it to the others before: 21 KB to five of them take 0.43 s at 2 Mbit/s. One that is
# silent for longer than this after the first word is behind: another one is asked.
SOURCE_WAIT_S = 0.3
# A source that failed is asked again after so long, or when there is no other.
FAILURE_COOLDOWN_S = 1.0
# How long a restarted router holds out for a replica that is surely current, or
# for all to be heard, after the first one it heard: the others answer within
# some ms if they can.
INITIAL_WAIT_S = 0.15


class VersionReport(NamedTuple):
    """What a replica told last, first at `at_s`."""

    version: int
    is_current: bool
    leads: bool
    at_s: float


class DocumentSources:
    """What each replica told of the configuration, and which to ask for it.

    >>> sources = DocumentSources("router")
    >>> sources.record_version("follower", 6, True, False, now_s=0.0)
    >>> sources.record_version("leader", 7, True, True, now_s=0.0)
    >>> sources.choose(6, 2, now_s=0.0)
    >>> sources.record_version("follower", 7, True, False, now_s=0.01)
    >>> sources.choose(6, 2, now_s=0.01)
    'follower'

    `router_index` is the router's among all, from 0 on.
    """

    def __init__(self, node_id: str) -> None:
        self.router_index: int | None = None
        self._node_id = node_id
        self._reports: dict[str, VersionReport] = {}
        self._failed_s: dict[str, float] = {}
        self._first_report_s: float | None = None

    def record_version(
        self, host: str, version: int, is_current: bool, leads: bool, now_s: float
    ) -> None:
        """Note what a replica tells; the time stays that of its first word of a version."""
        if self._first_report_s is None:
            self._first_report_s = now_s
        before = self._reports.get(host)
        at_s = before.at_s if before is not None and before.version == version else now_s
        self._reports[host] = VersionReport(version, is_current, leads, at_s)

    def remove(self, host: str) -> None:
        """Wait no longer for a replica that can't be reached."""
        self._reports.pop(host, None)

    def record_failure(self, host: str, now_s: float) -> None:
        """Note that a document did not come from there."""
        self._failed_s[host] = now_s

    def has_newer(self, local_version: int) -> bool:
        """Tell whether any replica told of a newer version."""
        return any(report.version > local_version for report in self._reports.values())

    def choose(self, local_version: int, host_count: int, now_s: float) -> str | None:
        """Return whom to ask now, or `None` when there is nothing to ask for yet.

        `local_version` is 0 before the first configuration; `host_count` is how many
        replicas are followed.
        """
        newer = {
            host: report for host, report in self._reports.items() if report.version > local_version
        }
        if not local_version:
            newer = self._initial_candidates(newer, host_count, now_s)
        if not newer:
            return None
        order = self._order(now_s)
        first_report_s = min(report.at_s for report in newer.values())
        best = next(host for host in order if host in newer)
        # A router without any configuration serves nobody and waits for no better source,
        # but for the leader's followers.
        may_wait = best != order[0] if local_version else self._reports[best].leads
        if may_wait and len(self._reports) > 1 and now_s < first_report_s + SOURCE_WAIT_S:
            return None
        return best

    def _order(self, now_s: float) -> list[str]:
        """Return the replicas, the one to be asked first in front.

        A hash alone would give some followers twice their share.
        """
        order = rendezvous_order(self._node_id, self._reports)
        if self.router_index is not None:
            order = sorted(self._reports)
        first = [host for host in order if self._demotion_key(host, now_s) == (False, False)]
        turn = (self.router_index or 0) % max(len(first), 1)
        rest = sorted(set(order) - set(first), key=lambda host: self._demotion_key(host, now_s))
        return first[turn:] + first[:turn] + rest

    def _demotion_key(self, host: str, now_s: float) -> tuple[bool, bool]:
        """Tell whether a replica failed lately, and whether it leads: others go before it."""
        has_failed = now_s - self._failed_s.get(host, float("-inf")) < FAILURE_COOLDOWN_S
        return (has_failed, self._reports[host].leads)

    def _initial_candidates(
        self, newer: dict[str, VersionReport], host_count: int, now_s: float
    ) -> dict[str, VersionReport]:
        """Return who may tell the first configuration.

        Where no replica is sure to be current, it is the newest that any of them
        knows, once all were heard or a while has passed.
        """
        current = {host: report for host, report in newer.items() if report.is_current}
        if current:
            return current
        has_waited = newer and now_s - self._first_report_s > INITIAL_WAIT_S
        if not has_waited and len(self._reports) < host_count:
            return {}
        newest = max((report.version for report in self._reports.values()), default=0)
        return {host: report for host, report in newer.items() if report.version == newest}
