"""Choose which replica's cut-offs a router applies, and let them decay without news.

All replicas compute cut-offs from the same counts, but not at the same moment. Routers shed
alike only if they follow the same replica: of those that cover the most routers, the one that
has run longest, whichever of them is the leader. After a partition each router follows what
it reaches.
"""

from typing import NamedTuple

from damaskwind.decisions.admission.shed_aggregator import ShedNews
from damaskwind.decisions.admission.shed_counts import GroupKey
from damaskwind.decisions.admission.shed_cutoff import Cutoff, share_of

__all__ = ["FollowedCutoff", "ShedFollower"]

# A reachable replica sends an update every second.
FRESH_S = 2.5
# After this further time without news, everything is admitted as without cut-offs.
DECAY_S = 3.0
# Nothing is refused while under half of the slots are taken.
IDLE_PERMILLE = 500
# Of the largest coverage: a replica that covers fewer routers sees a part of the demand.
COVERED_FRACTION = 0.8


class FollowedCutoff(NamedTuple):
    """The cut-off in force, the replica that it is from, and its age."""

    host: str
    cutoff: Cutoff
    age_s: float

    @property
    def is_shedding(self) -> bool:
        """Return whether any request is shed."""
        return not self.cutoff.is_open and self.age_s < FRESH_S + DECAY_S

    def share(self, key: GroupKey) -> float:
        """Return the admitted share of a group, which grows to 1 as the cut-off decays."""
        decay = min(1.0, max(0.0, (self.age_s - FRESH_S) / DECAY_S))
        share = share_of(self.cutoff, key)
        return share + (1.0 - share) * decay


class _Heard(NamedTuple):
    news: ShedNews
    at_s: float


class ShedFollower:
    """What one router has heard of cut-offs from each replica.

    >>> follower = ShedFollower()
    >>> older, younger = Cutoff(7, (), ()), Cutoff(7, (), (), 250)
    >>> follower.observe("b", ShedNews(900, 8, (older,)), 0.0)
    True
    >>> follower.observe("a", ShedNews(950, 8, (younger,)), 0.1)
    True
    >>> follower.followed(7, 1.0).host, follower.followed(7, 2.55).host
    ('b', 'a')
    >>> follower.observe("a", ShedNews(10, 8, (older,)), 1.0)
    False
    >>> follower.followed(7, 9.0) is None
    True
    """

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def observe(self, host: str, news: ShedNews | None, now_s: float) -> bool:
        """Record a replica's update; return `False` if it is of an earlier life of the replica."""
        if news is None:
            return True
        known = self._heard.get(host)
        if known and now_s - known.at_s <= FRESH_S and news.since_s < known.news.since_s:
            return False
        if known and news.since_s > known.news.since_s:
            del self._heard[host]
        # What a replica decided before it lost sight of the routers stays in force and decays.
        if news.cutoffs:
            self._heard[host] = _Heard(news, now_s)
        return True

    def followed(self, service: int, now_s: float) -> FollowedCutoff | None:
        """Return the cut-off in force for a service; `None` if it was not heard recently."""
        self._heard = {
            host: item
            for host, item in self._heard.items()
            if now_s - item.at_s < FRESH_S + DECAY_S
        }
        if not self._heard:
            return None
        fresh = {host: item for host, item in self._heard.items() if now_s - item.at_s <= FRESH_S}
        newest = max(self._heard.items(), key=lambda entry: entry[1].at_s)
        host, heard = self._first(fresh) if fresh else newest
        cutoff = next((item for item in heard.news.cutoffs if item.service == service), None)
        return None if cutoff is None else FollowedCutoff(host, cutoff, now_s - heard.at_s)

    def is_idle(self, service: int, now_s: float) -> bool:
        """Return whether little is held at a service, by the newest update of any replica.

        The cut-off in force may be a second older than that.
        """
        heard = max(self._heard.values(), key=lambda item: item.at_s, default=None)
        if heard is None or now_s - heard.at_s > FRESH_S:
            return False
        cutoffs = heard.news.cutoffs
        return any(
            item.service == service and item.load_permille < IDLE_PERMILLE for item in cutoffs
        )

    def _first(self, fresh: dict[str, _Heard]) -> tuple[str, _Heard]:
        """Return the replica that has run longest, of those that cover nearly all routers."""
        least = COVERED_FRACTION * max(item.news.routers for item in fresh.values())
        covering = [entry for entry in fresh.items() if entry[1].news.routers >= least]
        return min(covering, key=lambda entry: (entry[1].news.since_s, entry[0]))
