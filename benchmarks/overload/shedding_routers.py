"""Routers that decide which requests are shed, by the place where the cut-off is computed."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from damaskwind.decisions.admission.fleet_shedding import (
    SHEDDING_WAIT_FRACTION,
    FleetShedder,
    PoolOccupancy,
)
from damaskwind.decisions.admission.pool_admission import PoolAdmission
from damaskwind.decisions.admission.shed_aggregator import ShedAggregator, ShedNews
from damaskwind.decisions.admission.shed_counts import GroupCounts, GroupKey, ShedReport, ShedTally
from damaskwind.decisions.admission.shed_cutoff import Cutoff, admits_hash, share_of
from damaskwind.decisions.admission.shed_follower import ShedFollower
from damaskwind.decisions.admission.shed_return import draw_return_s
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.load.held_requests import LoadEstimator
from damaskwind.decisions.load.held_sums import HeldAggregator

__all__ = ["STRATEGIES", "PreviousRouter", "Replica"]

SERVICE = 7
INITIAL_PER_TARGET = 32
STRATEGIES: dict[str, Callable[..., "PreviousRouter"]] = {}


def strategy(name: str) -> Callable[[type], type]:
    """Register a strategy under a name."""

    def register(cls: type) -> type:
        STRATEGIES[name] = cls
        return cls

    return register


class Pool(NamedTuple):
    """The slots of all targets and the number of targets."""

    slots: int
    targets: int


class Replica:
    """The sums and cut-offs of one replica, which loses them when it starts again."""

    def __init__(self, name: str, since_s: int, pool: Pool) -> None:
        self.name = name
        self.pool = pool
        self.is_up = True
        self.restart(since_s)

    def restart(self, since_s: int) -> None:
        self.held = HeldAggregator()
        self.shedding = ShedAggregator(since_s)
        self.reports: dict[str, ShedReport] = {}

    def hear(self, router: "PreviousRouter", now_s: float) -> None:
        self.held.report(router.name, router.loads.report_to(self.name), now_s)
        report = router.report(now_s)
        if report is not None:
            self.shedding.report(router.name, (report,), now_s)
            self.reports[router.name] = report

    def decide(self, routers: int, now_s: float) -> ShedNews | None:
        return self.shedding.decide({SERVICE: self.pool.slots}, routers, now_s)

    def pool_state(self) -> PoolOccupancy:
        reports = self.reports.values()
        held, waiting = sum(item.held for item in reports), sum(item.waiting for item in reports)
        return PoolOccupancy(self.pool.slots, held, waiting)


@strategy("previous")
class PreviousRouter:
    """Shed by the queue of each router only."""

    def __init__(self, number: int, routers: int, pool: Pool, random: Random) -> None:
        self.name = f"r{number}"
        self.random = random
        self.pool = pool
        self.loads = LoadEstimator()
        share = INITIAL_PER_TARGET / routers
        policy = WindowPolicy(
            initial_limit=max(2.0, share), initial_pool_limit=max(2.0, share * pool.targets)
        )
        self.admission = PoolAdmission(random, policy)

    def report(self, now_s: float) -> ShedReport | None:
        return None

    def count(self, now_s: float, key: GroupKey, **counts: int) -> None:
        """Count nothing."""

    def share(self, key: GroupKey, now_s: float) -> float:
        return 1.0

    def admits(self, key: GroupKey, request_id: bytes, now_s: float) -> bool:
        return True

    def receive(self, replica: Replica, routers: int, now_s: float) -> None:
        self.loads.observe_sum(replica.name, replica.held.total(now_s), now_s)

    def retry_after_s(self, objective_s: float, left_s: float, now_s: float) -> float:
        return self.admission.retry_after_s(objective_s, left_s, now_s)


class SheddingRouter(PreviousRouter):
    """Shed by a cut-off, wherever it is computed."""

    def __init__(self, number: int, routers: int, pool: Pool, random: Random) -> None:
        super().__init__(number, routers, pool, random)
        self.tally = ShedTally()

    def cutoff(self, now_s: float) -> Cutoff | None:
        raise NotImplementedError

    def report(self, now_s: float) -> ShedReport | None:
        names = [f"t{number}" for number in range(self.pool.targets)]
        held = sum(self.loads.own_in_flight(name) for name in names)
        return self.tally.report(SERVICE, len(self.admission.queue), held, now_s)

    def count(self, now_s: float, key: GroupKey, **counts: int) -> None:
        self.tally.add(GroupCounts(*key, **counts), now_s)

    def share(self, key: GroupKey, now_s: float) -> float:
        cutoff = self.cutoff(now_s)
        return 1.0 if cutoff is None else share_of(cutoff, key)

    def admits(self, key: GroupKey, request_id: bytes, now_s: float) -> bool:
        cutoff = self.cutoff(now_s)
        is_open = cutoff is None or cutoff.is_open
        self.admission.max_wait_fraction = None if is_open else SHEDDING_WAIT_FRACTION
        share = self.share(key, now_s)
        is_admitted = share >= 1.0 or self.is_idle(now_s)
        is_admitted = is_admitted or admits_hash(share, cutoff.salt, key.account, request_id)
        self.count(now_s, key, asked=1, admitted=int(is_admitted))
        return is_admitted

    def is_idle(self, now_s: float) -> bool:
        return False

    def retry_after_s(self, objective_s: float, left_s: float, now_s: float) -> float:
        cutoff = self.cutoff(now_s)
        if cutoff is None or cutoff.is_open:
            return super().retry_after_s(objective_s, left_s, now_s)
        retry_after_s = draw_return_s(cutoff.spare_per_s, objective_s, left_s, self.random)
        self.tally.add_return(now_s + retry_after_s, now_s)
        return retry_after_s


@strategy("replica")
class FollowingRouter(SheddingRouter):
    """Apply the cut-off that a replica computes: the way that is built."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.follower = ShedFollower()

    def cutoff(self, now_s: float) -> Cutoff | None:
        followed = self.follower.followed(SERVICE, now_s)
        return None if followed is None else followed.cutoff

    def is_idle(self, now_s: float) -> bool:
        return self.follower.is_idle(SERVICE, now_s)

    def share(self, key: GroupKey, now_s: float) -> float:
        followed = self.follower.followed(SERVICE, now_s)
        return 1.0 if followed is None else followed.share(key)

    def receive(self, replica: Replica, routers: int, now_s: float) -> None:
        super().receive(replica, routers, now_s)
        self.follower.observe(replica.name, replica.decide(routers, now_s), now_s)


class ComputingRouter(SheddingRouter):
    """Compute the cut-off at the router."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.shedder = FleetShedder(SERVICE)

    def cutoff(self, now_s: float) -> Cutoff | None:
        return self.shedder.cutoff


@strategy("sums")
class SummingRouter(ComputingRouter):
    """Compute the cut-off from the sums of all routers, received from the replicas in turn."""

    def receive(self, replica: Replica, routers: int, now_s: float) -> None:
        super().receive(replica, routers, now_s)
        reports = replica.reports.values()
        pool = replica.pool_state()
        groups = [group for item in reports for group in item.groups]
        self.shedder.update(groups, pool, now_s)


@strategy("alone")
class LoneRouter(ComputingRouter):
    """Compute the cut-off from this router's own counts."""

    def receive(self, replica: Replica, routers: int, now_s: float) -> None:
        super().receive(replica, routers, now_s)
        report = self.report(now_s)
        pool = PoolOccupancy(max(1, self.pool.slots // routers), report.held, report.waiting)
        self.shedder.update(report.groups, pool, now_s)
