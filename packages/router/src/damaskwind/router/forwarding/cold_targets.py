"""Which targets one router believes to be cold, and when it may send there."""

from random import Random

from loguru import logger

from damaskwind.decisions.cold_targets.cold_spells import WARM, ColdSpells, Warmth
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock

__all__ = ["ColdTargets"]


class ColdTargets:
    """The cold targets of one router, by what they report and what operators take back."""

    def __init__(self, view: FleetView, random: Random) -> None:
        self._view = view
        self._spells = ColdSpells(random)
        view.on_cold.append(self._note_cold)
        view.on_evacuations_lifted.append(self._mark_cold_after_evacuation)

    def warmth(self, record: TargetRecord, now_s: float) -> Warmth:
        """Return whether a target is cold, and whether it may be sent a request now.

        While it is not sure how many routers there are, a cold target is sent none.
        """
        if not self._spells.knows(record.target_id):
            return WARM
        terms = self._view.cold_terms(record.service)
        routers = self._view.max_routers.value(now_s)
        warmth = self._spells.warmth(record.target_id, terms, routers or 1, now_s)
        if warmth.is_cold and routers is None:
            return warmth._replace(may_send=False)
        return warmth

    def note_sent(self, record: TargetRecord, now_s: float) -> None:
        """Note that a request is being sent to a target."""
        routers = self._view.max_routers.value(now_s) or 1
        self._spells.sent(record.target_id, self._view.cold_terms(record.service), routers)

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self._spells.forget(target_id)

    def count(self) -> int:
        """Return how many targets are believed cold now."""
        return self._spells.count(read_clock())

    def _note_cold(self, record: TargetRecord) -> None:
        """Take a target's own word."""
        self._spells.begin(record.target_id, read_clock(), record.cold_s)
        logger.info("target cold", target=record.target_id, cold_s=round(record.cold_s, 2))

    def _mark_cold_after_evacuation(self, failure_domains: frozenset[str]) -> None:
        """Hold the targets of failure domains that were emptied for cold.

        Any of them may have become cold a moment ago, and its next heartbeat is still to come.
        """
        now_s = read_clock()
        for record in self._view.targets.serving():
            cold_s = self._view.cold_terms(record.service).start_s
            if record.failure_domain in failure_domains and cold_s:
                self._spells.begin(record.target_id, now_s, cold_s)
