"""The speed of targets as one router knows it, and the usual times of their pools."""

from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.load.held_requests import TargetLoad
from damaskwind.decisions.load.work_speed import PoolTimes, WorkSpeeds
from damaskwind.decisions.membership.target_record import TargetRecord

__all__ = ["SpeedBasis", "TargetSpeeds"]

# A figure is logged when it differs from the last logged one by this factor.
LOGGED_CHANGE_FACTOR = 1.2


class SpeedBasis(NamedTuple):
    """What the speed in a decision was based on: the work time used and the age of its figure.

    Both are `None` where the target has sent no figure.
    """

    work_time: float | None = None
    age_s: float | None = None


class TargetSpeeds:
    """The figures that targets reported to one router.

    A service takes part from the first figure that one of its targets sends; before, nothing
    is known of its times and every decision is made without them.
    """

    def __init__(self) -> None:
        self.speeds = WorkSpeeds()
        self.reports = 0
        self._pools: dict[str, PoolTimes] = {}
        self._logged_percents: dict[str, int] = {}

    def observe(self, target: TargetRecord, load: TargetLoad, now_s: float) -> None:
        """Record the figure in a target's report, if there is one."""
        percent = load.work_time_percent
        if percent is None:
            return
        self.reports += 1
        self._pools.setdefault(target.service, PoolTimes())
        self._log_change(target, percent, now_s)
        self.speeds.observe(target.target_id, target.incarnation, percent, now_s)

    def has_figures(self, service: str) -> bool:
        """Return whether a target of a service has sent a figure."""
        return service in self._pools

    def work_time(self, target: TargetRecord, now_s: float) -> float:
        """Return how long work takes at a target, relative to the usual time."""
        return self.speeds.work_time(target.target_id, target.incarnation, now_s)

    def basis(self, target: TargetRecord, now_s: float) -> SpeedBasis:
        """Return what is known of a target's speed now, for the log."""
        figure = self.speeds.figure(target.target_id, target.incarnation)
        if figure is None:
            return SpeedBasis()
        work_time = round(self.work_time(target, now_s), 2)
        return SpeedBasis(work_time, round(now_s - figure.at_s, 3))

    def record_started(
        self, target: TargetRecord, first_s: float, objective_share: float, now_s: float
    ) -> None:
        """Record that an answer started, and check the target's claim to be fast."""
        pool = self._pools.get(target.service)
        if pool is None:
            return
        if self.speeds.observe_start(target.target_id, objective_share, now_s):
            logger.warning(
                "target speed distrusted",
                target=target.target_id,
                service=target.service,
                work_time_percent=self._logged_percents.get(target.target_id),
                objective_share=round(objective_share, 2),
            )
        pool.record_start(first_s, self.work_time(target, now_s))

    def record_ended(self, target: TargetRecord, took_s: float, now_s: float) -> None:
        """Record how long a target took for a whole answer."""
        pool = self._pools.get(target.service)
        if pool is not None:
            pool.record_end(took_s, self.work_time(target, now_s))

    def expected_start_s(self, target: TargetRecord, held: float, now_s: float) -> float | None:
        """Return when a target would start an answer; `None` in a pool without figures."""
        pool = self._pools.get(target.service)
        if pool is None:
            return None
        return pool.expected_start_s(held, target.slots, self.work_time(target, now_s))

    def forget(self, target_id: str) -> None:
        """Drop the figure of a target that is gone or has restarted."""
        self.speeds.forget(target_id)
        self._logged_percents.pop(target_id, None)

    def _log_change(self, target: TargetRecord, percent: int, now_s: float) -> None:
        """Log a figure that differs from the last logged one."""
        before = self._logged_percents.get(target.target_id, 100)
        if max(percent, before) < LOGGED_CHANGE_FACTOR * min(percent, before):
            return
        self._logged_percents[target.target_id] = percent
        basis = self.basis(target, now_s)
        logger.info(
            "target speed changed",
            target=target.target_id,
            service=target.service,
            work_time_percent=percent,
            before=before,
            before_age_s=basis.age_s,
            lasting_s=round(self.speeds.lasting_s, 2),
        )
