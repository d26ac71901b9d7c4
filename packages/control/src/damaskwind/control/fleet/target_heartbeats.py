"""Know which targets were heard lately, here or at routers, and which were not by anybody."""

from damaskwind.decisions.membership.target_table import SilentTargets, TargetTable
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import Heard, HeardOthers

__all__ = ["HEARTBEAT_WINDOW_S", "TargetHeartbeats"]

# How far back a target counts as heard in an answer: two calls of a subscriber.
HEARTBEAT_WINDOW_S = 2.5
# More silent ones than this, 3.6 KB, are not told: a replica that no other tells of its targets
# says whom it heard itself.
MAX_SILENT_LISTED = 256
# Who is silent is looked up no more often: a target is silent after seconds.
SILENT_CACHE_S = 0.25


class TargetHeartbeats:
    """The heartbeats that one replica knows of, beside its table of targets."""

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._seen_here: dict[str, float] = {}
        self._seen_at_routers: dict[str, float] = {}
        self._cached_silent = SilentTargets((), 0.0)
        self._cached_at_s = float("-inf")

    @property
    def direct_count(self) -> int:
        """Return how many targets report here."""
        return len(self._seen_here)

    @property
    def max_list_length(self) -> int:
        """Return how many targets a list for a router names at most."""
        return len(self._seen_here) + len(self._seen_at_routers)

    def record(self, target_id: str, now_s: float) -> None:
        """Note that a target reported here."""
        self._seen_here[target_id] = now_s

    def record_at_router(self, target_id: str, seen_s: float) -> None:
        """Note that a target reported to a router, which told it here."""
        self._seen_at_routers[target_id] = seen_s

    def remove(self, target_id: str) -> None:
        """Drop a target that says it is gone."""
        self._seen_here.pop(target_id, None)
        self._seen_at_routers.pop(target_id, None)

    def has_few_silent(self) -> bool:
        """Tell whether so few targets are silent that they can be told by name."""
        return len(self._silent_targets(read_clock()).target_ids) <= MAX_SILENT_LISTED

    def summarize(self) -> HeardOthers:
        """Return how all targets stand, but for those that nobody has heard lately."""
        now_s = read_clock()
        silent_targets = self._silent_targets(now_s)
        age_s = round(now_s - silent_targets.others_seen_s, 2)
        return HeardOthers(self._table.digest, age_s, silent_targets.target_ids)

    def list_recent(self, is_router: bool) -> tuple[Heard, ...]:
        """Return who was heard lately, one by one.

        Routers tell every replica, so that replicas need not tell each other.
        """
        now_s = read_clock()
        self._drop_expired(now_s)
        heard = self._seen_at_routers | self._seen_here if is_router else self._seen_here
        return tuple(
            Heard(key, round(now_s - at, 2), (self._table.incarnation_of(key) or (0, 0))[1])
            for key, at in heard.items()
        )

    def _silent_targets(self, now_s: float) -> SilentTargets:
        """Return who is silent, as it was looked up lately."""
        if now_s - self._cached_at_s > SILENT_CACHE_S:
            self._drop_expired(now_s)
            self._cached_silent = self._table.silent_since(now_s - HEARTBEAT_WINDOW_S, now_s)
            self._cached_at_s = now_s
        return self._cached_silent

    def _drop_expired(self, now_s: float) -> None:
        """Drop the targets that did not report lately."""
        self._seen_here = _seen_after(self._seen_here, now_s - HEARTBEAT_WINDOW_S)
        self._seen_at_routers = _seen_after(self._seen_at_routers, now_s - HEARTBEAT_WINDOW_S)


def _seen_after(heard: dict[str, float], oldest_s: float) -> dict[str, float]:
    """Return what was heard since a time."""
    return {target_id: at_s for target_id, at_s in heard.items() if at_s > oldest_s}
