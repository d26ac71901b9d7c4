"""Track recent heartbeats of targets, received here or at routers, and the silent targets."""

from damaskwind.decisions.membership.target_table import SilentTargets, TargetTable
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import LastSeen, OthersLastSeen

__all__ = ["HEARTBEAT_WINDOW_S", "TargetHeartbeats"]

# Heartbeats up to this age are sent to subscribers: two calls of a subscriber.
HEARTBEAT_WINDOW_S = 2.5
# Maximum length of a list of silent targets, 3.6 KB. A replica that receives no heartbeats from
# the others would exceed it, and lists its own heartbeats instead.
MAX_SILENT_LISTED = 256
# The list of silent targets is cached for this long; a target counts as silent only after seconds.
SILENT_CACHE_S = 0.25


class TargetHeartbeats:
    """The recent heartbeats known to one replica, kept beside its target table."""

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._seen_here: dict[str, float] = {}
        self._seen_at_routers: dict[str, float] = {}
        self._cached_silent = SilentTargets((), 0.0)
        self._cached_at_s = float("-inf")

    @property
    def direct_count(self) -> int:
        """Return the number of targets that report directly to this replica."""
        return len(self._seen_here)

    @property
    def max_list_length(self) -> int:
        """Return an upper bound for the length of a heartbeat list for a router."""
        return len(self._seen_here) + len(self._seen_at_routers)

    def record(self, target_id: str, now_s: float) -> None:
        """Record a report received from a target."""
        self._seen_here[target_id] = now_s

    def record_at_router(self, target_id: str, seen_s: float) -> None:
        """Record a target's report that a router received and relayed."""
        self._seen_at_routers[target_id] = seen_s

    def remove(self, target_id: str) -> None:
        """Remove a target that announced that it is gone."""
        self._seen_here.pop(target_id, None)
        self._seen_at_routers.pop(target_id, None)

    def has_few_silent(self) -> bool:
        """Return whether the list of silent targets is short enough to be sent."""
        return len(self._silent_targets(read_clock()).target_ids) <= MAX_SILENT_LISTED

    def summarize(self) -> OthersLastSeen:
        """Return the age within which all targets were last seen, except the listed silent ones."""
        now_s = read_clock()
        silent_targets = self._silent_targets(now_s)
        age_s = round(now_s - silent_targets.others_seen_s, 2)
        return OthersLastSeen(self._table.digest, age_s, silent_targets.target_ids)

    def list_recent(self, is_router: bool) -> tuple[LastSeen, ...]:
        """Return the recent heartbeats, one by one.

        Heartbeats received by routers are left out for other replicas: routers report those
        to every replica themselves.
        """
        now_s = read_clock()
        self._drop_expired(now_s)
        last_seen = self._seen_at_routers | self._seen_here if is_router else self._seen_here
        return tuple(
            LastSeen(key, round(now_s - at, 2), (self._table.incarnation_of(key) or (0, 0))[1])
            for key, at in last_seen.items()
        )

    def _silent_targets(self, now_s: float) -> SilentTargets:
        """Return the silent targets, cached for `SILENT_CACHE_S`."""
        if now_s - self._cached_at_s > SILENT_CACHE_S:
            self._drop_expired(now_s)
            self._cached_silent = self._table.silent_since(now_s - HEARTBEAT_WINDOW_S, now_s)
            self._cached_at_s = now_s
        return self._cached_silent

    def _drop_expired(self, now_s: float) -> None:
        """Drop heartbeats older than `HEARTBEAT_WINDOW_S`."""
        self._seen_here = _seen_after(self._seen_here, now_s - HEARTBEAT_WINDOW_S)
        self._seen_at_routers = _seen_after(self._seen_at_routers, now_s - HEARTBEAT_WINDOW_S)


def _seen_after(last_seen: dict[str, float], oldest_s: float) -> dict[str, float]:
    """Return the heartbeats after a time."""
    return {target_id: at_s for target_id, at_s in last_seen.items() if at_s > oldest_s}
