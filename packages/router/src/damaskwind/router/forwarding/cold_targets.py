"""Track which targets are cold, and when this router may send to them."""

from random import Random

from loguru import logger

from damaskwind.decisions.cold_targets.cold_periods import WARM, ColdPeriods, ColdState
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock

__all__ = ["ColdTargets"]


class ColdTargets:
    """The targets that one router treats as cold: by their reports, or after an evacuation."""

    def __init__(self, view: FleetView, random: Random) -> None:
        self._view = view
        self._periods = ColdPeriods(random)
        view.on_cold.append(self._record_cold)
        view.on_evacuations_lifted.append(self._mark_cold_after_evacuation)

    def cold_state(self, record: TargetRecord, now_s: float) -> ColdState:
        """Return whether a target is cold, and whether it may be sent a request now.

        While the number of routers is uncertain, a cold target is sent none.
        """
        if not self._periods.is_tracked(record.target_id):
            return WARM
        terms = self._view.cold_start_limits(record.service)
        routers = self._view.max_routers.value(now_s)
        state = self._periods.cold_state(record.target_id, terms, routers or 1, now_s)
        if state.is_cold and routers is None:
            return state._replace(may_send=False)
        return state

    def record_sent(self, record: TargetRecord, now_s: float) -> None:
        """Record that a request is being sent to a target."""
        routers = self._view.max_routers.value(now_s) or 1
        self._periods.record_sent(
            record.target_id, self._view.cold_start_limits(record.service), routers
        )

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self._periods.forget(target_id)

    def count(self) -> int:
        """Return the number of targets that are cold now."""
        return self._periods.count(read_clock())

    def _record_cold(self, record: TargetRecord) -> None:
        """Record that a target reported to be cold."""
        self._periods.mark_cold(record.target_id, read_clock(), record.cold_s)
        logger.info("target cold", target=record.target_id, cold_s=round(record.cold_s, 2))

    def _mark_cold_after_evacuation(self, failure_domains: frozenset[str]) -> None:
        """Treat all targets of failure domains as cold when their evacuation is lifted.

        Any of them may have become cold a moment ago, before its next heartbeat reports it.
        """
        now_s = read_clock()
        for record in self._view.targets.serving():
            cold_s = self._view.cold_start_limits(record.service).start_s
            if record.failure_domain in failure_domains and cold_s:
                self._periods.mark_cold(record.target_id, now_s, cold_s)
