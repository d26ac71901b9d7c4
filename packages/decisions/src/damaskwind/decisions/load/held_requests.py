"""Estimate how many requests a target holds, from its answers and own sends."""

import math
from collections.abc import Collection
from typing import NamedTuple

__all__ = ["LoadEstimator", "TargetLoad", "parse_target_load"]

# A target's own word stands as it is for so long: requests last some hundred ms.
FRESH_S = 0.4
# Later its mean over about so long is the better guess.
SMOOTHING_S = 2.0
# Routers that probably send to an unheard target when this one does: with many, each
# sends there seldom, and all of them at once never.
SENDERS_MOST = 8


class TargetLoad(NamedTuple):
    """What a target said of itself: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


def parse_target_load(value: bytes | None) -> TargetLoad | None:
    """Read `running,waiting,slots`.

    >>> parse_target_load(b"3,0,8")
    TargetLoad(running=3, waiting=0, slots=8)
    >>> parse_target_load(b"x") is None
    True
    """
    if not value:
        return None
    try:
        running, waiting, slots = (int(item) for item in value.split(b","))
    except ValueError:
        return None
    return TargetLoad(running, waiting, slots)


class _Report(NamedTuple):
    """A target's word, its mean so far, when it came, and own requests in hand then."""

    held: int
    mean: float
    own: int
    at_s: float


class LoadEstimator:
    """The load of each target, as one router sees it.

    While the target's word is fresh, it counts, plus what this router has sent
    since; later its mean does.

    >>> loads = LoadEstimator()
    >>> loads.reported("a", TargetLoad(6, 0, 64), 0.0); loads.sent("b")
    >>> loads.estimates(["a", "b", "c"], 2, 0.1)
    {'a': 6, 'b': 8.0, 'c': 6.0}
    """

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._reports: dict[str, _Report] = {}

    def sent(self, target_id: str) -> None:
        """Count a request that is being sent."""
        self._own[target_id] = self._own.get(target_id, 0) + 1

    def ended(self, target_id: str) -> None:
        """Count a request that has ended."""
        self._own[target_id] = max(0, self._own.get(target_id, 0) - 1)

    def reported(self, target_id: str, load: TargetLoad, now_s: float) -> None:
        """Take a target's own word."""
        held = load.running + load.waiting
        before = self._reports.get(target_id)
        mean = float(held)
        if before is not None:
            kept = math.exp(-(now_s - before.at_s) / SMOOTHING_S)
            mean = held + (before.mean - held) * kept
        self._reports[target_id] = _Report(held, mean, self.own(target_id), now_s)

    def has_word(self, target_id: str) -> bool:
        """Tell whether a target ever said its load."""
        return target_id in self._reports

    def own(self, target_id: str) -> int:
        """Return the requests of this router at a target."""
        return self._own.get(target_id, 0)

    def estimates(
        self, target_ids: Collection[str], routers: int, now_s: float
    ) -> dict[str, float]:
        """Return the requests that each target of a pool holds.

        One that has never said a word is taken to hold what the others hold on
        average: taken as idle, it would make the mean so low that a home with its
        usual load is passed over. At 65 routers and 30 targets, where most have
        said nothing here for seconds, 14 of 100 requests left their home in calm
        (4 of 100 at 8 routers), and had all that they share read or copied anew.
        What this router has on its way there, others probably have too: in the first
        two seconds of a fleet, with all caches cold, 0.81 of the worth of what came
        was served without that, since one target got the long prompts of all.
        """
        others = min(routers, SENDERS_MOST)
        loads = {name: self._heard_load(name, now_s) for name in target_ids}
        heard = [load for load in loads.values() if load is not None]
        usual = sum(heard) / len(heard) if heard else 0.0
        return {
            name: usual + others * self.own(name) if load is None else load
            for name, load in loads.items()
        }

    def _heard_load(self, target_id: str, now_s: float) -> float | None:
        """Return the requests that a target holds by its own word, if it gave one."""
        own = self.own(target_id)
        report = self._reports.get(target_id)
        if report is None:
            return None
        said = report.held if now_s - report.at_s < FRESH_S else report.mean
        return max(float(own), said + own - report.own)

    def report_age_s(self, target_id: str, now_s: float) -> float | None:
        """Return how old the target's own word is."""
        report = self._reports.get(target_id)
        return round(now_s - report.at_s, 3) if report else None

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self._own.pop(target_id, None)
        self._reports.pop(target_id, None)
