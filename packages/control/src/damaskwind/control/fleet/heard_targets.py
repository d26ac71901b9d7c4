"""Know which targets were heard lately, here or at routers, and which were not by anybody."""

from damaskwind.decisions.membership.target_table import SilentTargets, TargetTable
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import LastSeen, OthersLastSeen

__all__ = ["HEARD_S", "HeardTargets"]

# How far back a target counts as heard in an answer: two calls of a subscriber.
HEARD_S = 2.5
# More silent ones than this, 3.6 KB, are not told: a replica that no other tells of its targets
# says whom it heard itself.
SILENT_TOLD = 256
# Who is silent is looked up no more often: a target is silent after seconds.
SILENCE_EVERY_S = 0.25


class HeardTargets:
    """The heartbeats that one replica knows of, beside its table of targets."""

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._here: dict[str, float] = {}
        self._at_routers: dict[str, float] = {}
        self._silence = SilentTargets((), 0.0)
        self._silence_s = float("-inf")

    @property
    def here(self) -> int:
        """Return how many targets report here."""
        return len(self._here)

    @property
    def listable(self) -> int:
        """Return how many targets a list for a router names at most."""
        return len(self._here) + len(self._at_routers)

    def note(self, target_id: str, now_s: float) -> None:
        """Note that a target reported here."""
        self._here[target_id] = now_s

    def note_at_router(self, target_id: str, heard_s: float) -> None:
        """Note that a target reported to a router, which told it here."""
        self._at_routers[target_id] = heard_s

    def drop(self, target_id: str) -> None:
        """Drop a target that says it is gone."""
        self._here.pop(target_id, None)
        self._at_routers.pop(target_id, None)

    def are_few_silent(self) -> bool:
        """Tell whether so few targets are silent that they can be told by name."""
        return len(self._silence_at(read_clock()).target_ids) <= SILENT_TOLD

    def others(self) -> OthersLastSeen:
        """Return how all targets stand, but for those that nobody has heard lately."""
        now_s = read_clock()
        silence = self._silence_at(now_s)
        age_s = round(now_s - silence.others_seen_s, 2)
        return OthersLastSeen(self._table.digest, age_s, silence.target_ids)

    def listed(self, is_router: bool) -> tuple[LastSeen, ...]:
        """Return who was heard lately, one by one.

        Routers tell every replica, so that replicas need not tell each other.
        """
        now_s = read_clock()
        self._forget_unheard(now_s)
        heard = self._at_routers | self._here if is_router else self._here
        return tuple(
            LastSeen(key, round(now_s - at, 2), (self._table.incarnation_of(key) or (0, 0))[1])
            for key, at in heard.items()
        )

    def _silence_at(self, now_s: float) -> SilentTargets:
        """Return who is silent, as it was looked up lately."""
        if now_s - self._silence_s > SILENCE_EVERY_S:
            self._forget_unheard(now_s)
            self._silence = self._table.silent_since(now_s - HEARD_S, now_s)
            self._silence_s = now_s
        return self._silence

    def _forget_unheard(self, now_s: float) -> None:
        """Drop the targets that did not report lately."""
        self._here = _since(self._here, now_s - HEARD_S)
        self._at_routers = _since(self._at_routers, now_s - HEARD_S)


def _since(heard: dict[str, float], oldest_s: float) -> dict[str, float]:
    """Return what was heard since a time."""
    return {target_id: at_s for target_id, at_s in heard.items() if at_s > oldest_s}
